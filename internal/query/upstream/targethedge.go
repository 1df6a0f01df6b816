package upstream

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Shares of the time to the target time after which the hedge is sent, for
// queries to several shards and to a single one. The rest of the time suffices
// for a usual answer of another replica.
const (
	fanOutHedgeShare      = 0.4
	singleShardHedgeShare = 0.5
)

// TargetHedge hedges an attempt that has used up a fixed share of the time to
// the scope's target latency. The number of hedges is limited by the retry
// budget only.
type TargetHedge struct{}

// Delay returns the delay of the hedge. It returns false if the query has no
// target time or the shard has fewer than two replicas.
func (TargetHedge) Delay(request *Request, shard view.Shard) (time.Duration, bool) {
	if request.TargetTime.IsZero() || len(shard.Replicas) < 2 {
		return 0, false
	}
	share := fanOutHedgeShare
	if len(request.Selection.Shards) == 1 {
		share = singleShardHedgeShare
	}
	return time.Duration(share * float64(time.Until(request.TargetTime))), true
}

// Allow returns false if the replica's slots are in use. For a postponed hedge
// the limit is postponedLoadFactor times the slots.
func (TargetHedge) Allow(replica *view.Replica, isPostponed bool) bool {
	maxLoad := float64(replica.Upstream.Slots)
	if isPostponed {
		maxLoad *= postponedLoadFactor
	}
	return replica.Stats.RecentLoad(view.MonotonicNow()) < maxLoad
}

// CountFirstAttempt does nothing, because the retry budget counts the first
// attempts.
func (TargetHedge) CountFirstAttempt() {}
