// Package mailbox provides the bounded queue through which other goroutines
// send messages to the control goroutine.
package mailbox

import (
	"context"
	"sync/atomic"
)

// Mailbox is a bounded queue of messages with a single receiver. Any number of
// goroutines may send to it.
type Mailbox[M any] struct {
	messages     chan M
	droppedCount atomic.Int64
}

// New returns a mailbox that holds up to size messages.
func New[M any](size int) *Mailbox[M] {
	return &Mailbox[M]{messages: make(chan M, size)}
}

// Send queues a message that must not be lost. While the mailbox is full it
// blocks; when ctx ends it returns the cancellation cause of ctx.
func (mailbox *Mailbox[M]) Send(ctx context.Context, message M) error {
	select {
	case mailbox.messages <- message:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// TrySend queues a message that may be lost. If the mailbox is full, it drops
// and counts the message and returns false. It never blocks.
func (mailbox *Mailbox[M]) TrySend(message M) bool {
	select {
	case mailbox.messages <- message:
		return true
	default:
		mailbox.droppedCount.Add(1)
		return false
	}
}

// Messages returns the channel from which the single receiver reads.
func (mailbox *Mailbox[M]) Messages() <-chan M { return mailbox.messages }

// DroppedCount returns the number of messages that TrySend dropped.
func (mailbox *Mailbox[M]) DroppedCount() int64 { return mailbox.droppedCount.Load() }
