package choice

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// peakHalfLife is the time in which a replica's peak falls half-way to its
// mean while nothing is observed, so that a slow replica is tried again.
const peakHalfLife = 5 * time.Second

const (
	// coldFactor is how many times slower a replica is shortly after its start.
	coldFactor = 1.6
	// stallFactor is how many times its latency a replica may leave attempts
	// without an answer before it counts as stalled.
	stallFactor = 2
	// leastSuccess bounds what failures add.
	leastSuccess = 0.05
)

// PowerOfTwoChoices picks, of two random replicas, the one that would answer sooner:
// by the peak of its latency, the requests that it runs and queues, how often
// it fails and how long it has answered nothing.
type PowerOfTwoChoices struct{}

// Choose picks a replica.
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
	if wait(replicas[second], now) < wait(replicas[first], now) {
		return replicas[second]
	}
	return replicas[first]
}

// wait estimates how long a request to replica would take. It is in no unit:
// a replica without an observation counts as the fastest.
func wait(replica *view.Replica, now time.Duration) float64 {
	traffic := replica.Stats
	mean := float64(traffic.Latency.Load())
	peak := float64(traffic.PeakLatency.Load())
	age := now - time.Duration(traffic.AnsweredAt.Load())
	latency := mean + (peak-mean)*math.Exp2(-float64(age)/float64(peakHalfLife))
	if now < time.Duration(traffic.ColdUntil.Load()) {
		latency *= coldFactor
	}
	if stalled := float64(traffic.StalledFor(now)); stalled > stallFactor*latency {
		latency += stalled
	}
	slots := float64(max(replica.Upstream.Slots, 1))
	success := max(1-traffic.FailureRateAt(now), leastSuccess)
	return (latency + 1) * (1 + traffic.EstimatedLoad(now)/slots) / success
}
