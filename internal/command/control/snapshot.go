package control

import (
	"maps"
	"slices"

	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// ChooseSnapshot returns the snapshot of index that the largest number of shards
// can serve. On a tie it prefers the published snapshot, then the newest one.
// reports holds the last report of each replica by name; a replica without one is
// taken to hold the published snapshot.
func ChooseSnapshot(index view.Index, reports map[string]message.ReplicaSnapshotsReported) uint64 {
	shardCounts := map[uint64]int{index.PublishedSnapshot: 0}
	for _, shard := range index.Shards {
		for snapshot := range shardSnapshots(index.PublishedSnapshot, shard, reports) {
			shardCounts[snapshot]++
		}
	}
	best := index.PublishedSnapshot
	for _, snapshot := range slices.Sorted(maps.Keys(shardCounts)) {
		hasMoreShards := shardCounts[snapshot] > shardCounts[best]
		isNewerTie := shardCounts[snapshot] == shardCounts[best] && best != index.PublishedSnapshot
		if hasMoreShards || isNewerTie {
			best = snapshot
		}
	}
	if shardCounts[best] == shardCounts[index.PublishedSnapshot] {
		return index.PublishedSnapshot
	}
	return best
}

// shardSnapshots returns the snapshots that at least one replica of shard holds.
func shardSnapshots(published uint64, shard view.Shard, reports map[string]message.ReplicaSnapshotsReported) map[uint64]bool {
	snapshots := make(map[uint64]bool)
	for _, replica := range shard.Replicas {
		report, isReported := reports[replica.Instance.Name]
		if !isReported {
			snapshots[published] = true
		}
		for _, snapshot := range report.HeldSnapshots {
			snapshots[snapshot] = true
		}
	}
	return snapshots
}
