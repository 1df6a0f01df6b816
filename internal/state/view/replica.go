package view

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// Replica is one instance of an upstream.
type Replica struct {
	Instance api.Instance
	Upstream api.Upstream
	// Stats is shared by all Views that hold this incarnation of the replica.
	Stats *ReplicaStats
}

// ReplicaStats holds what this instance observes of one replica. All goroutines
// that send to the replica share it without a lock: each exported field is read and
// written atomically, but not several of them together. Fields with a time hold
// nanoseconds since MonotonicOrigin, and the parameter now of the methods is a
// time since MonotonicOrigin.
type ReplicaStats struct {
	// InFlight is the number of attempts sent and not yet answered.
	InFlight atomic.Int64
	// Latency is a moving average of the latency of answered attempts, in
	// nanoseconds.
	Latency atomic.Int64
	// LatencyDeviation is a moving average of the absolute difference between the
	// latency of an attempt and Latency, in nanoseconds.
	LatencyDeviation atomic.Int64
	// PeakLatency is the latency of the slowest recent attempt, in nanoseconds. It
	// decays with each faster attempt.
	PeakLatency atomic.Int64
	// AnsweredAt is when Latency was last updated.
	AnsweredAt atomic.Int64
	// BusySince is when InFlight last rose from 0.
	BusySince atomic.Int64
	// FailureRate is a moving average of the share of attempts that did not
	// succeed, in units of 1/failureRateUnit.
	FailureRate atomic.Int64
	// FailureRateUpdatedAt is when FailureRate was last updated.
	FailureRateUpdatedAt atomic.Int64
	// ReportedLoad is the load that the replica last reported.
	ReportedLoad atomic.Int64
	// Slowdown is the slowdown that the replica last reported (see
	// api.Reply.Slowdown), in thousandths; 0 if the report did not state it.
	Slowdown atomic.Int64
	// BaseLatency is a moving average of the latency of answered attempts, divided
	// by the slowdown at the time and by the factor by which waiting for a slot
	// prolonged them, in nanoseconds. Single slow attempts have little influence on
	// it.
	BaseLatency atomic.Int64
	// ReportedAt is when ReportedLoad and Slowdown were last updated.
	ReportedAt atomic.Int64
	// IsLeaving is set once the replica is known to be draining. It is never
	// reset.
	IsLeaving atomic.Bool
	// IsEvacuated is set while the replica's failure domain is evacuated.
	IsEvacuated atomic.Bool
	// IsLeavingReported is set once control was told that the replica is leaving.
	IsLeavingReported atomic.Bool
	// BackoffUntil is the time until which the replica asked this instance to send
	// it nothing.
	BackoffUntil atomic.Int64
	// EjectedUntil is the time until which the replica is used only if there is no
	// other, because of its failures.
	EjectedUntil atomic.Int64
	// ConsecutiveFailures is the number of attempts that ended with an error since
	// the last successful one.
	ConsecutiveFailures atomic.Int64
	// ColdUntil is the time until which the replica is expected to be slow after
	// its start.
	ColdUntil atomic.Int64
	// SentAt is when a request of the relay protocol was last written to the replica,
	// and CheckedAt when a check of its health was last begun for its cold time.
	SentAt    atomic.Int64
	CheckedAt atomic.Int64
	// SlowUntil is the time until which the replica counts as slow because a home
	// reported so.
	SlowUntil atomic.Int64
	// NewestSnapshot is the highest snapshot that the replica is known to hold.
	NewestSnapshot atomic.Uint64
	// PacedSkips counts the choices in which the replica was left out because of its
	// pace.
	PacedSkips atomic.Int64

	// pacing limits what the replica gets while it is cold or has just started.
	pacing pacing
}

// MonotonicOrigin is the zero of the times in ReplicaStats. Differences from it
// use the monotonic clock.
var MonotonicOrigin = time.Now()

// MonotonicNow returns the time since MonotonicOrigin by the monotonic clock.
func MonotonicNow() time.Duration { return time.Since(MonotonicOrigin) }

// Weights of a new observation in the moving averages: a shift of n is a weight
// of 1/2^n.
const (
	latencyShift   = 3
	deviationShift = 3
)

// BeginAttempt counts an attempt that is about to be sent. It returns the time
// since MonotonicOrigin.
func (replicastats *ReplicaStats) BeginAttempt() time.Duration {
	now := MonotonicNow()
	if replicastats.InFlight.Add(1) == 1 {
		replicastats.BusySince.Store(int64(now))
	}
	replicastats.countPacedAttempt(now)
	return now
}

// EndAttempt must be called once for each BeginAttempt, when the attempt was
// answered, failed or was cancelled.
func (replicastats *ReplicaStats) EndAttempt() { replicastats.InFlight.Add(-1) }

// StalledFor returns for how long attempts have been in flight without any of
// them being answered; 0 if none is in flight.
func (replicastats *ReplicaStats) StalledFor(now time.Duration) time.Duration {
	if replicastats.InFlight.Load() == 0 {
		return 0
	}
	since := max(replicastats.BusySince.Load(), replicastats.AnsweredAt.Load())
	return max(now-time.Duration(since), 0)
}

const (
	// failureShift gives the weight of a new outcome in FailureRate:
	// 1/2^failureShift.
	failureShift = 3
	// failureRateUnit is the value of FailureRate at which every attempt fails.
	failureRateUnit = 1 << 16
	// failureHalfLife is the time in which FailureRate halves while nothing is
	// observed, so that a failing replica is tried again.
	failureHalfLife = 2 * time.Second
)

// ObserveOutcome updates FailureRate with the outcome of one attempt.
func (replicastats *ReplicaStats) ObserveOutcome(isSuccessful bool) {
	now := MonotonicNow()
	rate := int64(replicastats.FailureRateAt(now) * failureRateUnit)
	target := int64(failureRateUnit)
	if isSuccessful {
		target = 0
	}
	replicastats.FailureRate.Store(rate + (target-rate)>>failureShift)
	replicastats.FailureRateUpdatedAt.Store(int64(now))
}

// FailureRateAt returns the moving average of the share of attempts that did not
// succeed, 0 to 1, decayed by the time since the last outcome.
func (replicastats *ReplicaStats) FailureRateAt(now time.Duration) float64 {
	rate := float64(replicastats.FailureRate.Load()) / failureRateUnit
	if rate == 0 {
		return 0
	}
	age := now - time.Duration(replicastats.FailureRateUpdatedAt.Load())
	return rate * math.Exp2(-float64(age)/float64(failureHalfLife))
}

// ObserveLatency updates the moving averages with the latency of one answered
// attempt. If two goroutines call it at the same time, one of the observations
// may be lost.
//
// waitFactor is the replica's WaitFactor when the attempt began.
func (replicastats *ReplicaStats) ObserveLatency(latency time.Duration, waitFactor float64) {
	replicastats.observeBaseLatency(time.Duration(float64(latency) / waitFactor))
	replicastats.AnsweredAt.Store(int64(MonotonicNow()))
	peak := replicastats.PeakLatency.Load()
	if int64(latency) >= peak {
		replicastats.PeakLatency.Store(int64(latency))
	} else {
		replicastats.PeakLatency.Store(peak - (peak-int64(latency))>>latencyShift)
	}
	mean := replicastats.Latency.Load()
	if mean == 0 {
		replicastats.Latency.Store(int64(latency))
		replicastats.LatencyDeviation.Store(int64(latency) / 2)
		return
	}
	difference := int64(latency) - mean
	replicastats.Latency.Store(mean + difference>>latencyShift)
	deviation := replicastats.LatencyDeviation.Load()
	replicastats.LatencyDeviation.Store(deviation + (max(difference, -difference)-deviation)>>deviationShift)
}

// ObserveReport records the load and the slowdown that a reply states. It does
// nothing if the reply states no load.
func (replicastats *ReplicaStats) ObserveReport(reply api.Reply) {
	if !reply.IsLoadKnown {
		return
	}
	replicastats.ReportedLoad.Store(int64(reply.Load))
	replicastats.Slowdown.Store(int64(reply.Slowdown * slowdownUnit))
	replicastats.ReportedAt.Store(int64(MonotonicNow()))
}

const (
	// slowdownUnit is the value of Slowdown at which work takes its usual time.
	slowdownUnit = 1_000
	// slowdownMaxAge is how long a reported slowdown is used. A replica's slowdown
	// changes several times a second.
	slowdownMaxAge = 400 * time.Millisecond
	// baseShift gives the weight of a new observation in BaseLatency:
	// 1/2^baseShift.
	baseShift = 3
	// maxBaseRatio bounds an observation as a multiple of BaseLatency, so that a
	// pause of the replica does not count as its usual latency.
	maxBaseRatio = 3
	// baseHalfLife is the time in which the expected latency halves while nothing
	// is observed, so that a replica that was slow is tried again.
	baseHalfLife = 2 * time.Second
)

// SlowdownAt returns the replica's last reported slowdown; 1 if none is known or
// the report is older than slowdownMaxAge.
func (replicastats *ReplicaStats) SlowdownAt(now time.Duration) float64 {
	slowdown := replicastats.Slowdown.Load()
	if slowdown <= 0 || now-time.Duration(replicastats.ReportedAt.Load()) > slowdownMaxAge {
		return 1
	}
	return float64(slowdown) / slowdownUnit
}

// observeBaseLatency updates BaseLatency with the latency of one answered attempt
// without the time that it waited for a slot.
func (replicastats *ReplicaStats) observeBaseLatency(latency time.Duration) {
	observed := int64(float64(latency) / replicastats.SlowdownAt(MonotonicNow()))
	base := replicastats.BaseLatency.Load()
	if base == 0 {
		replicastats.BaseLatency.Store(observed)
		return
	}
	observed = min(observed, base*maxBaseRatio)
	replicastats.BaseLatency.Store(base + (observed-base)>>baseShift)
}

// ExpectedLatency returns the expected latency of an attempt that does not have
// to wait for a slot; 0 if none has been observed. It decays by the time since
// the last answer.
func (replicastats *ReplicaStats) ExpectedLatency(now time.Duration) time.Duration {
	base := float64(replicastats.BaseLatency.Load())
	age := now - time.Duration(replicastats.AnsweredAt.Load())
	return time.Duration(base * replicastats.SlowdownAt(now) * math.Exp2(-float64(age)/float64(baseHalfLife)))
}

// ObserveCancelled updates the moving averages with an attempt that was cancelled
// without an answer after the given time. This time is a lower bound of the
// attempt's latency, so it counts only if it exceeds the average.
func (replicastats *ReplicaStats) ObserveCancelled(after time.Duration, waitFactor float64) {
	if int64(after) > replicastats.Latency.Load() {
		replicastats.ObserveLatency(after, waitFactor)
	}
}

// EstimatedLoad returns an estimate of the number of requests that the replica
// runs or queues. It is the number that this instance has in flight plus what the
// last report states beyond it. The latter decays with a half-life of Latency.
func (replicastats *ReplicaStats) EstimatedLoad(now time.Duration) float64 {
	own := float64(replicastats.InFlight.Load())
	others := float64(replicastats.ReportedLoad.Load()) - own
	if others <= 0 {
		return own
	}
	age := float64(now) - float64(replicastats.ReportedAt.Load())
	halfLife := float64(max(replicastats.Latency.Load(), 1))
	return own + others*math.Exp2(-age/halfLife)
}

// occupiedSlowdown is the share by which a replica is slower when all of its slots
// are occupied than when it is idle.
const occupiedSlowdown = 0.3

// WaitFactor returns the factor by which the requests that the replica runs and
// queues prolong another one, relative to its latency on an idle replica.
func (replica *Replica) WaitFactor(now time.Duration) float64 {
	slots := float64(max(replica.Upstream.Slots, 1))
	load := replica.Stats.EstimatedLoad(now)
	return 1 + occupiedSlowdown*min(load/slots, 1) + max(load+1-slots, 0)/slots
}

// reportMaxAge is how long RecentLoad uses a report.
const reportMaxAge = time.Second

// RecentLoad returns the number of requests that the replica ran or queued
// according to a report not older than reportMaxAge, or the number that this
// instance has in flight if it is greater or there is no such report.
func (replicastats *ReplicaStats) RecentLoad(now time.Duration) float64 {
	own := float64(replicastats.InFlight.Load())
	if now-time.Duration(replicastats.ReportedAt.Load()) > reportMaxAge {
		return own
	}
	return max(own, float64(replicastats.ReportedLoad.Load()))
}

// IsEjected reports whether the replica is to be used only if there is no other
// at the given time, because of its failures.
func (replicastats *ReplicaStats) IsEjected(now time.Duration) bool {
	return replicastats.EjectedUntil.Load() > int64(now)
}
