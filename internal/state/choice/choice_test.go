package choice_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/choice"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// newReplica returns a replica with two slots that has answered 50 attempts with
// the given latency and has load attempts in flight.
func newReplica(name string, latency time.Duration, load int64) *view.Replica {
	stats := &view.ReplicaStats{}
	for range 50 {
		stats.ObserveLatency(latency, 1)
	}
	stats.InFlight.Store(load)
	return &view.Replica{Instance: api.Instance{Name: name}, Upstream: api.Upstream{Slots: 2}, Stats: stats}
}

func TestPowerOfTwoChoices(t *testing.T) {
	fast := 10 * time.Millisecond
	tests := map[string]struct {
		first, second *view.Replica
		want          string
	}{
		"lower latency":                   {first: newReplica("a", fast, 0), second: newReplica("b", 5*fast, 0), want: "a"},
		"lower load":                      {first: newReplica("a", fast, 4), second: newReplica("b", fast, 0), want: "b"},
		"low latency outweighs some load": {first: newReplica("a", fast, 2), second: newReplica("b", 5*fast, 0), want: "a"},
		"a replica without observations":  {first: newReplica("a", fast, 0), second: &view.Replica{Instance: api.Instance{Name: "b"}, Stats: &view.ReplicaStats{}}, want: "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			chosen := choice.PowerOfTwoChoices{}.Choose([]*view.Replica{test.first, test.second})
			assert.Equal(t, chosen.Instance.Name, test.want)
		})
	}
}

// TestSlowReplicaIsDetected checks that one cancelled attempt is enough to
// detect that a replica has become slow.
func TestSlowReplicaIsDetected(t *testing.T) {
	slow, fast := newReplica("slow", 10*time.Millisecond, 0), newReplica("fast", 10*time.Millisecond, 1)
	slow.Stats.ObserveCancelled(60*time.Millisecond, 1)
	chosen := choice.PowerOfTwoChoices{}.Choose([]*view.Replica{slow, fast})
	assert.Equal(t, chosen.Instance.Name, "fast")
}

// TestStalledReplicaIsAvoided checks that a replica which answers nothing
// while attempts to it are in flight is avoided before any of them has ended.
func TestStalledReplicaIsAvoided(t *testing.T) {
	paused, steady := newReplica("paused", 5*time.Millisecond, 0), newReplica("steady", 8*time.Millisecond, 0)
	paused.Stats.BeginAttempt()
	time.Sleep(40 * time.Millisecond)
	chosen := choice.PowerOfTwoChoices{}.Choose([]*view.Replica{paused, steady})
	assert.Equal(t, chosen.Instance.Name, "steady")
}

// TestRefusingReplicaIsAvoided checks that a replica which refuses some of its
// requests immediately is not preferred for its low latency.
func TestRefusingReplicaIsAvoided(t *testing.T) {
	refusing, steady := newReplica("refusing", 5*time.Millisecond, 0), newReplica("steady", 8*time.Millisecond, 0)
	for index := range 20 {
		refusing.Stats.ObserveOutcome(index%2 == 0)
	}
	chosen := choice.PowerOfTwoChoices{}.Choose([]*view.Replica{refusing, steady})
	assert.Equal(t, chosen.Instance.Name, "steady")
}

// TestQueueIsCountedOnce lets a fast replica answer under load, when each answer takes
// longer for the wait in its queue. With a shorter queue it must still be chosen over
// an idle replica that is slower than its answers would be: the wait belongs to the
// queue and not to the replica.
func TestQueueIsCountedOnce(t *testing.T) {
	const base = 10 * time.Millisecond
	fast, slow := newReplica("fast", base, 8), newReplica("slow", 4*base, 0)
	waitFactor := fast.WaitFactor(view.MonotonicNow())
	for range 50 {
		fast.Stats.ObserveLatency(time.Duration(waitFactor*float64(base)), waitFactor)
	}
	fast.Stats.InFlight.Store(4)
	chosen := choice.ShortestExpectedDelay{}.Choose([]*view.Replica{slow, fast})
	assert.Equal(t, chosen.Instance.Name, "fast")
}
