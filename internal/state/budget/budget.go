// Package budget limits the extra requests to an upstream: the hedges and
// retries beyond the first attempt of each caller's request.
package budget

import (
	"maps"
	"sync"
	"time"
)

// bucketLength is the time covered by one bucket of the sliding window.
const bucketLength = time.Second

// safetyFactor is the fraction of its share that an instance uses. The rest
// allows for requests that instances count at slightly different times, and for those that
// have recently started.
const safetyFactor = 0.85

// Limits bounds the extra requests that all instances together may send to one
// upstream within any period of the length Window.
type Limits struct {
	// Ratio is the number of extra requests allowed per first request.
	Ratio float64
	// Slack is the number of extra requests allowed in addition, however few
	// first requests there are.
	Slack float64
	// Window is the length of the period in which both kinds are counted.
	Window time.Duration
}

// Budget counts the first and the extra requests of one instance to each
// upstream. It is safe for concurrent use.
type Budget struct {
	limits Limits
	// slackShare returns this instance's share of Slack, 0 to 1.
	slackShare func() float64
	// isRecent reports whether the instance has recently started.
	isRecent func() bool
	now      func() time.Duration

	// mutex guards upstreams and the windows in it.
	mutex     sync.Mutex
	upstreams map[string]*window
	// keptWindows is the number of windows after the last deletion of idle ones.
	keptWindows int
}

// window counts the requests to one upstream in a ring of buckets.
type window struct {
	// latestBucket is the number of the newest bucket, counted from the origin of
	// the clock; its index in the ring is latestBucket modulo the ring's length.
	latestBucket int
	// firstCounts and extraCounts hold the requests of each bucket.
	firstCounts []int
	extraCounts []int
}

// Option configures a Budget.
type Option func(budget *Budget)

// WithSlackShare sets the function that returns the instance's current share of
// Limits.Slack, 0 to 1. The shares of all instances must not exceed 1
// in total. By default the instances divide it equally.
func WithSlackShare(slackShare func() float64) Option {
	return func(budget *Budget) { budget.slackShare = slackShare }
}

// WithRecentStart sets the function that reports whether the instance has recently started,
// so that an earlier process may have spent its share in the same window. It then uses no
// slack, and of the ratio only what safetyFactor leaves. By default it never has.
func WithRecentStart(isRecent func() bool) Option {
	return func(budget *Budget) { budget.isRecent = isRecent }
}

// New returns the budget of one instance. The function instances returns the
// current number of instances, and now returns the time since any fixed origin
// on a monotonic clock.
func New(limits Limits, instances func() int, now func() time.Duration, options ...Option) *Budget {
	budget := &Budget{limits: limits, now: now, isRecent: func() bool { return false }, upstreams: make(map[string]*window)}
	budget.slackShare = func() float64 { return 1 / float64(max(instances(), 1)) }
	for _, option := range options {
		option(budget)
	}
	return budget
}

// RecordFirst counts a first request to upstream.
func (budget *Budget) RecordFirst(upstream string) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	window := budget.window(upstream)
	window.firstCounts[window.latestBucket%len(window.firstCounts)]++
}

// Allow reports whether an extra request to upstream may be sent, and counts it
// if so. It may use only the given fraction, 0 to 1, of this instance's share of
// the budget.
func (budget *Budget) Allow(upstream string, fraction float64) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	window := budget.window(upstream)
	if float64(window.extraRequests()+1) > fraction*budget.share(window) {
		return false
	}
	window.extraCounts[window.latestBucket%len(window.extraCounts)]++
	return true
}

// Upstreams returns the number of upstreams whose requests are counted.
func (budget *Budget) Upstreams() int {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return len(budget.upstreams)
}

// share returns how many extra requests this instance may send within the window.
func (budget *Budget) share(window *window) float64 {
	ratioPart := budget.limits.Ratio * float64(window.firstRequests())
	if budget.isRecent() {
		return (1 - safetyFactor) * ratioPart
	}
	return safetyFactor * (ratioPart + budget.limits.Slack*budget.slackShare())
}

// window returns the window of upstream after clearing the buckets that have
// expired. The caller holds mutex.
func (budget *Budget) window(upstream string) *window {
	size := int(budget.limits.Window/bucketLength) + 1
	bucket := int(budget.now() / bucketLength)
	entry := budget.upstreams[upstream]
	if entry == nil {
		budget.deleteIdle(bucket - size)
		entry = &window{latestBucket: bucket, firstCounts: make([]int, size), extraCounts: make([]int, size)}
		budget.upstreams[upstream] = entry
	}
	for entry.latestBucket < bucket {
		entry.latestBucket = max(entry.latestBucket+1, bucket-size)
		entry.firstCounts[entry.latestBucket%size] = 0
		entry.extraCounts[entry.latestBucket%size] = 0
	}
	return entry
}

// minWindows is the number of windows from which on those of upstreams without requests
// are deleted.
const minWindows = 64

// deleteIdle deletes the windows whose newest bucket is older than oldest, if the number of
// windows has doubled since it last did so. The caller holds mutex.
func (budget *Budget) deleteIdle(oldest int) {
	if len(budget.upstreams) < max(2*budget.keptWindows, minWindows) {
		return
	}
	maps.DeleteFunc(budget.upstreams, func(_ string, window *window) bool { return window.latestBucket < oldest })
	budget.keptWindows = len(budget.upstreams)
}

// firstRequests returns the number of first requests within the window. It
// leaves out the oldest bucket, which lies only partly within the window.
func (window *window) firstRequests() int {
	sum := -window.firstCounts[(window.latestBucket+1)%len(window.firstCounts)]
	for _, count := range window.firstCounts {
		sum += count
	}
	return sum
}

// extraRequests returns the number of extra requests in all buckets. The oldest
// bucket is included, so that the limit holds in any period of the window's
// length.
func (window *window) extraRequests() int {
	sum := 0
	for _, count := range window.extraCounts {
		sum += count
	}
	return sum
}
