// Package upstream decides about replicas under load. Its decisions depend only on
// their arguments: they use no sockets and no clock.
package upstream

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/waitqueue"
)

// Rank returns the rank of the attempts of a request: 0 if it is not relayed, and
// otherwise derived from the request's identity, so that all homes that take part in
// a query use the same rank. The lowest rank is served first.
func Rank(relayedRequest *api.RelayedRequest) uint32 {
	if relayedRequest == nil {
		return 0
	}
	return uint32(xxhash.Sum64String(relayedRequest.Identity))
}

// RankOrder serves the lowest rank first, and requests whose target time has passed
// last, in the order of their arrival. It ignores classes.
type RankOrder struct{}

// Choose returns the index of the request to serve next.
func (RankOrder) Choose(waiting []waitqueue.Priority, turn waitqueue.Turn) int {
	next := -1
	for index, priority := range waiting {
		isLowest := next < 0 || priority.Rank < waiting[next].Rank
		if !isLate(priority, turn.Now) && isLowest {
			next = index
		}
	}
	return max(next, 0)
}

// isLate reports whether the request has a target time and it is before at.
func isLate(priority waitqueue.Priority, at time.Time) bool {
	return !priority.TargetTime.IsZero() && at.After(priority.TargetTime)
}

// UrgencyOrder serves first the requests that can still be answered by their target
// time, then the higher class, then the lowest rank. Requests of equal class that
// will be late are served in the order of their arrival. While all requests are of
// one class it is RankOrder.
//
// An UrgencyOrder belongs to one queue and is not safe for concurrent use.
type UrgencyOrder struct {
	// FloorTurns bounds how long a class is passed over: while it has requests in
	// the queue, it gets one of FloorTurns turns at least. 0 sets no bound.
	FloorTurns int

	// passedOver holds, for each class that waits, the number of turns that other
	// classes have had since its last one.
	passedOver map[int]int
}

// Choose returns the index of the request to serve next, and counts the turn.
func (urgencyorder *UrgencyOrder) Choose(waiting []waitqueue.Priority, turn waitqueue.Turn) int {
	if isOneClass(waiting) {
		clear(urgencyorder.passedOver)
		return RankOrder{}.Choose(waiting, turn)
	}
	next := first(waiting, turn, func(waitqueue.Priority) bool { return true })
	if class, isDue := urgencyorder.dueClass(waiting); isDue {
		next = first(waiting, turn, func(priority waitqueue.Priority) bool { return priority.Class == class })
	}
	urgencyorder.count(waiting, waiting[next].Class)
	return next
}

func isOneClass(waiting []waitqueue.Priority) bool {
	for _, priority := range waiting {
		if priority.Class != waiting[0].Class {
			return false
		}
	}
	return true
}

// first returns the index of the request that is served before all others for which
// isIncluded returns true.
func first(waiting []waitqueue.Priority, turn waitqueue.Turn, isIncluded func(priority waitqueue.Priority) bool) int {
	next := -1
	for index, priority := range waiting {
		if isIncluded(priority) && (next < 0 || precedes(priority, waiting[next], turn)) {
			next = index
		}
	}
	return next
}

// precedes reports whether a request is served before one that arrived earlier.
func precedes(later, earlier waitqueue.Priority, turn waitqueue.Turn) bool {
	finish := turn.Now.Add(turn.ExpectedLatency)
	isLaterLate, isEarlierLate := isLate(later, finish), isLate(earlier, finish)
	switch {
	case isLaterLate != isEarlierLate:
		return isEarlierLate
	case later.Class != earlier.Class:
		return later.Class > earlier.Class
	case isLaterLate:
		return false
	}
	return later.Rank < earlier.Rank
}

// dueClass returns the class that has been passed over most often, if its next turn
// is due.
func (urgencyorder *UrgencyOrder) dueClass(waiting []waitqueue.Priority) (int, bool) {
	due, isDue, most := 0, false, urgencyorder.FloorTurns-1
	for _, priority := range waiting {
		count, isKnown := urgencyorder.passedOver[priority.Class]
		if urgencyorder.FloorTurns > 0 && isKnown && count >= most && (!isDue || count > most) {
			due, isDue, most = priority.Class, true, count
		}
	}
	return due, isDue
}

// count counts one turn of the served class for each other class that waits, and
// forgets the classes that do not wait.
func (urgencyorder *UrgencyOrder) count(waiting []waitqueue.Priority, served int) {
	if urgencyorder.passedOver == nil {
		urgencyorder.passedOver = make(map[int]int)
	}
	for class := range urgencyorder.passedOver {
		isWaiting := slices.ContainsFunc(waiting, func(priority waitqueue.Priority) bool { return priority.Class == class })
		if class == served || !isWaiting {
			delete(urgencyorder.passedOver, class)
		}
	}
	for _, priority := range waiting {
		if _, isKnown := urgencyorder.passedOver[priority.Class]; !isKnown && priority.Class != served {
			urgencyorder.passedOver[priority.Class] = 0
		}
	}
	for class := range urgencyorder.passedOver {
		urgencyorder.passedOver[class]++
	}
}
