package view

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	schedule "github.com/mimosaspring/mimosaspring/internal/schedule/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// pacing holds the state of the decisions in schedule/upstream about one replica.
type pacing struct {
	// isPaced is set while pace is active. It spares the lock for other replicas.
	isPaced atomic.Bool
	// start describes the replica for a pace that begins; nil if there is none.
	start atomic.Pointer[schedule.Start]
	// isColdBounded is set if the requests to the replica are bounded while it is
	// cold. coldShare is then this instance's share.
	isColdBounded atomic.Bool
	coldShare     atomic.Int64

	// mutex guards the fields below.
	mutex      sync.Mutex
	pace       schedule.Pace
	coldWindow schedule.ColdWindow
}

// setPace sets the pace. The caller holds the mutex.
func (pacing *pacing) setPace(pace schedule.Pace) {
	pacing.pace = pace
	pacing.isPaced.Store(pace.IsActive())
}

// MaxColdTime is the longest time for which a replica counts as cold at once. It keeps
// the sums of times within their type.
const MaxColdTime = 24 * time.Hour

// IsCold reports whether the replica is expected to be cold.
func (replicastats *ReplicaStats) IsCold(now time.Duration) bool {
	return replicastats.ColdLeft(now) > 0
}

// ColdLeft returns how much longer the replica is expected to be cold; 0 if it is not.
func (replicastats *ReplicaStats) ColdLeft(now time.Duration) time.Duration {
	return max(time.Duration(replicastats.ColdUntil.Load())-now, 0)
}

// ObserveCold records that the replica is cold for another duration. If it was not
// cold before, its pace begins and nothing is sent for one window, because the requests
// before it became cold were not counted.
func (replicastats *ReplicaStats) ObserveCold(now, duration time.Duration) {
	wasCold := replicastats.IsCold(now)
	if !wasCold && duration > 0 {
		replicastats.CloseColdWindow(now + schedule.ColdWindowLength)
	}
	raise(&replicastats.ColdUntil, int64(now+min(duration, MaxColdTime)))
	if !wasCold && duration > 0 {
		replicastats.BeginPace(now)
	}
}

// ObserveUnreachable records that the replica accepted no request. It may have stopped,
// and is cold once it is back if its upstream states a rate for cold replicas.
func (replica *Replica) ObserveUnreachable(now time.Duration) {
	if replica.Upstream.ColdRate > 0 {
		replica.Stats.ObserveCold(now, replica.Upstream.ColdTime.Duration)
	}
}

// CloseColdWindow lets nothing be sent to the replica before the given time while it
// is cold and its requests are bounded.
func (replicastats *ReplicaStats) CloseColdWindow(until time.Duration) {
	pacing := &replicastats.pacing
	pacing.mutex.Lock()
	defer pacing.mutex.Unlock()
	pacing.coldWindow = pacing.coldWindow.Close(until)
}

// SetColdShare sets whether the requests to the replica are bounded while it is cold,
// and this instance's share in them for one schedule.ColdWindow.
func (replicastats *ReplicaStats) SetColdShare(isBounded bool, share int) {
	replicastats.pacing.coldShare.Store(int64(share))
	replicastats.pacing.isColdBounded.Store(isBounded)
}

// isBounded reports whether the requests to the replica are bounded now.
func (replicastats *ReplicaStats) isBounded(now time.Duration) bool {
	return replicastats.pacing.isColdBounded.Load() && replicastats.IsCold(now)
}

// ColdWait returns how long this instance may send nothing to the replica because it
// is cold; 0 if it may send now.
func (replicastats *ReplicaStats) ColdWait(now time.Duration) time.Duration {
	if !replicastats.isBounded(now) {
		return 0
	}
	pacing := &replicastats.pacing
	pacing.mutex.Lock()
	defer pacing.mutex.Unlock()
	return replicastats.coldWait(now)
}

// coldWait is ColdWait for a replica whose requests are bounded. The caller holds the
// mutex.
func (replicastats *ReplicaStats) coldWait(now time.Duration) time.Duration {
	coldLeft := replicastats.ColdLeft(now)
	share := int(replicastats.pacing.coldShare.Load())
	if share == 0 {
		return coldLeft
	}
	return min(replicastats.pacing.coldWindow.Wait(share, now), coldLeft)
}

// TakeColdShare counts a request that is about to be sent. It returns how long this
// instance may send nothing to the replica because it is cold, and counts nothing if
// that is not 0.
func (replicastats *ReplicaStats) TakeColdShare(now time.Duration) time.Duration {
	if !replicastats.isBounded(now) {
		return 0
	}
	pacing := &replicastats.pacing
	pacing.mutex.Lock()
	defer pacing.mutex.Unlock()
	wait := replicastats.coldWait(now)
	if wait == 0 {
		pacing.coldWindow = pacing.coldWindow.Sent(now)
	}
	return wait
}

// EnablePace makes BeginPace start a pace from now on.
func (replicastats *ReplicaStats) EnablePace(slots, senderCount int) {
	start := replicastats.pacing.start.Load()
	if start == nil || start.Slots != slots || start.SenderCount != senderCount {
		replicastats.pacing.start.Store(&schedule.Start{Slots: slots, SenderCount: senderCount})
	}
}

// BeginPace starts the pace of the replica at the given time. It does nothing unless
// EnablePace was called.
func (replicastats *ReplicaStats) BeginPace(at time.Duration) {
	pacing := &replicastats.pacing
	configured := pacing.start.Load()
	if configured == nil {
		return
	}
	start := *configured
	start.At, start.Phase, start.ColdUntil = at, rand.Float64(), time.Duration(replicastats.ColdUntil.Load())
	pacing.mutex.Lock()
	defer pacing.mutex.Unlock()
	pacing.setPace(schedule.StartPace(start))
}

// Pace returns the pace of the replica.
func (replicastats *ReplicaStats) Pace() schedule.Pace {
	pacing := &replicastats.pacing
	if !pacing.isPaced.Load() {
		return schedule.Pace{}
	}
	pacing.mutex.Lock()
	defer pacing.mutex.Unlock()
	pacing.setPace(pacing.pace.At(MonotonicNow()))
	return pacing.pace
}

// AllowsPace reports whether the pace of the replica permits another attempt.
func (replicastats *ReplicaStats) AllowsPace(now time.Duration) bool {
	pacing := &replicastats.pacing
	if !pacing.isPaced.Load() {
		return true
	}
	pacing.mutex.Lock()
	defer pacing.mutex.Unlock()
	pace, isAllowed := pacing.pace.Allows(int(replicastats.InFlight.Load()), now)
	pacing.setPace(pace)
	return isAllowed
}

// countPacedAttempt counts an attempt that begins.
func (replicastats *ReplicaStats) countPacedAttempt(now time.Duration) {
	pacing := &replicastats.pacing
	if !pacing.isPaced.Load() {
		return
	}
	pacing.mutex.Lock()
	defer pacing.mutex.Unlock()
	// ExpectedLatency would be close to 0 after a time without requests.
	pacing.pace = pacing.pace.Sent(time.Duration(replicastats.BaseLatency.Load()), now)
}

// PacedOutcome is how an attempt ended, for the pace of its replica.
type PacedOutcome struct {
	// Status is the status of the reply; empty if there was none.
	Status api.ReplyStatus
	// IsCancelled is set if the attempt was given up before it was answered.
	IsCancelled bool
	Latency     time.Duration
	// WaitFactor is the replica's WaitFactor when the attempt began.
	WaitFactor float64
}

// ObservePace advances the pace of the replica, one of a shard's replicas, by the
// outcome of an attempt.
func (replica *Replica) ObservePace(replicas []*Replica, outcome PacedOutcome) {
	pacing := &replica.Stats.pacing
	if !pacing.isPaced.Load() {
		return
	}
	now := MonotonicNow()
	observation := schedule.Observation{
		IsRefused:   outcome.Status != api.ReplyDone && !outcome.IsCancelled,
		IsCancelled: outcome.IsCancelled,
		IsCold:      replica.Stats.IsCold(now),
		Latency:     time.Duration(float64(outcome.Latency) / max(outcome.WaitFactor, 1)),
		Load:        float64(replica.Stats.ReportedLoad.Load()),
		Slots:       replica.Upstream.Slots,
		Others:      replica.others(replicas, now),
	}
	pacing.mutex.Lock()
	defer pacing.mutex.Unlock()
	pacing.setPace(schedule.Advance(pacing.pace, observation, now))
}

// others returns what is known of the replicas besides this one.
func (replica *Replica) others(replicas []*Replica, now time.Duration) schedule.Others {
	var others schedule.Others
	var latencySum time.Duration
	var latencyCount, count float64
	for _, other := range replicas {
		stats := other.Stats
		if stats == replica.Stats {
			continue
		}
		count++
		others.Load += float64(stats.ReportedLoad.Load())
		others.FailureRate += stats.FailureRateAt(now)
		if base := stats.BaseLatency.Load(); base > 0 {
			latencySum += time.Duration(base)
			latencyCount++
		}
	}
	others.Load /= max(count, 1)
	others.FailureRate /= max(count, 1)
	others.Latency = time.Duration(float64(latencySum) / max(latencyCount, 1))
	return others
}
