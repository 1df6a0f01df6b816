// Package waitqueue orders the requests that wait for a limited resource, such
// as a connection to a replica.
package waitqueue

import (
	"slices"
	"time"
)

// Priority determines when a waiting request is served.
type Priority struct {
	// TargetTime is the time by which the response should be ready. The zero time
	// means that the request has no target.
	TargetTime time.Time
	// Rank orders the requests; the lowest is served first. Serving them in
	// arrival order would make every request late once the queue is long. The
	// parts of one query have the same rank in all queues, so that a query that
	// is served late at one shard does not use capacity at the others.
	Rank uint32
}

// Waiter is a request that waits for a value of type T.
type Waiter[T any] struct {
	Priority Priority
	// Ready receives the value; it has room for one.
	Ready chan T
}

// Queue holds waiting requests. Requests whose target has passed are served
// last: their responses are worth little, and serving them first would make the
// others late too. A Queue is not safe for concurrent use.
type Queue[T any] struct {
	// waiters holds the requests in arrival order.
	waiters []*Waiter[T]
}

// Len returns the number of waiting requests.
func (queue *Queue[T]) Len() int { return len(queue.waiters) }

// Add appends a request with the given priority.
func (queue *Queue[T]) Add(priority Priority) *Waiter[T] {
	waiter := &Waiter[T]{Priority: priority, Ready: make(chan T, 1)}
	queue.waiters = append(queue.waiters, waiter)
	return waiter
}

// Remove removes a request from the queue. It returns false if the request is
// no longer queued because Next has returned it or Remove was called before.
func (queue *Queue[T]) Remove(waiter *Waiter[T]) bool {
	index := slices.Index(queue.waiters, waiter)
	if index < 0 {
		return false
	}
	queue.waiters = slices.Delete(queue.waiters, index, index+1)
	return true
}

// Next removes and returns the request to serve next, or nil if the queue is
// empty. Among the requests that are not late at now it takes the lowest rank,
// and the earliest arrival among equal ranks; if all are late it takes the
// earliest arrival.
func (queue *Queue[T]) Next(now time.Time) *Waiter[T] {
	if len(queue.waiters) == 0 {
		return nil
	}
	next := -1
	for index, waiter := range queue.waiters {
		isLowest := next < 0 || waiter.Priority.Rank < queue.waiters[next].Priority.Rank
		if !waiter.isLate(now) && isLowest {
			next = index
		}
	}
	next = max(next, 0)
	waiter := queue.waiters[next]
	queue.waiters = slices.Delete(queue.waiters, next, next+1)
	return waiter
}

// isLate reports whether the request has a target time and it has passed.
func (waiter *Waiter[T]) isLate(now time.Time) bool {
	return !waiter.Priority.TargetTime.IsZero() && now.After(waiter.Priority.TargetTime)
}
