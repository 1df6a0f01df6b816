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
	collector := upstream.NewCollector(upstream.PartSpec{Snapshot: 7, Epochs: map[string]uint64{"a": 1, "b": 1}})
	fmt.Println(collector.Add(api.Part{Shard: "a", Snapshot: 7, Epoch: 1, Body: json.RawMessage(`{}`)}))
	fmt.Println(collector.Add(api.Part{Shard: "b", Snapshot: 8, Epoch: 1, Body: json.RawMessage(`{}`)}))
	collector.AddMissing("b", api.MissingSnapshotGone)
	fmt.Printf("%+v\n", collector.Coverage())
	// Output:
	// <nil>
	// part of another snapshot, epoch or shard
	// {SelectedCount:2 IncludedCount:1 MissingShards:[{Shard:b Reason:snapshotGone RetryAfter:0s}] Note:}
}

// TestCollectorAcceptsOnlyMatchingParts adds parts in random order with random
// shards, snapshots and epochs, some of them twice or with truncated JSON. The
// coverage must count exactly the shards that received a matching part.
func TestCollectorAcceptsOnlyMatchingParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		partspec := upstream.PartSpec{Snapshot: 7, Epochs: make(map[string]uint64)}
		shards := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-e]`), 1, 5, rapid.ID).Draw(t, "shards")
		for _, shard := range shards {
			partspec.Epochs[shard] = rapid.Uint64Range(1, 3).Draw(t, "epoch")
		}
		collector := upstream.NewCollector(partspec)
		hasPart := make(map[string]bool)
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			part := api.Part{
				Shard:    rapid.StringMatching(`[a-g]`).Draw(t, "shard"),
				Snapshot: rapid.Uint64Range(6, 8).Draw(t, "snapshot"),
				Epoch:    rapid.Uint64Range(1, 3).Draw(t, "epoch"),
				Body:     json.RawMessage(rapid.SampledFrom([]string{`{}`, `{"a":`, ``}).Draw(t, "body")),
			}
			epoch, isSelected := partspec.Epochs[part.Shard]
			isMatching := isSelected && part.Snapshot == 7 && part.Epoch == epoch && string(part.Body) == `{}`
			assert.Equal(t, collector.Add(part) == nil, isMatching)
			hasPart[part.Shard] = hasPart[part.Shard] || isMatching
		}
		checkCoverage(t, collector, partspec, hasPart)
	})
}

func checkCoverage(t *rapid.T, collector *upstream.Collector, partspec upstream.PartSpec, hasPart map[string]bool) {
	coverage := collector.Coverage()
	included := 0
	for shard := range partspec.Epochs {
		if hasPart[shard] {
			included++
		}
	}
	assert.Equal(t, coverage.SelectedCount, len(partspec.Epochs))
	assert.Equal(t, coverage.IncludedCount, included)
	assert.Equal(t, len(coverage.MissingShards), len(partspec.Epochs)-included)
	assert.Equal(t, len(collector.Parts()), included)
	for _, missing := range coverage.MissingShards {
		assert.Assert(t, !hasPart[missing.Shard], "%s is included", missing.Shard)
	}
}
