package upstream_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

func Example() {
	gather := upstream.NewCollector(upstream.PartSpec{Snapshot: 7, Epochs: map[string]uint64{"a": 1, "b": 1}})
	fmt.Println(gather.Add(api.Part{Shard: "a", Snapshot: 7, Epoch: 1, Body: json.RawMessage(`{}`)}))
	fmt.Println(gather.Add(api.Part{Shard: "b", Snapshot: 8, Epoch: 1, Body: json.RawMessage(`{}`)}))
	gather.AddMissing("b", api.MissingSnapshotGone)
	fmt.Printf("%+v\n", gather.Coverage())
	// Output:
	// <nil>
	// part of another snapshot, epoch or shard
	// {Selected:2 Included:1 Missing:[{Shard:b Reason:snapshotGone}] Note:}
}

// TestGatherIsTruthful adds parts in any order, of any snapshot, epoch and
// shard, some of them twice or cut.
func TestGatherIsTruthful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pin := upstream.PartSpec{Snapshot: 7, Epochs: make(map[string]uint64)}
		shards := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-e]`), 1, 5, rapid.ID).Draw(t, "shards")
		for _, shard := range shards {
			pin.Epochs[shard] = rapid.Uint64Range(1, 3).Draw(t, "epoch")
		}
		gather := upstream.NewCollector(pin)
		added := make(map[string]bool)
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			part := api.Part{
				Shard:    rapid.StringMatching(`[a-g]`).Draw(t, "shard"),
				Snapshot: rapid.Uint64Range(6, 8).Draw(t, "snapshot"),
				Epoch:    rapid.Uint64Range(1, 3).Draw(t, "epoch"),
				Body:     json.RawMessage(rapid.SampledFrom([]string{`{}`, `{"a":`, ``}).Draw(t, "body")),
			}
			epoch, isSelected := pin.Epochs[part.Shard]
			belongs := isSelected && part.Snapshot == 7 && part.Epoch == epoch && string(part.Body) == `{}`
			assert.Equal(t, gather.Add(part) == nil, belongs)
			added[part.Shard] = added[part.Shard] || belongs
		}
		checkCoverage(t, gather, pin, added)
	})
}

func checkCoverage(t *rapid.T, gather *upstream.Collector, pin upstream.PartSpec, added map[string]bool) {
	coverage := gather.Coverage()
	included := 0
	for shard := range pin.Epochs {
		if added[shard] {
			included++
		}
	}
	assert.Equal(t, coverage.Selected, len(pin.Epochs))
	assert.Equal(t, coverage.Included, included)
	assert.Equal(t, len(coverage.Missing), len(pin.Epochs)-included)
	assert.Equal(t, len(gather.Parts()), included)
	for _, missing := range coverage.Missing {
		assert.Assert(t, !added[missing.Shard], "%s is included", missing.Shard)
	}
}
