package choice

import (
	"math"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// farCost is how many times longer an answer of another failure domain may
	// take than a near one before it is preferred less: the bytes that go there
	// and back are paid for.
	farCost = 2.2
	// failureCost is the power to which the share of answered attempts divides
	// the wait. Another attempt takes little time, but draws on the retry
	// budget, which is spent first where many replicas fail.
	failureCost = 3
	// fullness is how much a replica slows down as its slots fill.
	fullness = 0.3
	// stallMultiple and leastStall are from when a replica that answers nothing
	// counts as stalled, as a multiple of what an answer takes and at least.
	stallMultiple = 3
	leastStall    = 5 * time.Millisecond
	// stallCost is what a stalled replica is expected to take at least; pauses
	// last several times as long.
	stallCost = 50 * time.Millisecond
)

// ShortestExpectedDelay picks the replica whose answer is expected first, by what an answer
// of each takes at its pace of the moment and by the requests before it. It
// prefers near replicas, and avoids those that fail or answer nothing. It is
// meant for an instance that sees most requests of the replicas it chooses
// from.
type ShortestExpectedDelay struct {
	// FailureDomain is where this instance runs.
	FailureDomain string
}

// Choose picks a replica.
func (soonest ShortestExpectedDelay) Choose(replicas []*view.Replica) *view.Replica {
	now := view.MonotonicNow()
	best, least := replicas[0], soonest.wait(replicas[0], now)
	for _, replica := range replicas[1:] {
		if wait := soonest.wait(replica, now); wait < least {
			best, least = replica, wait
		}
	}
	return best
}

// wait estimates how long a request to replica would take, in nanoseconds
// weighted by what it costs.
func (soonest ShortestExpectedDelay) wait(replica *view.Replica, now time.Duration) float64 {
	traffic := replica.Stats
	expected := traffic.ExpectedLatency(now)
	wait := float64(expected + time.Microsecond)
	if now < time.Duration(traffic.ColdUntil.Load()) {
		wait *= coldFactor
	}
	slots := float64(max(replica.Upstream.Slots, 1))
	load := traffic.EstimatedLoad(now)
	wait *= 1 + fullness*min(load/slots, 1) + max(load+1-slots, 0)/slots
	if replica.Instance.FailureDomain != soonest.FailureDomain {
		wait *= farCost
	}
	if stalled := traffic.StalledFor(now); stalled > max(stallMultiple*expected, leastStall) {
		wait += float64(max(stalled, stallCost))
	}
	success := max(1-traffic.FailureRateAt(now), leastSuccess)
	return wait / math.Pow(success, failureCost)
}
