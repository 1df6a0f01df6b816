package choice

import (
	"math"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// remoteDomainCost is the factor by which a replica in the instance's own
	// failure domain may be slower than one in another domain and still be
	// preferred. Traffic between failure domains is charged for.
	remoteDomainCost = 2.2
	// failureExponent is the power to which the success share is raised before
	// the estimate is divided by it. A further attempt takes little time but
	// uses the retry budget, which is exhausted first when many replicas fail.
	failureExponent = 3
	// A replica counts as stalled when it has answered nothing for
	// expectedDelayStallFactor times its expected latency and for at least
	// minStall.
	expectedDelayStallFactor = 3
	minStall                 = 5 * time.Millisecond
	// minStallCost is the least time added to the estimate of a stalled replica.
	// A pause of a process lasts several times as long.
	minStallCost = 50 * time.Millisecond
)

// ShortestExpectedDelay selects the replica with the lowest expected response
// time, computed from the replica's current speed and the requests that it runs
// and queues. It prefers replicas in its own failure domain and avoids those
// that fail or have stopped answering. It suits an instance that sends most of
// the requests that its replicas receive, because it then knows their load.
type ShortestExpectedDelay struct {
	// FailureDomain is the failure domain in which this instance runs.
	FailureDomain string
}

// Choose returns the replica with the lowest expected delay.
func (shortestexpecteddelay ShortestExpectedDelay) Choose(replicas []*view.Replica) *view.Replica {
	now := view.MonotonicNow()
	best, lowest := replicas[0], shortestexpecteddelay.expectedDelay(replicas[0], now)
	for _, replica := range replicas[1:] {
		if delay := shortestexpecteddelay.expectedDelay(replica, now); delay < lowest {
			best, lowest = replica, delay
		}
	}
	return best
}

// expectedDelay returns the expected response time of replica, in nanoseconds,
// weighted for traffic to other failure domains and for failures. The parameter
// now is the time since view.MonotonicOrigin.
func (shortestexpecteddelay ShortestExpectedDelay) expectedDelay(replica *view.Replica, now time.Duration) float64 {
	stats := replica.Stats
	expected := stats.ExpectedLatency(now)
	delay := float64(expected + time.Microsecond)
	if stats.IsCold(now) {
		delay *= coldFactor
	}
	delay *= replica.WaitFactor(now)
	if replica.Instance.FailureDomain != shortestexpecteddelay.FailureDomain {
		delay *= remoteDomainCost
	}
	if stalled := stats.StalledFor(now); stalled > max(expectedDelayStallFactor*expected, minStall) {
		delay += float64(max(stalled, minStallCost))
	}
	success := max(1-stats.FailureRateAt(now), minSuccessShare)
	return delay / math.Pow(success, failureExponent)
}
