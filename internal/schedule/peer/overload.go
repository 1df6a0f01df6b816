package peer

import "time"

const (
	// overloadLateness is the mean lateness above which an instance is overloaded.
	overloadLateness = 20 * time.Millisecond
	// calmLateness is the mean lateness below which it is calm.
	calmLateness = 5 * time.Millisecond
	// minCalmTime is how long it must be calm before it no longer counts as overloaded.
	// The time doubles, up to maxCalmTime, if it is overloaded again soon, as an
	// instance that is slow for a lasting cause would get work and lose it by turns.
	minCalmTime = 5 * time.Second
	maxCalmTime = 80 * time.Second
	// latenessShift sets the weight of one observation in the mean: 1 / 2^latenessShift.
	latenessShift = 4
	// maxLateness bounds one observation, so that a single long pause does not count
	// as load.
	maxLateness = 250 * time.Millisecond
)

// Overload tells from how late an instance's goroutines run whether the instance is
// overloaded. Its zero value is that of an instance without load.
type Overload struct {
	IsOverloaded bool
	// MeanLateness is a moving mean of the observations.
	MeanLateness time.Duration
	// CalmSince is when MeanLateness last fell below calmLateness; zero while it is not
	// below.
	CalmSince time.Time
	// CalmTime is how long the instance must be calm, and CalmedAt when it last ceased
	// to be overloaded.
	CalmTime time.Duration
	CalmedAt time.Time
}

// Observe returns the state after a goroutine ran at now, by lateness later than it
// was due.
func (overload Overload) Observe(lateness time.Duration, now time.Time) Overload {
	overload.MeanLateness += (min(lateness, maxLateness) - overload.MeanLateness) >> latenessShift
	switch {
	case overload.MeanLateness >= calmLateness:
		overload.CalmSince = time.Time{}
	case overload.CalmSince.IsZero():
		overload.CalmSince = now
	}
	switch {
	case !overload.IsOverloaded && overload.MeanLateness > overloadLateness:
		overload.IsOverloaded = true
		overload.CalmTime = overload.nextCalmTime(now)
	case overload.IsOverloaded && !overload.CalmSince.IsZero() && now.Sub(overload.CalmSince) >= overload.CalmTime:
		overload.IsOverloaded = false
		overload.CalmedAt = now
	}
	return overload
}

// nextCalmTime returns the CalmTime of an overload that begins at now.
func (overload Overload) nextCalmTime(now time.Time) time.Duration {
	if overload.CalmedAt.IsZero() || now.Sub(overload.CalmedAt) > maxCalmTime {
		return minCalmTime
	}
	return min(2*overload.CalmTime, maxCalmTime)
}
