package view

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// PauseThreshold is the age of control's last tick above which the process
	// counts as having been paused.
	PauseThreshold = time.Second
	// MaxRefreshWait bounds how long a request waits for the refresh of the View
	// after a pause of the process.
	MaxRefreshWait = 250 * time.Millisecond
)

// pausePollInterval is how often a waiting request checks whether the refresh is
// over.
const pausePollInterval = 5 * time.Millisecond

// PublishedView holds the current View. Control replaces it and any goroutine
// reads it, both without locks.
type PublishedView struct {
	view atomic.Pointer[View]
	// lastTick is the time of the last Tick, in nanoseconds since MonotonicOrigin.
	lastTick     atomic.Int64
	isRefreshing atomic.Bool
}

// NewPublishedView returns a PublishedView with an empty View.
func NewPublishedView() *PublishedView {
	publishedview := &PublishedView{}
	publishedview.view.Store(&View{})
	publishedview.Tick()
	return publishedview
}

// Load returns the current View without waiting.
func (publishedview *PublishedView) Load() *View { return publishedview.view.Load() }

// Publish replaces the current View. Only control calls it.
func (publishedview *PublishedView) Publish(view *View) { publishedview.view.Store(view) }

// Tick records that control is running. Only control calls it.
func (publishedview *PublishedView) Tick() { publishedview.lastTick.Store(int64(MonotonicNow())) }

// BeginRefresh makes Current wait until EndRefresh. Only control calls it.
func (publishedview *PublishedView) BeginRefresh() { publishedview.isRefreshing.Store(true) }

// EndRefresh ends the wait that BeginRefresh started. Only control calls it.
func (publishedview *PublishedView) EndRefresh() { publishedview.isRefreshing.Store(false) }

// Current returns the current View. After a pause of the process it first waits
// until control has refreshed the View, ctx ends or MaxRefreshWait has passed,
// so that requests are not routed by outdated state.
func (publishedview *PublishedView) Current(ctx context.Context) *View {
	if publishedview.isOutdated() {
		publishedview.awaitRefresh(ctx)
	}
	return publishedview.Load()
}

// isOutdated reports whether a refresh is running or due after a pause.
func (publishedview *PublishedView) isOutdated() bool {
	if publishedview.isRefreshing.Load() {
		return true
	}
	return MonotonicNow()-time.Duration(publishedview.lastTick.Load()) > PauseThreshold
}

func (publishedview *PublishedView) awaitRefresh(ctx context.Context) {
	deadlineTimer := time.NewTimer(MaxRefreshWait)
	defer deadlineTimer.Stop()
	pollTicker := time.NewTicker(pausePollInterval)
	defer pollTicker.Stop()
	for publishedview.isOutdated() {
		select {
		case <-pollTicker.C:
		case <-deadlineTimer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
