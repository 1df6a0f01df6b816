package view_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// leaving stands for a replica that is leaving in the tests of waits.
const leaving = time.Duration(-1)

// newShard returns a shard whose replicas asked at time 0 for the given waits.
func newShard(waits ...time.Duration) view.Shard {
	var shard view.Shard
	for _, wait := range waits {
		stats := &view.ReplicaStats{}
		stats.IsLeaving.Store(wait == leaving)
		stats.Backoff(0, max(wait, 0))
		shard.Replicas = append(shard.Replicas, &view.Replica{Stats: stats})
	}
	return shard
}

// TestCoverageWait checks after which time a request can reach its least coverage.
func TestCoverageWait(t *testing.T) {
	tests := map[string]struct {
		shards      []view.Shard
		minCoverage float64
		want        time.Duration
	}{
		"no shard":                           {minCoverage: 1},
		"no replica waits":                   {shards: []view.Shard{newShard(0, 0)}, minCoverage: 1},
		"one of two replicas waits":          {shards: []view.Shard{newShard(3*time.Second, 0)}, minCoverage: 1},
		"both wait":                          {shards: []view.Shard{newShard(3*time.Second, 2*time.Second)}, minCoverage: 1, want: 2 * time.Second},
		"the one that does not wait leaves":  {shards: []view.Shard{newShard(leaving, 2*time.Second)}, minCoverage: 1, want: 2 * time.Second},
		"all leave":                          {shards: []view.Shard{newShard(leaving)}, minCoverage: 1},
		"enough shards without the others":   {shards: []view.Shard{newShard(0), newShard(time.Second)}, minCoverage: 0.5},
		"too few shards without the others":  {shards: []view.Shard{newShard(0), newShard(time.Second), newShard(2 * time.Second)}, minCoverage: 0.5, want: time.Second},
		"any shard is enough":                {shards: []view.Shard{newShard(5 * time.Second), newShard(time.Second)}, want: time.Second},
		"a wait that does not end in a life": {shards: []view.Shard{newShard(view.NeverAvailable - 1)}, minCoverage: 1, want: view.NeverAvailable - 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, view.CoverageWait(test.shards, test.minCoverage, 0), test.want)
		})
	}
}

// TestBackoffKeepsTheLongerWait checks that a later, shorter wait changes nothing.
func TestBackoffKeepsTheLongerWait(t *testing.T) {
	stats := &view.ReplicaStats{}
	stats.Backoff(0, 3*time.Second)
	stats.Backoff(time.Second, time.Second)
	assert.Equal(t, stats.BackoffLeft(time.Second), 2*time.Second)
	assert.Equal(t, stats.BackoffLeft(4*time.Second), time.Duration(0))
}
