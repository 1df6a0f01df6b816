package upstream

import "time"

// Pace limits how much one instance sends to a replica that has just started, has
// become cold or has recovered from failures. The zero value limits nothing. Times are
// measured from an arbitrary origin.
type Pace struct {
	// Limit is the number of attempts that may be in flight at the same time; 0 if
	// there is no limit. Below 1, it is the share of the time during which one may be.
	Limit float64
	// FullLimit is the limit at which the pace ends.
	FullLimit float64
	// Threshold is the limit from which the pace rises slowly, because the replica has
	// fallen behind above it; 0 if it has not.
	Threshold float64
	// GoodAnswers counts the good answers since Limit was last changed.
	GoodAnswers int
	// ChangedAt is when Limit was last changed.
	ChangedAt time.Duration
	// SentAt is when the last attempt was sent, and AttemptTime how long it was expected
	// to take.
	SentAt, AttemptTime time.Duration
	// ColdUntil is the time until which the replica was expected to be cold when the
	// pace began.
	ColdUntil time.Duration
}

// IsActive reports whether the pace limits anything.
func (pace Pace) IsActive() bool { return pace.Limit > 0 }

// Start describes a replica whose pace begins.
type Start struct {
	// Slots is the number of requests that the replica runs at the same time.
	Slots int
	// SenderCount is the number of instances that send to the replica.
	SenderCount int
	// At is when the replica is used first.
	At time.Duration
	// ColdUntil is the time until which the replica is expected to be cold.
	ColdUntil time.Duration
	// Phase, from 0 to 1, delays the first attempt, so that not all instances send theirs
	// at the same time.
	Phase float64
}

const (
	// startShare is the share of its slots that a replica starts with.
	startShare = 0.5
	// fullFactor is the multiple of the replica's slots at which the pace of one
	// instance ends.
	fullFactor = 2
	// growInterval is the time in which a limit below 1 doubles without answers. Such
	// an instance hears from the replica too rarely to be guided by it.
	growInterval = 300 * time.Millisecond
	// attemptTime is the assumed duration of an attempt at a replica of which no
	// latency is known.
	attemptTime = 100 * time.Millisecond
)

// StartPace returns the pace at which the use of a replica begins.
func StartPace(start Start) Pace {
	slots := float64(max(start.Slots, 1))
	pace := Pace{
		Limit:       slots * startShare / float64(max(start.SenderCount, 1)),
		FullLimit:   slots * fullFactor,
		ChangedAt:   start.At,
		AttemptTime: attemptTime,
		ColdUntil:   start.ColdUntil,
	}
	pace.SentAt = start.At - time.Duration((1-start.Phase)*float64(pace.interval()))
	return pace
}

// interval returns the time between two attempts at a limit below 1.
func (pace Pace) interval() time.Duration {
	return time.Duration(float64(pace.AttemptTime) / pace.Limit)
}

// Observation is the end of one attempt at a replica.
type Observation struct {
	// IsRefused is set if the replica refused the attempt, failed it or did not answer.
	IsRefused bool
	// IsCancelled is set if the attempt was given up after Latency without an answer.
	// That says something about the replica only if it was slow.
	IsCancelled bool
	// IsCold is set if the replica says that it is cold.
	IsCold bool
	// Latency is the time of an answer, without the time that it waited for a slot.
	Latency time.Duration
	// Load is the number of requests that the replica says it runs or queues; 0 if it
	// does not say so.
	Load float64
	// Others describes the shard's other replicas.
	Others Others
	// Slots is the number of requests that it runs at the same time.
	Slots int
}

// Others holds the means of what is known of the other replicas of a shard.
type Others struct {
	// Latency is the usual time of an answer; 0 if it is not known.
	Latency time.Duration
	Load    float64
	// FailureRate is the share of the attempts that do not succeed, 0 to 1.
	FailureRate float64
}

const (
	// slowFactor is the multiple of the usual latency from which an answer is slow.
	// The usual differences between replicas stay below it.
	slowFactor = 2.5
	// queueFactor is the multiple of its slots from which the replica's load is too
	// high.
	queueFactor = 2
	// sharedFailureRate is the failure rate of the other replicas from which a refusal
	// says nothing about this one: all are overloaded, and a lower limit would only
	// send more to the others.
	sharedFailureRate = 0.3
	// minCutInterval is the least time between two reductions of the limit, so that
	// the attempts that were in flight together count once.
	minCutInterval = 100 * time.Millisecond
	// idleTime is the time after which a pace ends that no answer has changed. An
	// instance that sends so little cannot flood the replica, and must not be limited
	// when it replaces one that brought the replica to full use long ago.
	idleTime = 10 * time.Second
	// minLimit is the lowest limit that answers lead to.
	minLimit = 0.25
)

// isGood reports whether the replica keeps up.
func (observation Observation) isGood() bool {
	others := observation.Others
	isBehind := observation.IsRefused && others.FailureRate < sharedFailureRate
	isSlow := others.Latency > 0 && float64(observation.Latency) > slowFactor*float64(others.Latency)
	isQueueing := observation.Load > queueFactor*float64(max(observation.Slots, 1)) && observation.Load > others.Load
	return !isBehind && !isSlow && !isQueueing
}

// Advance returns the pace after an observation at now. The limit doubles with each
// round of good answers, up to the threshold that the last reduction has left, and then
// rises by one a round. It is halved if the replica refuses or falls behind. The pace
// ends when the replica keeps up at the full limit and is no longer cold.
func Advance(pace Pace, observation Observation, now time.Duration) Pace {
	pace = grow(pace, now)
	if !pace.IsActive() {
		return pace
	}
	if !observation.isGood() {
		return reduce(pace, observation, now)
	}
	if observation.IsCancelled || observation.IsRefused {
		return pace
	}
	pace.GoodAnswers++
	if float64(pace.GoodAnswers) < pace.Limit {
		return pace
	}
	if pace.Limit >= pace.FullLimit {
		if observation.IsCold {
			return pace
		}
		return Pace{}
	}
	if pace.Threshold > 0 && pace.Limit >= pace.Threshold {
		return changeLimit(pace, pace.Limit+1, now)
	}
	return changeLimit(pace, pace.Limit*2, now)
}

// reduce halves the limit unless it was reduced or raised a moment ago.
func reduce(pace Pace, observation Observation, now time.Duration) Pace {
	pace.GoodAnswers = 0
	if now-pace.ChangedAt < max(minCutInterval, observation.Latency) {
		return pace
	}
	pace = changeLimit(pace, max(pace.Limit/2, min(minLimit, pace.Limit)), now)
	pace.Threshold = max(pace.Limit, 1)
	return pace
}

// grow doubles a limit below 1 once for each growInterval without a change in which the
// replica is not expected to be cold. After idleTime of them, the pace ends.
func grow(pace Pace, now time.Duration) Pace {
	for pace.IsActive() && pace.Limit < 1 {
		dueAt := max(pace.ChangedAt, pace.ColdUntil) + growInterval
		if now < dueAt {
			break
		}
		pace = changeLimit(pace, pace.Limit*2, dueAt)
	}
	if now >= max(pace.ChangedAt, pace.ColdUntil)+idleTime {
		return Pace{}
	}
	return pace
}

// changeLimit sets the limit, which never exceeds the full one.
func changeLimit(pace Pace, limit float64, now time.Duration) Pace {
	pace.Limit = min(limit, pace.FullLimit)
	pace.GoodAnswers = 0
	pace.ChangedAt = now
	return pace
}

// At returns the pace with the growth until now.
func (pace Pace) At(now time.Duration) Pace { return grow(pace, now) }

// Allows reports whether the pace permits another attempt at now beside the given
// number in flight, and returns the pace with the growth until then.
func (pace Pace) Allows(inFlight int, now time.Duration) (Pace, bool) {
	pace = grow(pace, now)
	switch {
	case !pace.IsActive():
		return pace, true
	case pace.Limit < 1:
		return pace, inFlight == 0 && now-pace.SentAt >= pace.interval()
	}
	return pace, inFlight < int(pace.Limit)
}

// Sent returns the pace after an attempt was sent at now. The parameter usualLatency is
// the time that the attempt is expected to take; 0 if it is not known.
func (pace Pace) Sent(usualLatency, now time.Duration) Pace {
	pace.SentAt, pace.AttemptTime = now, usualLatency
	if usualLatency <= 0 {
		pace.AttemptTime = attemptTime
	}
	return pace
}
