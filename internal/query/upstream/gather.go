// Package upstream brings a query to one replica of each selected shard and
// gathers the parts of one snapshot.
package upstream

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// PartSpec fixes what the parts of one answer must agree on.
type PartSpec struct {
	// Form says what the parts consist of.
	Form     api.Form
	Snapshot uint64
	// Epochs holds the epoch of every selected shard.
	Epochs map[string]uint64
}

// Collector collects the parts of one answer. It takes only parts that agree
// with its pin, each shard once.
type Collector struct {
	partSpec PartSpec
	parts    map[string]api.Part
	missing  map[string]api.MissingReason
	// bodies holds the records of all parts; those of a block are merged.
	bodies [][]byte
}

// ErrMismatchedPart reports a part of another snapshot, epoch or shard.
var ErrMismatchedPart = errors.New("part of another snapshot, epoch or shard")

// NewCollector returns a gather without parts.
func NewCollector(partSpec PartSpec) *Collector {
	return &Collector{partSpec: partSpec, parts: make(map[string]api.Part), missing: make(map[string]api.MissingReason)}
}

// Add takes one part. It returns ErrForeignPart for one that does not belong
// to the answer, and ignores a second part of a shard.
func (collector *Collector) Add(part api.Part) error {
	if err := collector.partSpec.Check(part); err != nil {
		return err
	}
	if _, isKnown := collector.parts[part.Shard]; isKnown {
		return nil
	}
	collector.parts[part.Shard] = part
	delete(collector.missing, part.Shard)
	collector.bodies = append(collector.bodies, part.Body)
	return nil
}

// AddBlock takes parts whose records were merged into one body. It takes all
// of them or none: where one shard has a part already, the block's records
// would count some of its records twice.
func (collector *Collector) AddBlock(parts []api.Part, records []byte) error {
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
		delete(collector.missing, part.Shard)
	}
	collector.bodies = append(collector.bodies, records)
	return nil
}

// ErrDuplicateShard reports a block with a shard that has a part already.
var ErrDuplicateShard = errors.New("block with a shard that has a part already")

// Check returns ErrForeignPart for a part that does not agree with the pin.
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

// AddMissing records why a shard is missing.
func (collector *Collector) AddMissing(shard string, reason api.MissingReason) {
	if _, isKnown := collector.parts[shard]; !isKnown {
		collector.missing[shard] = reason
	}
}

// TopRecords returns the greatest records of all parts, at most so many.
func (collector *Collector) TopRecords(limit int) []byte { return TopRecords(collector.bodies, limit) }

// IsComplete reports whether every selected shard has a part or a reason.
func (collector *Collector) IsComplete() bool {
	return len(collector.parts)+len(collector.missing) >= len(collector.partSpec.Epochs)
}

// CoverageShare returns the share of the selected shards that have a part.
func (collector *Collector) CoverageShare() float64 {
	return float64(len(collector.parts)) / float64(max(len(collector.partSpec.Epochs), 1))
}

// Coverage states which of the selected shards have a part.
func (collector *Collector) Coverage() api.Coverage {
	coverage := api.Coverage{Selected: len(collector.partSpec.Epochs), Included: len(collector.parts)}
	for shard := range collector.partSpec.Epochs {
		if _, isIncluded := collector.parts[shard]; isIncluded {
			continue
		}
		reason, isKnown := collector.missing[shard]
		if !isKnown {
			reason = api.MissingDeadline
		}
		coverage.Missing = append(coverage.Missing, api.Missing{Shard: shard, Reason: reason})
	}
	slices.SortFunc(coverage.Missing, func(a, b api.Missing) int { return strings.Compare(a.Shard, b.Shard) })
	return coverage
}

// Parts returns the parts in the order of their shards.
func (collector *Collector) Parts() []api.Part {
	parts := make([]api.Part, 0, len(collector.parts))
	for _, part := range collector.parts {
		parts = append(parts, part)
	}
	slices.SortFunc(parts, func(a, b api.Part) int { return strings.Compare(a.Shard, b.Shard) })
	return parts
}
