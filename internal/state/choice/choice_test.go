package choice_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/choice"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

func replica(name string, latency time.Duration, load int64) *view.Replica {
	traffic := &view.ReplicaStats{}
	for range 50 {
		traffic.ObserveLatency(latency)
	}
	traffic.InFlight.Store(load)
	return &view.Replica{Instance: api.Instance{Name: name}, Upstream: api.Upstream{Slots: 2}, Stats: traffic}
}

func TestLeastWait(t *testing.T) {
	fast := 10 * time.Millisecond
	tests := map[string]struct {
		first, second *view.Replica
		want          string
	}{
		"the faster":                 {first: replica("a", fast, 0), second: replica("b", 5*fast, 0), want: "a"},
		"the less loaded":            {first: replica("a", fast, 4), second: replica("b", fast, 0), want: "b"},
		"slow outweighs some load":   {first: replica("a", fast, 2), second: replica("b", 5*fast, 0), want: "a"},
		"one without an observation": {first: replica("a", fast, 0), second: &view.Replica{Instance: api.Instance{Name: "b"}, Stats: &view.ReplicaStats{}}, want: "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			chosen := choice.PowerOfTwoChoices{}.Choose([]*view.Replica{test.first, test.second})
			assert.Equal(t, chosen.Instance.Name, test.want)
		})
	}
}

// TestSlowReplicaIsFound checks that one attempt given up is enough to see a
// replica that turned slow.
func TestSlowReplicaIsFound(t *testing.T) {
	slow, fast := replica("slow", 10*time.Millisecond, 0), replica("fast", 10*time.Millisecond, 1)
	slow.Stats.ObserveCancelled(60 * time.Millisecond)
	chosen := choice.PowerOfTwoChoices{}.Choose([]*view.Replica{slow, fast})
	assert.Equal(t, chosen.Instance.Name, "fast")
}

// TestStalledReplicaIsAvoided checks that a replica which answers nothing
// while attempts wait on it is passed over before any of them has ended.
func TestStalledReplicaIsAvoided(t *testing.T) {
	paused, steady := replica("paused", 5*time.Millisecond, 0), replica("steady", 8*time.Millisecond, 0)
	paused.Stats.BeginAttempt()
	time.Sleep(40 * time.Millisecond)
	chosen := choice.PowerOfTwoChoices{}.Choose([]*view.Replica{paused, steady})
	assert.Equal(t, chosen.Instance.Name, "steady")
}

// TestRefusingReplicaIsAvoided checks that a replica which refuses part of its
// requests at once is not taken for a fast one.
func TestRefusingReplicaIsAvoided(t *testing.T) {
	refusing, steady := replica("refusing", 5*time.Millisecond, 0), replica("steady", 8*time.Millisecond, 0)
	for index := range 20 {
		refusing.Stats.ObserveOutcome(index%2 == 0)
	}
	chosen := choice.PowerOfTwoChoices{}.Choose([]*view.Replica{refusing, steady})
	assert.Equal(t, chosen.Instance.Name, "steady")
}
