// Package upstream sends a query to one replica of each selected shard and
// combines the parts of one snapshot into an answer. The shards may be split
// among instances: the home of a shard is the instance that its peers ask to
// query the shard's replicas.
package upstream

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// PartSpec states the form, snapshot and epochs that all parts of one answer
// must have.
type PartSpec struct {
	// Form is the form of the answer. It determines whether a part's body must
	// be JSON.
	Form     api.Form
	Snapshot uint64
	// Epochs holds the epoch of every selected shard by the shard's name.
	Epochs map[string]uint64
}

// Collector collects the parts of one answer. It accepts only parts that match
// its PartSpec, and one part per shard.
type Collector struct {
	partSpec       PartSpec
	parts          map[string]api.Part
	missingReasons map[string]api.MissingReason
	// bodies holds one body per added part or partial answer.
	bodies [][]byte
}

// ErrMismatchedPart reports a part of another snapshot, epoch or shard, or one
// whose body is not valid JSON where JSON is required.
var ErrMismatchedPart = errors.New("part of another snapshot, epoch or shard")

// NewCollector returns an empty Collector.
func NewCollector(partSpec PartSpec) *Collector {
	return &Collector{partSpec: partSpec, parts: make(map[string]api.Part), missingReasons: make(map[string]api.MissingReason)}
}

// Add adds a part. It returns ErrMismatchedPart if the part does not match the
// PartSpec, and ignores a second part of a shard.
func (collector *Collector) Add(part api.Part) error {
	if err := collector.partSpec.Check(part); err != nil {
		return err
	}
	if _, isKnown := collector.parts[part.Shard]; isKnown {
		return nil
	}
	collector.parts[part.Shard] = part
	delete(collector.missingReasons, part.Shard)
	collector.bodies = append(collector.bodies, part.Body)
	return nil
}

// AddPartialAnswer adds parts whose records are already merged into one body.
// It adds all of them or none: if one shard already has a part, the answer
// would contain that shard's records twice. It then returns ErrDuplicateShard,
// or ErrMismatchedPart for a part that does not match the PartSpec.
func (collector *Collector) AddPartialAnswer(parts []api.Part, records []byte) error {
	for _, part := range parts {
		if err := collector.partSpec.Check(part); err != nil {
			return err
		}
		if _, isKnown := collector.parts[part.Shard]; isKnown {
			return errors.WithStack(ErrDuplicateShard)
		}
	}
	for _, part := range parts {
		collector.parts[part.Shard] = part
		delete(collector.missingReasons, part.Shard)
	}
	collector.bodies = append(collector.bodies, records)
	return nil
}

// ErrDuplicateShard reports a partial answer that contains a shard which
// already has a part.
var ErrDuplicateShard = errors.New("the partial answer contains a shard that already has a part")

// Check returns ErrMismatchedPart if the part does not match the PartSpec.
func (partspec PartSpec) Check(part api.Part) error {
	epoch, isSelected := partspec.Epochs[part.Shard]
	if !isSelected || part.Snapshot != partspec.Snapshot || part.Epoch != epoch {
		return errors.WithStack(ErrMismatchedPart)
	}
	isJSON := partspec.Form != api.FormMerged && partspec.Form != api.FormRelayed
	if isJSON && !json.Valid(part.Body) {
		return errors.WithStack(ErrMismatchedPart)
	}
	return nil
}

// AddMissing records why a shard has no part. It does nothing if the shard has
// one.
func (collector *Collector) AddMissing(shard string, reason api.MissingReason) {
	if _, isKnown := collector.parts[shard]; !isKnown {
		collector.missingReasons[shard] = reason
	}
}

// TopRecords returns the greatest records of all parts, at most limit of them,
// in descending order.
func (collector *Collector) TopRecords(limit int) []byte { return TopRecords(collector.bodies, limit) }

// IsComplete reports whether every selected shard has a part or a recorded
// reason why it is missing.
func (collector *Collector) IsComplete() bool {
	return len(collector.parts)+len(collector.missingReasons) >= len(collector.partSpec.Epochs)
}

// CoverageShare returns the share of the selected shards that have a part, 0 to
// 1.
func (collector *Collector) CoverageShare() float64 {
	return float64(len(collector.parts)) / float64(max(len(collector.partSpec.Epochs), 1))
}

// Coverage returns which of the selected shards have a part, and the reason for
// each of the others. A shard without a result has the reason MissingDeadline.
func (collector *Collector) Coverage() api.Coverage {
	coverage := api.Coverage{SelectedCount: len(collector.partSpec.Epochs), IncludedCount: len(collector.parts)}
	for shard := range collector.partSpec.Epochs {
		if _, isIncluded := collector.parts[shard]; isIncluded {
			continue
		}
		reason, isKnown := collector.missingReasons[shard]
		if !isKnown {
			reason = api.MissingDeadline
		}
		coverage.MissingShards = append(coverage.MissingShards, api.MissingShard{Shard: shard, Reason: reason})
	}
	slices.SortFunc(coverage.MissingShards, func(a, b api.MissingShard) int { return strings.Compare(a.Shard, b.Shard) })
	return coverage
}

// Parts returns the parts sorted by the name of their shard.
func (collector *Collector) Parts() []api.Part {
	parts := make([]api.Part, 0, len(collector.parts))
	for _, part := range collector.parts {
		parts = append(parts, part)
	}
	slices.SortFunc(parts, func(a, b api.Part) int { return strings.Compare(a.Shard, b.Shard) })
	return parts
}
