package caller

import (
	"math"
	"sync"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// pacingWindow is the time between two changes of a pace.
	pacingWindow = 100 * time.Millisecond
	// windowsBefore is how many windows in a row must be over the target before
	// a pace starts, so that a short stall refuses nothing.
	windowsBefore = 3
	// topOccupancy is the load of the selected replicas, as a multiple of their
	// slots, at which the highest priority that is present is held.
	topOccupancy = 1.5
	// priorityStep is how much less each lower priority may fill the replicas.
	priorityStep = 0.2
	// presence is how long a priority counts as present after its last query.
	presence = 10 * time.Second
	// leastOccupancy bounds the steps.
	leastOccupancy = 0.4
	// Factors by which a pace falls and rises in one window.
	mostFall = 0.7
	mostRise = 1.1
	// startPace is the pace with which an overloaded selection starts, as a
	// multiple of what was taken in the last window.
	startPace = 0.9
	// leastPace keeps a trickle by which recovery is seen, in queries a second.
	leastPace = 0.5
	// burst is how many queries a pace may save up; with one, the queries taken
	// are evenly spread.
	burst = 1.0
)

// RateLimitedAdmission takes queries at a pace for each scope and kind. The pace
// follows the load that the selected replicas report: while it is above the
// target of the scope's priority the pace falls, and below it rises. Priorities
// below the highest that is present have lower targets, so that they give way
// first.
type RateLimitedAdmission struct {
	mutex sync.Mutex
	paces map[string]*pace
	// present holds when each priority last had a query.
	present map[int]time.Duration
}

// NewRateLimitedAdmission returns an admission that has refused nothing yet.
func NewRateLimitedAdmission() *RateLimitedAdmission {
	return &RateLimitedAdmission{paces: make(map[string]*pace), present: make(map[int]time.Duration)}
}

// Admit takes a query within the pace of its scope and kind.
func (pacedadmission *RateLimitedAdmission) Admit(ticket AdmissionRequest) *Refusal {
	pacedadmission.mutex.Lock()
	defer pacedadmission.mutex.Unlock()
	key := ticket.Scope.Name + "/" + ticket.Selection.Kind
	found := pacedadmission.paces[key]
	now := view.MonotonicNow()
	pacedadmission.present[ticket.Scope.Priority] = now
	if found == nil {
		found = &pace{limit: math.Inf(1), filled: now, turned: now}
		pacedadmission.paces[key] = found
	}
	if now-found.turned >= pacingWindow {
		found.turn(now, Occupancy(ticket.Selection, now), pacedadmission.target(ticket.Scope.Priority, now))
	}
	if found.take(now) {
		return nil
	}
	return &Refusal{Reason: "the replicas of scope " + ticket.Scope.Name + " are at their load", RetryAfter: found.retryAfter()}
}

// target returns the occupancy at which a priority is held beside those that
// are present.
func (pacedadmission *RateLimitedAdmission) target(priority int, now time.Duration) float64 {
	highest := priority
	for present, seen := range pacedadmission.present {
		if now-seen <= presence {
			highest = max(highest, present)
		}
	}
	steps := float64(highest - priority)
	return max(topOccupancy-steps*priorityStep, leastOccupancy)
}

// Occupancy returns the load of the selected replicas over their slots.
func Occupancy(selection view.Selection, now time.Duration) float64 {
	load, slots := 0.0, 0.0
	for _, shard := range selection.Shards {
		for _, replica := range shard.Replicas {
			load += replica.Stats.RecentLoad(now)
			slots += float64(replica.Upstream.Slots)
		}
	}
	return load / max(slots, 1)
}

// pace is the rate at which the queries of one scope and kind are taken.
type pace struct {
	// limit is in queries a second; infinite while nothing is refused.
	limit   float64
	saved   float64
	filled  time.Duration
	turned  time.Duration
	taken   int
	refused int
	// over counts the windows in a row that were over the target.
	over int
}

// turn sets the limit from the occupancy that the last window led to.
func (pace *pace) turn(now time.Duration, occupancy, target float64) {
	rate := float64(pace.taken) / (now - pace.turned).Seconds()
	isOver := occupancy > target
	if isOver {
		pace.over++
	} else {
		pace.over = 0
	}
	switch {
	case isOver && math.IsInf(pace.limit, 1) && pace.over < windowsBefore:
	case isOver && math.IsInf(pace.limit, 1):
		pace.limit = max(rate*startPace, leastPace)
		pace.saved = 0
	case isOver:
		pace.limit = max(pace.limit*max(target/occupancy, mostFall), leastPace)
	case pace.refused > 0:
		pace.limit *= min(target/max(occupancy, target/mostRise), mostRise)
	case rate < pace.limit/2:
		pace.limit = math.Inf(1)
	}
	pace.turned = now
	pace.taken = 0
	pace.refused = 0
}

func (pace *pace) take(now time.Duration) bool {
	if math.IsInf(pace.limit, 1) {
		pace.taken++
		pace.filled = now
		return true
	}
	pace.saved = min(pace.saved+pace.limit*(now-pace.filled).Seconds(), burst)
	pace.filled = now
	if pace.saved < 1 {
		pace.refused++
		return false
	}
	pace.saved--
	pace.taken++
	return true
}

// retryAfter returns when the next query would be taken.
func (pace *pace) retryAfter() time.Duration {
	return time.Duration((1 - pace.saved) / pace.limit * float64(time.Second))
}
