package upstream_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
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

func TestHedgeDelay(t *testing.T) {
	steady := replica("a", 10*time.Millisecond, 0)
	slow := replica("b", 50*time.Millisecond, 0)
	tests := map[string]struct {
		replicas []*view.Replica
		isSet    bool
		most     time.Duration
	}{
		"the fastest replica gives the delay": {replicas: []*view.Replica{steady, slow}, isSet: true, most: 12 * time.Millisecond},
		"no other replica":                    {replicas: []*view.Replica{steady}},
		"nothing observed":                    {replicas: []*view.Replica{{Stats: &view.ReplicaStats{}}, {Stats: &view.ReplicaStats{}}}},
	}
	request := upstream.Request{Selection: view.Selection{Shards: make([]view.Shard, 20)}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			after, isSet := upstream.NewPercentileHedge().Delay(&request, view.Shard{Replicas: test.replicas})
			assert.Equal(t, isSet, test.isSet)
			assert.Assert(t, after <= test.most, "%s", after)
		})
	}
}

func TestHedgeBudget(t *testing.T) {
	idle, busy := replica("a", 10*time.Millisecond, 0), replica("b", 10*time.Millisecond, 2)
	hedge := upstream.NewPercentileHedge()
	assert.Assert(t, !hedge.Allow(busy, false), "slots taken")
	early, late := 0, 0
	for hedge.Allow(idle, false) {
		early++
	}
	for hedge.Allow(idle, true) {
		late++
	}
	assert.Assert(t, early > 0 && late > early, "%d early, %d late from the reserve", early, late)
	for range 1_000 {
		hedge.CountFirstAttempt()
	}
	refilled := 0
	for hedge.Allow(idle, true) {
		refilled++
	}
	assert.Assert(t, refilled <= 50, "%d hedges for 1000 first attempts", refilled)
}
