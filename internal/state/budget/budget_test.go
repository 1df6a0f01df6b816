package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mimosaspring/mimosaspring/internal/state/budget"
)

// event is one first request and the tries to send it once more.
type event struct {
	after  time.Duration
	extras int
}

// TestSharedBudgetHolds lets several instances spend as much as their budgets
// allow: in no window do they together send more than the limits say.
func TestSharedBudgetHolds(t *testing.T) {
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
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{
				after:  time.Duration(rapid.IntRange(0, 400).Draw(t, "after")) * time.Millisecond,
				extras: rapid.IntRange(0, 20).Draw(t, "extras"),
			}
		}), 1, 200).Draw(t, "events")
		for index, event := range events {
			now += event.after
			chosen := budgets[index%count]
			chosen.RecordFirst("shard")
			firsts = append(firsts, now)
			for range event.extras {
				if chosen.Allow("shard", 1) {
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
			most := limits.Ratio*float64(inWindow(firsts)) + limits.Slack
			assert.Assert(t, float64(inWindow(extras)) <= most)
		}
	})
}

func TestBudgetRefills(t *testing.T) {
	now := time.Duration(0)
	limits := budget.Limits{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	spent := budget.New(limits, func() int { return 1 }, func() time.Duration { return now })
	for spent.Allow("shard", 1) {
	}
	assert.Assert(t, !spent.Allow("shard", 1))
	assert.Assert(t, spent.Allow("other", 1))
	now = 30 * time.Second
	assert.Assert(t, spent.Allow("shard", 1))
}
