package view

import (
	"context"
	"sync/atomic"
	"time"
)

// Times of the check for a paused process.
const (
	// PauseThreshold is the age of control's last tick from which the process
	// counts as paused.
	PauseThreshold = time.Second
	// MaxRefreshWait is how long traffic waits for a refresh after a pause.
	MaxRefreshWait = 250 * time.Millisecond
)

// PublishedView is the place where control leaves the current View.
type PublishedView struct {
	view    atomic.Pointer[View]
	ticked  atomic.Int64
	holding atomic.Bool
}

// NewPublishedView returns a Published with an empty View.
func NewPublishedView() *PublishedView {
	published := &PublishedView{}
	published.view.Store(&View{})
	published.Tick()
	return published
}

// Load returns the current View.
func (published *PublishedView) Load() *View { return published.view.Load() }

// Publish replaces the current View. Only control calls it.
func (published *PublishedView) Publish(view *View) { published.view.Store(view) }

// Tick records that control is running. Only control calls it.
func (published *PublishedView) Tick() { published.ticked.Store(int64(MonotonicNow())) }

// BeginRefresh makes Current wait until Release. Only control calls it.
func (published *PublishedView) BeginRefresh() { published.holding.Store(true) }

// EndRefresh ends a Hold. Only control calls it.
func (published *PublishedView) EndRefresh() { published.holding.Store(false) }

// Current returns the current View. After a pause of the process it first
// waits for control's refresh, at most MaxHold.
func (published *PublishedView) Current(ctx context.Context) *View {
	if published.isPaused() {
		published.wait(ctx)
	}
	return published.Load()
}

func (published *PublishedView) isPaused() bool {
	if published.holding.Load() {
		return true
	}
	return MonotonicNow()-time.Duration(published.ticked.Load()) > PauseThreshold
}

func (published *PublishedView) wait(ctx context.Context) {
	deadline := time.NewTimer(MaxRefreshWait)
	defer deadline.Stop()
	poll := time.NewTicker(pausePoll)
	defer poll.Stop()
	for published.isPaused() {
		select {
		case <-poll.C:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

const pausePoll = 5 * time.Millisecond
