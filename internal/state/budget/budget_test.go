package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mimosaspring/mimosaspring/internal/state/budget"
)

// request is one first request and the extra requests attempted for it.
type request struct {
	// sinceLast is the time since the previous request.
	sinceLast time.Duration
	extras    int
}

// TestInstancesStayWithinLimits lets several instances send all extra requests
// that their budgets allow, and checks that their sum exceeds the limits in no
// window.
func TestInstancesStayWithinLimits(t *testing.T) {
	limits := budget.Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "instances")
		now := time.Duration(0)
		clock := func() time.Duration { return now }
		budgets := make([]*budget.Budget, count)
		for index := range budgets {
			budgets[index] = budget.New(limits, func() int { return count }, clock)
		}
		var firsts, extras []time.Duration
		requests := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) request {
			return request{
				sinceLast: time.Duration(rapid.IntRange(0, 400).Draw(t, "after")) * time.Millisecond,
				extras:    rapid.IntRange(0, 20).Draw(t, "extras"),
			}
		}), 1, 200).Draw(t, "events")
		for index, request := range requests {
			now += request.sinceLast
			budget := budgets[index%count]
			budget.RecordFirst("shard")
			firsts = append(firsts, now)
			for range request.extras {
				if budget.Allow("shard", 1) {
					extras = append(extras, now)
				}
			}
			inWindow := func(times []time.Duration) int {
				sum := 0
				for _, at := range times {
					if at > now-limits.Window {
						sum++
					}
				}
				return sum
			}
			limit := limits.Ratio*float64(inWindow(firsts)) + limits.Slack
			assert.Assert(t, float64(inWindow(extras)) <= limit)
		}
	})
}

func TestBudgetRefills(t *testing.T) {
	now := time.Duration(0)
	limits := budget.Limits{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	retries := budget.New(limits, func() int { return 1 }, func() time.Duration { return now })
	for retries.Allow("shard", 1) {
	}
	assert.Assert(t, !retries.Allow("shard", 1))
	assert.Assert(t, retries.Allow("other", 1))
	now = 30 * time.Second
	assert.Assert(t, retries.Allow("shard", 1))
}
