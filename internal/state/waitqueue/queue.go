// Package waitqueue orders the requests that wait for a limited resource, such
// as a connection to a replica.
package waitqueue

import (
	"slices"
	"time"
)

// Priority determines when a waiting request is served.
type Priority struct {
	// Class is the configured priority of the request's scope (see
	// api.Scope.Priority). A higher class is more urgent.
	Class int
	// TargetTime is the time by which the response should be ready. The zero time
	// means that the request has no target.
	TargetTime time.Time
	// Rank orders the requests; the lowest is served first. Serving them in
	// arrival order would make every request late once the queue is long. The
	// parts of one query have the same rank in all queues, so that a query that
	// is served late at one shard does not use capacity at the others.
	Rank uint32
}

// Turn describes the circumstances in which the next request is served.
type Turn struct {
	Now time.Time
	// ExpectedLatency is how long the response to the request is expected to take;
	// 0 if that is not known.
	ExpectedLatency time.Duration
}

// Order selects the request to serve next.
type Order interface {
	// Choose returns the index of the request to serve next. The waiting requests
	// are in arrival order; there is at least one.
	Choose(waiting []Priority, turn Turn) int
}

// Waiter is a request that waits for a value of type T.
type Waiter[T any] struct {
	// Ready receives the value; it has room for one.
	Ready chan T
}

// Queue holds waiting requests and serves them in the order O. A Queue is not safe for
// concurrent use.
type Queue[T any, O Order] struct {
	Order O

	// waiters and priorities hold the requests in arrival order.
	waiters    []*Waiter[T]
	priorities []Priority
}

// Len returns the number of waiting requests.
func (queue *Queue[T, O]) Len() int { return len(queue.waiters) }

// Add appends a request with the given priority.
func (queue *Queue[T, O]) Add(priority Priority) *Waiter[T] {
	waiter := &Waiter[T]{Ready: make(chan T, 1)}
	queue.waiters = append(queue.waiters, waiter)
	queue.priorities = append(queue.priorities, priority)
	return waiter
}

// Remove removes a request from the queue. It returns false if the request is
// no longer queued because Next has returned it or Remove was called before.
func (queue *Queue[T, O]) Remove(waiter *Waiter[T]) bool {
	index := slices.Index(queue.waiters, waiter)
	if index < 0 {
		return false
	}
	queue.removeAt(index)
	return true
}

// Next removes and returns the request to serve next, or nil if the queue is
// empty.
func (queue *Queue[T, O]) Next(turn Turn) *Waiter[T] {
	if len(queue.waiters) == 0 {
		return nil
	}
	index := queue.Order.Choose(queue.priorities, turn)
	waiter := queue.waiters[index]
	queue.removeAt(index)
	return waiter
}

func (queue *Queue[T, O]) removeAt(index int) {
	queue.waiters = slices.Delete(queue.waiters, index, index+1)
	queue.priorities = slices.Delete(queue.priorities, index, index+1)
}
