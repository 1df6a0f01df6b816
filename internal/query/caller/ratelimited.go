package caller

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/recent"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// adjustInterval is the time between two adjustments of a rate limit.
	adjustInterval = 100 * time.Millisecond
	// minOverloadedIntervals is the number of consecutive intervals over the target
	// utilization after which a limit is set. With fewer, a short stall of the
	// replicas would cause refusals.
	minOverloadedIntervals = 3
	// maxUtilization is the target utilization for the highest active priority, as
	// the load of the selected replicas divided by the number of their slots.
	maxUtilization = 1.5
	// priorityStep is the difference of the target utilization between adjacent
	// priorities.
	priorityStep = 0.2
	// activeTime is how long a priority counts as active after its last query.
	activeTime = 10 * time.Second
	// minUtilization is the lowest target utilization of any priority.
	minUtilization = 0.4
	// minFactor and maxFactor bound the factor by which one adjustment changes a
	// limit.
	minFactor = 0.7
	maxFactor = 1.1
	// initialFactor gives the first limit as a multiple of the rate of admitted
	// queries in the last interval.
	initialFactor = 0.9
	// minRate is the lowest limit, in queries per second. The few queries that it
	// admits show whether the replicas have recovered.
	minRate = 0.5
	// burst is the capacity of the token bucket, in queries. With a capacity of
	// one, the admitted queries are evenly spaced.
	burst = 1.0
)

// RateLimitedAdmission admits queries with an adaptive rate limit for each scope
// and kind. The limit depends on the load that the selected replicas report: it is
// lowered while their utilization is above the target of the scope's priority, and
// raised while it is below. Priorities below the highest active one have lower
// targets, so that their queries are refused first. It is safe for concurrent use.
type RateLimitedAdmission struct {
	// mutex guards the maps and the limiters.
	mutex sync.Mutex
	// limiters holds the rate limiters by scope and kind.
	limiters *recent.Latest[string, *limiter]
	// lastQueryAt holds the time of the last query of each active priority, since
	// view.MonotonicOrigin.
	lastQueryAt map[int]time.Duration
	// keptPriorities is the length of lastQueryAt after the last deletion.
	keptPriorities int
}

// NewRateLimitedAdmission returns an admission without any limits yet.
func NewRateLimitedAdmission() *RateLimitedAdmission {
	return &RateLimitedAdmission{limiters: recent.New[string, *limiter](maxLimited), lastQueryAt: make(map[int]time.Duration)}
}

// Admit admits a query if the rate limit of its scope and kind allows it.
func (ratelimitedadmission *RateLimitedAdmission) Admit(request AdmissionRequest) *Refusal {
	ratelimitedadmission.mutex.Lock()
	defer ratelimitedadmission.mutex.Unlock()
	key := request.Scope.Name + "/" + request.Selection.Kind
	scopeLimiter, isKnown := ratelimitedadmission.limiters.Get(key)
	now := view.MonotonicNow()
	ratelimitedadmission.lastQueryAt[request.Scope.Priority] = now
	if !isKnown {
		scopeLimiter = &limiter{rate: math.Inf(1), refilledAt: now, adjustedAt: now}
		ratelimitedadmission.limiters.Put(key, scopeLimiter)
		ratelimitedadmission.deleteInactive(now)
	}
	if now-scopeLimiter.adjustedAt >= adjustInterval {
		scopeLimiter.adjust(now, Utilization(request.Selection, now), ratelimitedadmission.targetUtilization(request.Scope.Priority, now))
	}
	if scopeLimiter.allow(now) {
		return nil
	}
	return &Refusal{Reason: "the replicas of scope " + request.Scope.Name + " are at their load", RetryAfter: scopeLimiter.retryAfter()}
}

// minPriorities is the number of priorities from which on inactive ones are deleted.
const minPriorities = 64

// deleteInactive deletes the priorities that are not active, if their number has doubled
// since it last did so. The caller holds mutex.
func (ratelimitedadmission *RateLimitedAdmission) deleteInactive(now time.Duration) {
	lastQueryAt := ratelimitedadmission.lastQueryAt
	if len(lastQueryAt) < max(2*ratelimitedadmission.keptPriorities, minPriorities) {
		return
	}
	maps.DeleteFunc(lastQueryAt, func(_ int, queriedAt time.Duration) bool { return now-queriedAt > activeTime })
	ratelimitedadmission.keptPriorities = len(lastQueryAt)
}

// Observe does nothing: the rate limits follow from the replicas' load.
func (*RateLimitedAdmission) Observe(AdmissionRequest, bool) {}

// targetUtilization returns the target utilization of a priority, given the
// priorities that are active at now. The caller holds mutex.
func (ratelimitedadmission *RateLimitedAdmission) targetUtilization(priority int, now time.Duration) float64 {
	highest := priority
	for other, queriedAt := range ratelimitedadmission.lastQueryAt {
		if now-queriedAt <= activeTime {
			highest = max(highest, other)
		}
	}
	steps := float64(highest - priority)
	return max(maxUtilization-steps*priorityStep, minUtilization)
}

// Utilization returns the load of the selected replicas divided by the number of
// their slots. It exceeds 1 when requests are queued. The parameter now is the time
// since view.MonotonicOrigin.
func Utilization(selection view.Selection, now time.Duration) float64 {
	load, slots := 0.0, 0.0
	for _, shard := range selection.Shards {
		for _, replica := range shard.Replicas {
			load += replica.Stats.RecentLoad(now)
			slots += float64(replica.Upstream.Slots)
		}
	}
	return load / max(slots, 1)
}

// limiter limits the rate of the queries of one scope and kind with a token
// bucket. The times are since view.MonotonicOrigin. A limiter is guarded by the
// mutex of its RateLimitedAdmission.
type limiter struct {
	// rate is the limit in queries per second; infinite while there is none.
	rate       float64
	tokens     float64
	refilledAt time.Duration
	adjustedAt time.Duration
	// admittedCount and refusedCount count the queries since adjustedAt.
	admittedCount int
	refusedCount  int
	// overloadedIntervals counts the consecutive intervals over the
	// target utilization.
	overloadedIntervals int
}

// adjust updates the rate limit by the utilization at the end of an interval. It
// sets a limit after minOverloadedIntervals, lowers it while the utilization is
// over the target, raises it while queries are refused although the utilization is
// not, and removes it once fewer than half of the queries that it allows arrive.
func (limiter *limiter) adjust(now time.Duration, utilization, targetUtilization float64) {
	admittedRate := float64(limiter.admittedCount) / (now - limiter.adjustedAt).Seconds()
	isOverloaded := utilization > targetUtilization
	if isOverloaded {
		limiter.overloadedIntervals++
	} else {
		limiter.overloadedIntervals = 0
	}
	switch {
	case isOverloaded && math.IsInf(limiter.rate, 1) && limiter.overloadedIntervals < minOverloadedIntervals:
	case isOverloaded && math.IsInf(limiter.rate, 1):
		limiter.rate = max(admittedRate*initialFactor, minRate)
		limiter.tokens = 0
	case isOverloaded:
		limiter.rate = max(limiter.rate*max(targetUtilization/utilization, minFactor), minRate)
	case limiter.refusedCount > 0:
		limiter.rate *= min(targetUtilization/max(utilization, targetUtilization/maxFactor), maxFactor)
	case admittedRate < limiter.rate/2:
		limiter.rate = math.Inf(1)
	}
	limiter.adjustedAt = now
	limiter.admittedCount = 0
	limiter.refusedCount = 0
}

// allow takes a token for one query, and reports whether there was one.
func (limiter *limiter) allow(now time.Duration) bool {
	if math.IsInf(limiter.rate, 1) {
		limiter.admittedCount++
		limiter.refilledAt = now
		return true
	}
	limiter.tokens = min(limiter.tokens+limiter.rate*(now-limiter.refilledAt).Seconds(), burst)
	limiter.refilledAt = now
	if limiter.tokens < 1 {
		limiter.refusedCount++
		return false
	}
	limiter.tokens--
	limiter.admittedCount++
	return true
}

// retryAfter returns the time until the next query would be admitted.
func (limiter *limiter) retryAfter() time.Duration {
	return time.Duration((1 - limiter.tokens) / limiter.rate * float64(time.Second))
}
