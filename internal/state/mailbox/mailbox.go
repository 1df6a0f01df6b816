// Package mailbox provides the bounded queue through which traffic and
// readers speak to the control goroutine.
package mailbox

import (
	"context"
	"sync/atomic"
)

// Mailbox is a bounded queue of messages with one reader.
type Mailbox[M any] struct {
	messages chan M
	dropped  atomic.Int64
}

// New returns a mailbox that holds up to size messages.
func New[M any](size int) *Mailbox[M] {
	return &Mailbox[M]{messages: make(chan M, size)}
}

// Send queues a message that must not be lost. It waits for room until ctx
// ends and then returns the cause.
func (mailbox *Mailbox[M]) Send(ctx context.Context, message M) error {
	select {
	case mailbox.messages <- message:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// TrySend queues an observation, or drops and counts it when there is no room.
func (mailbox *Mailbox[M]) TrySend(message M) bool {
	select {
	case mailbox.messages <- message:
		return true
	default:
		mailbox.dropped.Add(1)
		return false
	}
}

// Messages returns the channel that the one reader receives from.
func (mailbox *Mailbox[M]) Messages() <-chan M { return mailbox.messages }

// DroppedCount returns how many observations found no room.
func (mailbox *Mailbox[M]) DroppedCount() int64 { return mailbox.dropped.Load() }
