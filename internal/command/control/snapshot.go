package control

import (
	"maps"
	"slices"

	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// ChooseSnapshot returns the snapshot that the most shards can serve. Among
// equals it prefers the published one, then the newest. A replica that has
// not reported counts for the published snapshot.
func ChooseSnapshot(index view.Index, held map[string]message.ReplicaSnapshotsReported) uint64 {
	covered := map[uint64]int{index.PublishedSnapshot: 0}
	for _, shard := range index.Shards {
		for snapshot := range shardSnapshots(index.PublishedSnapshot, shard, held) {
			covered[snapshot]++
		}
	}
	best := index.PublishedSnapshot
	for _, snapshot := range slices.Sorted(maps.Keys(covered)) {
		isMore := covered[snapshot] > covered[best]
		isNewer := covered[snapshot] == covered[best] && best != index.PublishedSnapshot
		if isMore || isNewer {
			best = snapshot
		}
	}
	if covered[best] == covered[index.PublishedSnapshot] {
		return index.PublishedSnapshot
	}
	return best
}

func shardSnapshots(published uint64, shard view.Shard, held map[string]message.ReplicaSnapshotsReported) map[uint64]bool {
	snapshots := make(map[uint64]bool)
	for _, replica := range shard.Replicas {
		report, isReported := held[replica.Instance.Name]
		if !isReported {
			snapshots[published] = true
		}
		for _, snapshot := range report.HeldSnapshots {
			snapshots[snapshot] = true
		}
	}
	return snapshots
}
