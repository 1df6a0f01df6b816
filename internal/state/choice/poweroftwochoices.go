package choice

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// peakHalfLife is the half-life of the difference between a replica's peak and
// mean latency while no answers arrive. The decay causes a replica that
// was slow to be tried again.
const peakHalfLife = 5 * time.Second

const (
	// coldFactor is the factor by which a replica's latency is higher shortly
	// after its start.
	coldFactor = 1.6
	// twoChoicesStallFactor is the multiple of its latency for which a replica
	// may answer none of its attempts before it counts as stalled.
	twoChoicesStallFactor = 2
	// minSuccessShare is the lower bound of the success share by which an
	// estimate is divided. It limits how much failures can raise the estimate.
	minSuccessShare = 0.05
)

// PowerOfTwoChoices compares two random replicas and selects the one with the
// lower estimated response time. The estimate takes into account the decaying
// peak of the replica's latency, the requests that it runs and queues, its
// failure rate and the time for which it has answered nothing.
type PowerOfTwoChoices struct{}

// Choose returns the better of two random replicas.
func (PowerOfTwoChoices) Choose(replicas []*view.Replica) *view.Replica {
	if len(replicas) == 1 {
		return replicas[0]
	}
	first := rand.N(len(replicas))
	second := rand.N(len(replicas) - 1)
	if second >= first {
		second++
	}
	now := view.MonotonicNow()
	if estimate(replicas[second], now) < estimate(replicas[first], now) {
		return replicas[second]
	}
	return replicas[first]
}

// estimate returns a relative measure, without a unit, of how long a request to
// replica would take at now, the time since view.MonotonicOrigin. A replica that
// has not answered yet has the lowest estimate.
func estimate(replica *view.Replica, now time.Duration) float64 {
	stats := replica.Stats
	mean := float64(stats.Latency.Load())
	peak := float64(stats.PeakLatency.Load())
	age := now - time.Duration(stats.AnsweredAt.Load())
	latency := mean + (peak-mean)*math.Exp2(-float64(age)/float64(peakHalfLife))
	if stats.IsCold(now) {
		latency *= coldFactor
	}
	if stalled := float64(stats.StalledFor(now)); stalled > twoChoicesStallFactor*latency {
		latency += stalled
	}
	slots := float64(max(replica.Upstream.Slots, 1))
	success := max(1-stats.FailureRateAt(now), minSuccessShare)
	return (latency + 1) * (1 + stats.EstimatedLoad(now)/slots) / success
}
