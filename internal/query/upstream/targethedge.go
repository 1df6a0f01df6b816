package upstream

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Shares of the time to a scope's target after which a second attempt is sent.
// What is left is enough for a usual answer of another replica.
const (
	mergedHedgeShare  = 0.4
	relayedHedgeShare = 0.5
)

// TargetHedge hedges an attempt that has taken a share of the time to the
// scope's target latency. The retry budget bounds it.
type TargetHedge struct{}

// Delay returns the delay of a second attempt.
func (TargetHedge) Delay(request *Request, shard view.Shard) (time.Duration, bool) {
	if request.Target.IsZero() || len(shard.Replicas) < 2 {
		return 0, false
	}
	share := mergedHedgeShare
	if len(request.Selection.Shards) == 1 {
		share = relayedHedgeShare
	}
	return time.Duration(share * float64(time.Until(request.Target))), true
}

// Allow returns false for a replica whose slots are taken.
func (TargetHedge) Allow(replica *view.Replica, isLate bool) bool {
	most := float64(replica.Upstream.Slots)
	if isLate {
		most *= lateLoadFactor
	}
	return replica.Stats.RecentLoad(view.MonotonicNow()) < most
}

// CountFirstAttempt does nothing: the retry budget counts.
func (TargetHedge) CountFirstAttempt() {}
