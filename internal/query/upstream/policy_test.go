package upstream_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// newReplica returns a replica with two slots that has answered 50 attempts with
// the given latency and has load attempts in flight.
func newReplica(name string, latency time.Duration, load int64) *view.Replica {
	replicastats := &view.ReplicaStats{}
	for range 50 {
		replicastats.ObserveLatency(latency, 1)
	}
	replicastats.InFlight.Store(load)
	return &view.Replica{Instance: api.Instance{Name: name}, Upstream: api.Upstream{Slots: 2}, Stats: replicastats}
}

func TestHedgeDelay(t *testing.T) {
	fast := newReplica("a", 10*time.Millisecond, 0)
	slow := newReplica("b", 50*time.Millisecond, 0)
	tests := map[string]struct {
		replicas []*view.Replica
		isSet    bool
		maxDelay time.Duration
	}{
		"the fastest replica sets the delay": {replicas: []*view.Replica{fast, slow}, isSet: true, maxDelay: 12 * time.Millisecond},
		"only one replica":                   {replicas: []*view.Replica{fast}},
		"no observed latency":                {replicas: []*view.Replica{{Stats: &view.ReplicaStats{}}, {Stats: &view.ReplicaStats{}}}},
	}
	request := upstream.Request{Selection: view.Selection{Shards: make([]view.Shard, 20)}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			delay, isSet := upstream.NewPercentileHedge().Delay(&request, view.Shard{Replicas: test.replicas})
			assert.Equal(t, isSet, test.isSet)
			assert.Assert(t, delay <= test.maxDelay, "%s", delay)
		})
	}
}

func TestHedgeBudget(t *testing.T) {
	idle, busy := newReplica("a", 10*time.Millisecond, 0), newReplica("b", 10*time.Millisecond, 2)
	hedge := upstream.NewPercentileHedge()
	assert.Assert(t, !hedge.Allow(busy, false), "replica without a free slot is hedged")
	regular, postponed := 0, 0
	for hedge.Allow(idle, false) {
		regular++
	}
	for hedge.Allow(idle, true) {
		postponed++
	}
	assert.Assert(t, regular > 0 && postponed > regular, "%d regular hedges, %d postponed ones from the reserve", regular, postponed)
	for range 1_000 {
		hedge.CountFirstAttempt()
	}
	refilled := 0
	for hedge.Allow(idle, true) {
		refilled++
	}
	assert.Assert(t, refilled <= 50, "%d hedges for 1000 first attempts", refilled)
}
