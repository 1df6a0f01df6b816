package view

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// Replica is one instance of an upstream as traffic sees it.
type Replica struct {
	Instance api.Instance
	Upstream api.Upstream
	// Stats is shared by all Views that hold this replica's incarnation.
	Stats *ReplicaStats
}

// ReplicaStats holds the words that traffic goroutines share for one replica.
type ReplicaStats struct {
	// InFlight counts the attempts sent and not yet answered.
	InFlight atomic.Int64
	// Latency is a moving average of answered attempts, in nanoseconds.
	Latency atomic.Int64
	// LatencyDeviation is a moving average of the latency's distance from Latency, in
	// nanoseconds.
	LatencyDeviation atomic.Int64
	// PeakLatency is the latency of the slowest recent attempt, in nanoseconds. It
	// falls with each faster one.
	PeakLatency atomic.Int64
	// AnsweredAt is when Latency was last updated, in nanoseconds since Epoch.
	AnsweredAt atomic.Int64
	// BusySince is when InFlight last rose from 0, in nanoseconds since Epoch.
	BusySince atomic.Int64
	// FailureRate is a moving share of attempts that brought no answer, as a part
	// of failingUnit, and FailingAt when it was last updated.
	FailureRate          atomic.Int64
	FailureRateUpdatedAt atomic.Int64
	// ReportedLoad is the load that the replica last reported.
	ReportedLoad atomic.Int64
	// Slowdown is how long work takes at the replica, in thousandths of the usual,
	// as of ReportedAt; 0 where it does not say.
	Slowdown atomic.Int64
	// BaseLatency is a moving average of answered attempts at the usual pace, in
	// nanoseconds. Single long ones count little.
	BaseLatency atomic.Int64
	// ReportedAt is when ReportedLoad was read, in nanoseconds since Epoch.
	ReportedAt atomic.Int64
	// IsLeaving is set once the replica is known to drain; it is never reset.
	IsLeaving atomic.Bool
	// EjectedUntil is when a failing replica may be used again, in
	// nanoseconds since Epoch.
	EjectedUntil atomic.Int64
	// ConsecutiveFailures counts the failed attempts since the last answer.
	ConsecutiveFailures atomic.Int64
	// ColdUntil is until when the replica is slow after its start, in
	// nanoseconds since Epoch.
	ColdUntil atomic.Int64
	// SlowUntil is until when a home has said that the replica is slow, in
	// nanoseconds since Epoch.
	SlowUntil atomic.Int64
	// NewestSnapshot is the highest snapshot that the replica is known to hold.
	NewestSnapshot atomic.Uint64
}

// MonotonicOrigin is the origin of the times that Traffic holds; differences from it
// use the monotonic clock.
var MonotonicOrigin = time.Now()

// MonotonicNow returns the monotonic time since Epoch.
func MonotonicNow() time.Duration { return time.Since(MonotonicOrigin) }

// Weights of a new observation in the moving averages, as one in two to this
// power.
const (
	latencyShift   = 3
	deviationShift = 3
)

// BeginAttempt counts an attempt that is sent now and returns the time since Epoch.
func (traffic *ReplicaStats) BeginAttempt() time.Duration {
	now := MonotonicNow()
	if traffic.InFlight.Add(1) == 1 {
		traffic.BusySince.Store(int64(now))
	}
	return now
}

// EndAttempt counts an attempt that is over.
func (traffic *ReplicaStats) EndAttempt() { traffic.InFlight.Add(-1) }

// StalledFor returns how long attempts have waited with none answered.
func (traffic *ReplicaStats) StalledFor(now time.Duration) time.Duration {
	if traffic.InFlight.Load() == 0 {
		return 0
	}
	since := max(traffic.BusySince.Load(), traffic.AnsweredAt.Load())
	return max(now-time.Duration(since), 0)
}

const (
	// outcomeShift is the weight of a new outcome in Failing, as one in two to
	// this power.
	outcomeShift = 3
	// failingUnit is the value of Failing where every attempt fails.
	failingUnit = 1 << 16
	// failingHalfLife is the time in which Failing halves while nothing is
	// observed, so that a failing replica is tried again.
	failingHalfLife = 2 * time.Second
)

// ObserveOutcome folds in whether an attempt brought an answer.
func (traffic *ReplicaStats) ObserveOutcome(isAnswered bool) {
	now := MonotonicNow()
	share := int64(traffic.FailureRateAt(now) * failingUnit)
	target := int64(failingUnit)
	if isAnswered {
		target = 0
	}
	traffic.FailureRate.Store(share + (target-share)>>outcomeShift)
	traffic.FailureRateUpdatedAt.Store(int64(now))
}

// FailureRateAt returns the moving share of attempts that brought no answer, 0
// to 1.
func (traffic *ReplicaStats) FailureRateAt(now time.Duration) float64 {
	share := float64(traffic.FailureRate.Load()) / failingUnit
	if share == 0 {
		return 0
	}
	age := now - time.Duration(traffic.FailureRateUpdatedAt.Load())
	return share * math.Exp2(-float64(age)/float64(failingHalfLife))
}

// ObserveLatency folds one answered attempt into the moving averages. Two
// goroutines that observe at once may lose one of the observations.
func (traffic *ReplicaStats) ObserveLatency(latency time.Duration) {
	traffic.ObserveBaseLatency(latency)
	traffic.AnsweredAt.Store(int64(MonotonicNow()))
	peak := traffic.PeakLatency.Load()
	if int64(latency) >= peak {
		traffic.PeakLatency.Store(int64(latency))
	} else {
		traffic.PeakLatency.Store(peak - (peak-int64(latency))>>latencyShift)
	}
	old := traffic.Latency.Load()
	if old == 0 {
		traffic.Latency.Store(int64(latency))
		traffic.LatencyDeviation.Store(int64(latency) / 2)
		return
	}
	distance := int64(latency) - old
	traffic.Latency.Store(old + distance>>latencyShift)
	deviation := traffic.LatencyDeviation.Load()
	traffic.LatencyDeviation.Store(deviation + (max(distance, -distance)-deviation)>>deviationShift)
}

// ObserveReport takes what a reply says of the replica's load.
func (traffic *ReplicaStats) ObserveReport(reply api.Reply) {
	if !reply.IsLoadKnown {
		return
	}
	traffic.ReportedLoad.Store(int64(reply.Load))
	traffic.Slowdown.Store(int64(reply.Slowdown * paceUnit))
	traffic.ReportedAt.Store(int64(MonotonicNow()))
}

const (
	// paceUnit is the value of Pace at the usual pace.
	paceUnit = 1_000
	// paceAge is how long a reported pace counts; it changes several times a
	// second.
	paceAge = 400 * time.Millisecond
	// baseShift is the weight of a new observation in Base, as one in two to
	// this power.
	baseShift = 3
	// mostOfBase bounds an observation as a multiple of Base, so that a pause
	// of the replica does not count as its usual latency.
	mostOfBase = 3
	// baseHalfLife is the time in which Base halves while nothing is observed,
	// so that a replica which was slow is tried again.
	baseHalfLife = 2 * time.Second
)

// SlowdownAt returns the replica's pace as far as it is known.
func (traffic *ReplicaStats) SlowdownAt(now time.Duration) float64 {
	pace := traffic.Slowdown.Load()
	if pace <= 0 || now-time.Duration(traffic.ReportedAt.Load()) > paceAge {
		return 1
	}
	return float64(pace) / paceUnit
}

// ObserveBaseLatency folds an answered attempt into Base.
func (traffic *ReplicaStats) ObserveBaseLatency(latency time.Duration) {
	at := int64(float64(latency) / traffic.SlowdownAt(MonotonicNow()))
	old := traffic.BaseLatency.Load()
	if old == 0 {
		traffic.BaseLatency.Store(at)
		return
	}
	at = min(at, old*mostOfBase)
	traffic.BaseLatency.Store(old + (at-old)>>baseShift)
}

// ExpectedLatency returns how long an attempt takes once it has a slot, as far as is
// known; 0 where nothing is.
func (traffic *ReplicaStats) ExpectedLatency(now time.Duration) time.Duration {
	base := float64(traffic.BaseLatency.Load())
	age := now - time.Duration(traffic.AnsweredAt.Load())
	return time.Duration(base * traffic.SlowdownAt(now) * math.Exp2(-float64(age)/float64(baseHalfLife)))
}

// ObserveCancelled folds in an attempt that was given up after the given
// time: its latency would have been longer.
func (traffic *ReplicaStats) ObserveCancelled(after time.Duration) {
	if int64(after) > traffic.Latency.Load() {
		traffic.ObserveLatency(after)
	}
}

// EstimatedLoad returns the best estimate of the requests that the replica runs or
// queues: this instance's own, and what a report says beyond them. A report
// loses half of its weight in the time of one answer.
func (traffic *ReplicaStats) EstimatedLoad(now time.Duration) float64 {
	own := float64(traffic.InFlight.Load())
	beyond := float64(traffic.ReportedLoad.Load()) - own
	if beyond <= 0 {
		return own
	}
	age := float64(now) - float64(traffic.ReportedAt.Load())
	halfLife := float64(max(traffic.Latency.Load(), 1))
	return own + beyond*math.Exp2(-age/halfLife)
}

// recentAge is how long a report counts in RecentLoad.
const recentAge = time.Second

// RecentLoad returns the requests that the replica ran or queued as of its
// last report within recentAge, or this instance's own where they are more.
func (traffic *ReplicaStats) RecentLoad(now time.Duration) float64 {
	own := float64(traffic.InFlight.Load())
	if now-time.Duration(traffic.ReportedAt.Load()) > recentAge {
		return own
	}
	return max(own, float64(traffic.ReportedLoad.Load()))
}

// IsEjected reports whether the replica is set aside at the given time.
func (traffic *ReplicaStats) IsEjected(now time.Duration) bool {
	return traffic.EjectedUntil.Load() > int64(now)
}

// UsableReplicas returns the replicas that are not leaving and that isTried does not
// name. It leaves out those set aside for failures unless there is no other.
func UsableReplicas(replicas []*Replica, isTried func(name string) bool) []*Replica {
	var healthy, failing []*Replica
	now := MonotonicNow()
	for _, replica := range replicas {
		switch {
		case replica.Stats.IsLeaving.Load() || isTried(replica.Instance.Name):
		case replica.Stats.IsEjected(now):
			failing = append(failing, replica)
		default:
			healthy = append(healthy, replica)
		}
	}
	if len(healthy) == 0 {
		return failing
	}
	return healthy
}
