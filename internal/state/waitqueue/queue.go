// Package turn orders requests that wait for something scarce, such as a
// connection to a replica.
package waitqueue

import (
	"slices"
	"time"
)

// Priority is what a request puts forward for its turn.
type Priority struct {
	// Target is when the answer to the request is worth most; zero where there
	// is no such time.
	Target time.Time
	// Rank orders the requests, the least first. In the order in which they came
	// all would be served when it is too late for them. The parts of one query
	// have the same rank in all queues, so that a query which is served late at
	// one shard takes no room at the others.
	Rank uint32
}

// Waiter is one request that waits for a T.
type Waiter[T any] struct {
	Claim Priority
	// Ready receives what the request waits for.
	Ready chan T
}

// Queue holds the requests that wait. Those whose target has passed go last:
// they are worth little, and would make the others as late. It is not safe for
// concurrent use.
type Queue[T any] struct {
	// waiting holds the requests in the order in which they came.
	waiting []*Waiter[T]
}

// Len returns how many requests wait.
func (queue *Queue[T]) Len() int { return len(queue.waiting) }

// Add appends a request.
func (queue *Queue[T]) Add(claim Priority) *Waiter[T] {
	waiter := &Waiter[T]{Claim: claim, Ready: make(chan T, 1)}
	queue.waiting = append(queue.waiting, waiter)
	return waiter
}

// Remove takes a request out. It reports false where the request has had its
// turn.
func (queue *Queue[T]) Remove(waiter *Waiter[T]) bool {
	index := slices.Index(queue.waiting, waiter)
	if index < 0 {
		return false
	}
	queue.waiting = slices.Delete(queue.waiting, index, index+1)
	return true
}

// Next takes out the request whose turn it is; nil where none waits.
func (queue *Queue[T]) Next(now time.Time) *Waiter[T] {
	if len(queue.waiting) == 0 {
		return nil
	}
	first := -1
	for index, waiter := range queue.waiting {
		isFirst := first < 0 || waiter.Claim.Rank < queue.waiting[first].Claim.Rank
		if !waiter.isLate(now) && isFirst {
			first = index
		}
	}
	first = max(first, 0)
	waiter := queue.waiting[first]
	queue.waiting = slices.Delete(queue.waiting, first, first+1)
	return waiter
}

func (waiter *Waiter[T]) isLate(now time.Time) bool {
	return !waiter.Claim.Target.IsZero() && now.After(waiter.Claim.Target)
}
