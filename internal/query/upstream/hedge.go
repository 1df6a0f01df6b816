package upstream

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// hedgeShare is the share of first attempts that may be hedged, in
	// thousandths.
	hedgeShare = 35
	// hedgeBurst is how many hedges the budget may hold, in thousandths.
	hedgeBurst = 20_000
	// hedgeReserve is the part of the budget that only late hedges use, in
	// thousandths.
	hedgeReserve = 12_000
	// hedgeCost is what one hedge takes from the budget, in thousandths.
	hedgeCost = 1_000
	// leastHedgeDelay keeps hedges from answers that are on their way.
	leastHedgeDelay = 2 * time.Millisecond
	// deviationsPerSigma converts a mean absolute deviation to the sigma of a
	// normal distribution.
	deviationsPerSigma = 1.25
)

// PercentileHedge hedges an attempt that has taken longer than its shard's
// fastest replica would at a percentile. The percentile follows from the
// fan-out, so that the budget is left for replicas that are truly slow.
type PercentileHedge struct {
	// budget is in thousandths of a hedge.
	budget atomic.Int64
}

// NewPercentileHedge returns a hedge with a full budget.
func NewPercentileHedge() *PercentileHedge {
	hedge := &PercentileHedge{}
	hedge.budget.Store(hedgeBurst)
	return hedge
}

// Delay returns the delay of a second attempt.
func (percentilehedge *PercentileHedge) Delay(request *Request, shard view.Shard) (time.Duration, bool) {
	fastest := time.Duration(math.MaxInt64)
	sigmas := HedgeSigmas(len(request.Selection.Shards))
	for _, replica := range shard.Replicas {
		mean := replica.Stats.Latency.Load()
		if mean == 0 {
			continue
		}
		spread := float64(replica.Stats.LatencyDeviation.Load()) * deviationsPerSigma * sigmas
		fastest = min(fastest, time.Duration(float64(mean)+spread))
	}
	if len(shard.Replicas) < 2 || fastest == math.MaxInt64 {
		return 0, false
	}
	return max(fastest, leastHedgeDelay), true
}

// queriesPerHedge is in how many queries one natural hedge is expected.
const queriesPerHedge = 4

// HedgeSigmas returns how many sigmas above the mean a normal distribution's
// percentile lies that one attempt in queriesPerHedge queries to so many
// shards exceeds.
func HedgeSigmas(shards int) float64 {
	percentile := 1 - 1/float64(queriesPerHedge*max(shards, 1))
	return math.Sqrt2 * math.Erfinv(2*percentile-1)
}

// lateLoadFactor is how many times its slots a replica may be loaded and still
// get a late hedge.
const lateLoadFactor = 2

// Allow takes one hedge from the budget, and none for a replica whose slots
// are taken.
func (percentilehedge *PercentileHedge) Allow(replica *view.Replica, isLate bool) bool {
	most := float64(replica.Upstream.Slots)
	kept := int64(hedgeReserve)
	if isLate {
		most *= lateLoadFactor
		kept = 0
	}
	if replica.Stats.RecentLoad(view.MonotonicNow()) >= most {
		return false
	}
	if percentilehedge.budget.Add(-hedgeCost) < kept {
		percentilehedge.budget.Add(hedgeCost)
		return false
	}
	return true
}

// CountFirstAttempt adds the share of one first attempt to the budget.
func (percentilehedge *PercentileHedge) CountFirstAttempt() {
	if percentilehedge.budget.Load() < hedgeBurst {
		percentilehedge.budget.Add(hedgeShare)
	}
}
