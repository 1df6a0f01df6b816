package upstream

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// creditPerFirstAttempt is the hedge credit that each first attempt adds,
	// in thousandths of a hedge.
	creditPerFirstAttempt = 35
	// maxHedgeCredit is the most credit that can accumulate, in thousandths of
	// a hedge.
	maxHedgeCredit = 20_000
	// reservedHedgeCredit is the part of the credit that only postponed hedges
	// may use, in thousandths of a hedge.
	reservedHedgeCredit = 12_000
	// hedgeCost is the credit that one hedge uses, in thousandths of a hedge.
	hedgeCost = 1_000
	// minHedgeDelay prevents hedges for attempts whose answer is already in
	// transit.
	minHedgeDelay = 2 * time.Millisecond
	// sigmasPerDeviation converts a mean absolute deviation to the standard
	// deviation of a normal distribution.
	sigmasPerDeviation = 1.25
)

// PercentileHedge hedges an attempt that has taken longer than a percentile of
// the latency of the shard's fastest replica. The percentile rises with the
// number of shards in the query, so that the credit is left for replicas that
// are really slow. It is safe for concurrent use.
type PercentileHedge struct {
	// credit is the credit available, in thousandths of a hedge.
	credit atomic.Int64
}

// NewPercentileHedge returns a PercentileHedge with the maximum credit.
func NewPercentileHedge() *PercentileHedge {
	hedge := &PercentileHedge{}
	hedge.credit.Store(maxHedgeCredit)
	return hedge
}

// Delay returns the delay of the hedge. It returns false if the shard has fewer
// than two replicas or no latency has been observed.
func (percentilehedge *PercentileHedge) Delay(request *Request, shard view.Shard) (time.Duration, bool) {
	fastest := time.Duration(math.MaxInt64)
	sigmas := HedgeSigmas(len(request.Selection.Shards))
	for _, replica := range shard.Replicas {
		mean := replica.Stats.Latency.Load()
		if mean == 0 {
			continue
		}
		spread := float64(replica.Stats.LatencyDeviation.Load()) * sigmasPerDeviation * sigmas
		fastest = min(fastest, time.Duration(float64(mean)+spread))
	}
	if len(shard.Replicas) < 2 || fastest == math.MaxInt64 {
		return 0, false
	}
	return max(fastest, minHedgeDelay), true
}

// queriesPerHedge is the number of queries among which one hedge is expected
// while no replica is slow.
const queriesPerHedge = 4

// HedgeSigmas returns the hedge delay as a number of standard deviations above
// the mean latency. If latencies are normally distributed, one attempt in
// queriesPerHedge queries to the given number of shards exceeds it.
func HedgeSigmas(shards int) float64 {
	percentile := 1 - 1/float64(queriesPerHedge*max(shards, 1))
	return math.Sqrt2 * math.Erfinv(2*percentile-1)
}

// postponedLoadFactor is the multiple of its slots up to which a replica may be
// loaded and still receive a postponed hedge.
const postponedLoadFactor = 2

// Allow takes one hedge from the credit. It returns false if the replica's
// slots are in use or the credit does not suffice.
func (percentilehedge *PercentileHedge) Allow(replica *view.Replica, isPostponed bool) bool {
	maxLoad := float64(replica.Upstream.Slots)
	minCredit := int64(reservedHedgeCredit)
	if isPostponed {
		maxLoad *= postponedLoadFactor
		minCredit = 0
	}
	if replica.Stats.RecentLoad(view.MonotonicNow()) >= maxLoad {
		return false
	}
	if percentilehedge.credit.Add(-hedgeCost) < minCredit {
		percentilehedge.credit.Add(hedgeCost)
		return false
	}
	return true
}

// CountFirstAttempt adds the credit of one first attempt.
func (percentilehedge *PercentileHedge) CountFirstAttempt() {
	if percentilehedge.credit.Load() < maxHedgeCredit {
		percentilehedge.credit.Add(creditPerFirstAttempt)
	}
}
