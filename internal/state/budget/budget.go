// Package budget bounds the requests that go to an upstream beyond the first
// of each caller's request: hedges and retries.
package budget

import (
	"sync"
	"time"
)

// bucket is the resolution in which a budget forgets.
const bucket = time.Second

// safety is the part of its share that an instance uses, for the requests
// that it and others count a moment apart.
const safety = 0.85

// Limits are what all instances together may send beyond the first requests
// within any Window.
type Limits struct {
	// Ratio is the share of the first requests that may be sent once more.
	Ratio float64
	// Slack is how many more may be sent however few first requests there are.
	Slack float64
	// Window is the time over which both are counted.
	Window time.Duration
}

// Budget counts the requests of one instance to each upstream. It is safe for
// concurrent use.
type Budget struct {
	limits Limits
	// instances returns among how many instances Slack is shared.
	instances func() int
	now       func() time.Duration

	mutex     sync.Mutex
	upstreams map[string]*counts
}

// counts holds the requests to one upstream by bucket.
type counts struct {
	// latest is the number of the newest bucket.
	latest int
	first  []int
	extra  []int
}

// New returns a budget of one among so many instances. The clock now rises
// steadily from any origin.
func New(limits Limits, instances func() int, now func() time.Duration) *Budget {
	return &Budget{limits: limits, instances: instances, now: now, upstreams: make(map[string]*counts)}
}

// RecordFirst counts a first request to upstream.
func (budget *Budget) RecordFirst(upstream string) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	counts := budget.at(upstream)
	counts.first[counts.latest%len(counts.first)]++
}

// Allow counts one more request to upstream where a part of the budget, 0 to
// 1, has room for it.
func (budget *Budget) Allow(upstream string, part float64) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	counts := budget.at(upstream)
	if float64(counts.extras()+1) > part*safety*budget.share(counts) {
		return false
	}
	counts.extra[counts.latest%len(counts.extra)]++
	return true
}

// share returns what this instance may send beyond the first requests.
func (budget *Budget) share(counts *counts) float64 {
	instances := max(budget.instances(), 1)
	return budget.limits.Ratio*float64(counts.firsts()) + budget.limits.Slack/float64(instances)
}

// at returns the counts of upstream with the buckets that are over emptied.
func (budget *Budget) at(upstream string) *counts {
	size := int(budget.limits.Window/bucket) + 1
	number := int(budget.now() / bucket)
	known := budget.upstreams[upstream]
	if known == nil {
		known = &counts{latest: number, first: make([]int, size), extra: make([]int, size)}
		budget.upstreams[upstream] = known
	}
	for known.latest < number {
		known.latest = max(known.latest+1, number-size)
		known.first[known.latest%size] = 0
		known.extra[known.latest%size] = 0
	}
	return known
}

// firsts returns the first requests of the window; the oldest bucket, which
// the window holds only in part, is left out.
func (counts *counts) firsts() int {
	sum := -counts.first[(counts.latest+1)%len(counts.first)]
	for _, count := range counts.first {
		sum += count
	}
	return sum
}

func (counts *counts) extras() int {
	sum := 0
	for _, count := range counts.extra {
		sum += count
	}
	return sum
}
