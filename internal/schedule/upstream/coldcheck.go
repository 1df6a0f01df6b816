package upstream

import "time"

const (
	// ColdCheckInterval is the least time between two checks of one replica.
	ColdCheckInterval = time.Second
	// coldCheckRecency is how long after a request its replica is checked.
	coldCheckRecency = 2 * ColdCheckInterval
	// coldCheckLead is how long before the end of its cold time a replica is checked
	// again: one check and its timeout.
	coldCheckLead = ColdCheckInterval + 500*time.Millisecond
	// maxTickGap is the time between two ticks from which on the process counts as
	// having been paused, and pauseGrace how long it then has to hear of the platform.
	maxTickGap = time.Second
	pauseGrace = time.Second
)

// TickTimes holds the times of the ticks at which an instance decides about checks.
type TickTimes struct {
	// Last is the time of the last tick, and ResumedAt of the first one after the last
	// pause of the process.
	Last, ResumedAt time.Duration
}

// Tick returns the times with another tick.
func (ticktimes TickTimes) Tick(now time.Duration) TickTimes {
	if now-ticktimes.Last > maxTickGap {
		ticktimes.ResumedAt = now
	}
	ticktimes.Last = now
	return ticktimes
}

// HasResumed reports whether the process has been running for long enough to have heard
// of the platform if that answers.
func (ticktimes TickTimes) HasResumed() bool {
	return ticktimes.Last-ticktimes.ResumedAt >= pauseGrace
}

// ColdCheck holds what one instance knows of a replica whose cold time may have changed
// without the instance learning of it. Times are measured from an arbitrary origin before
// all of them; 0 stands for never.
type ColdCheck struct {
	// EntryAge is how long ago the replica's entry was known to be up to date.
	EntryAge time.Duration
	// StaleAfter is the EntryAge from which the entry may be outdated; 0 if it never is.
	StaleAfter time.Duration
	// SentAt is when the instance last sent the replica a request, CheckedAt when it
	// last began to check its health.
	SentAt, CheckedAt time.Duration
	// ColdUntil is until when the replica is known to be cold.
	ColdUntil time.Duration
}

// IsDue reports whether the instance has to ask the replica for its cold time now. It
// asks once at most for the requests that it has sent since it last asked, so that all
// instances together never ask a replica more often than they send to it.
func (coldcheck ColdCheck) IsDue(now time.Duration) bool {
	isStale := coldcheck.StaleAfter > 0 && coldcheck.EntryAge > coldcheck.StaleAfter
	isUsed := coldcheck.SentAt > coldcheck.CheckedAt && now-coldcheck.SentAt <= coldCheckRecency
	isPaused := coldcheck.CheckedAt > 0 && now-coldcheck.CheckedAt < ColdCheckInterval
	return isStale && isUsed && !isPaused && coldcheck.ColdUntil-now <= coldCheckLead
}
