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
	pin     PartSpec
	parts   map[string]api.Part
	missing map[string]api.MissingReason
	// bodies holds the records of all parts; those of a block are merged.
	bodies [][]byte
}

// ErrMismatchedPart reports a part of another snapshot, epoch or shard.
var ErrMismatchedPart = errors.New("part of another snapshot, epoch or shard")

// NewCollector returns a gather without parts.
func NewCollector(pin PartSpec) *Collector {
	return &Collector{pin: pin, parts: make(map[string]api.Part), missing: make(map[string]api.MissingReason)}
}

// Add takes one part. It returns ErrForeignPart for one that does not belong
// to the answer, and ignores a second part of a shard.
func (gather *Collector) Add(part api.Part) error {
	if err := gather.pin.Check(part); err != nil {
		return err
	}
	if _, isKnown := gather.parts[part.Shard]; isKnown {
		return nil
	}
	gather.parts[part.Shard] = part
	delete(gather.missing, part.Shard)
	gather.bodies = append(gather.bodies, part.Body)
	return nil
}

// AddBlock takes parts whose records were merged into one body. It takes all
// of them or none: where one shard has a part already, the block's records
// would count some of its records twice.
func (gather *Collector) AddBlock(parts []api.Part, records []byte) error {
	for _, part := range parts {
		if err := gather.pin.Check(part); err != nil {
			return err
		}
		if _, isKnown := gather.parts[part.Shard]; isKnown {
			return errors.WithStack(ErrDuplicateShard)
		}
	}
	for _, part := range parts {
		gather.parts[part.Shard] = part
		delete(gather.missing, part.Shard)
	}
	gather.bodies = append(gather.bodies, records)
	return nil
}

// ErrDuplicateShard reports a block with a shard that has a part already.
var ErrDuplicateShard = errors.New("block with a shard that has a part already")

// Check returns ErrForeignPart for a part that does not agree with the pin.
func (pin PartSpec) Check(part api.Part) error {
	epoch, isSelected := pin.Epochs[part.Shard]
	if !isSelected || part.Snapshot != pin.Snapshot || part.Epoch != epoch {
		return errors.WithStack(ErrMismatchedPart)
	}
	isJSON := pin.Form != api.FormMerged && pin.Form != api.FormRelayed
	if isJSON && !json.Valid(part.Body) {
		return errors.WithStack(ErrMismatchedPart)
	}
	return nil
}

// AddMissing records why a shard is missing.
func (gather *Collector) AddMissing(shard string, reason api.MissingReason) {
	if _, isKnown := gather.parts[shard]; !isKnown {
		gather.missing[shard] = reason
	}
}

// TopRecords returns the greatest records of all parts, at most so many.
func (gather *Collector) TopRecords(most int) []byte { return TopRecords(gather.bodies, most) }

// IsComplete reports whether every selected shard has a part or a reason.
func (gather *Collector) IsComplete() bool {
	return len(gather.parts)+len(gather.missing) >= len(gather.pin.Epochs)
}

// CoverageShare returns the share of the selected shards that have a part.
func (gather *Collector) CoverageShare() float64 {
	return float64(len(gather.parts)) / float64(max(len(gather.pin.Epochs), 1))
}

// Coverage states which of the selected shards have a part.
func (gather *Collector) Coverage() api.Coverage {
	coverage := api.Coverage{Selected: len(gather.pin.Epochs), Included: len(gather.parts)}
	for shard := range gather.pin.Epochs {
		if _, isIncluded := gather.parts[shard]; isIncluded {
			continue
		}
		reason, isKnown := gather.missing[shard]
		if !isKnown {
			reason = api.MissingDeadline
		}
		coverage.Missing = append(coverage.Missing, api.MissingShard{Shard: shard, Reason: reason})
	}
	slices.SortFunc(coverage.Missing, func(a, b api.MissingShard) int { return strings.Compare(a.Shard, b.Shard) })
	return coverage
}

// Parts returns the parts in the order of their shards.
func (gather *Collector) Parts() []api.Part {
	parts := make([]api.Part, 0, len(gather.parts))
	for _, part := range gather.parts {
		parts = append(parts, part)
	}
	slices.SortFunc(parts, func(a, b api.Part) int { return strings.Compare(a.Shard, b.Shard) })
	return parts
}
