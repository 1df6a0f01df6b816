package caller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/query/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// loaded returns a selection of one replica with two slots that reports load.
func loaded(load int64) view.Selection {
	replica := &view.Replica{Upstream: api.Upstream{Slots: 2}, Stats: &view.ReplicaStats{}}
	replica.Stats.ReportedLoad.Store(load)
	replica.Stats.ReportedAt.Store(int64(view.MonotonicNow()))
	return view.Selection{Kind: "lookup", Shards: []view.Shard{{Replicas: []*view.Replica{replica}}}}
}

// offer sends queries of one priority at 100 a second and returns how many
// were taken.
func offer(admission *caller.RateLimitedAdmission, priority int, load int64, length time.Duration) int {
	taken := 0
	const interval = 10 * time.Millisecond
	for since := time.Duration(0); since < length; since += interval {
		scope := api.Scope{Name: "s", Priority: priority}
		if admission.Admit(caller.AdmissionRequest{Scope: scope, Selection: loaded(load)}) == nil {
			taken++
		}
		time.Sleep(interval)
	}
	return taken
}

func TestPacedAdmission(t *testing.T) {
	tests := map[string]struct {
		priority int
		// above is a higher priority that is present; 0 where there is none.
		above       int
		load        int64
		least, most int
	}{
		"idle replicas":                       {priority: 3, load: 0, least: 200, most: 200},
		"slots taken, top priority":           {priority: 3, load: 3, least: 200, most: 200},
		"slots taken, beside a higher one":    {priority: 1, above: 3, load: 3, least: 1, most: 100},
		"slots taken, none is higher":         {priority: 0, load: 3, least: 200, most: 200},
		"long queues, top priority":           {priority: 3, load: 8, least: 1, most: 60},
		"long queues leave a trickle for all": {priority: 0, load: 8, least: 1, most: 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				admission := caller.NewRateLimitedAdmission()
				if test.above > 0 {
					offer(admission, test.above, 0, 10*time.Millisecond)
				}
				taken := offer(admission, test.priority, test.load, 2*time.Second)
				assert.Assert(t, taken >= test.least && taken <= test.most, "%d of 200 taken", taken)
			})
		})
	}
}

// TestPacedAdmissionTakesAShortStall checks that queues of a moment refuse
// nothing.
func TestPacedAdmissionTakesAShortStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := caller.NewRateLimitedAdmission()
		assert.Equal(t, offer(admission, 0, 0, time.Second), 100)
		assert.Equal(t, offer(admission, 0, 8, 200*time.Millisecond), 20)
		assert.Equal(t, offer(admission, 0, 0, time.Second), 100)
	})
}

func TestPacedAdmissionRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := caller.NewRateLimitedAdmission()
		offer(admission, 3, 8, 3*time.Second)
		offer(admission, 3, 0, 8*time.Second)
		assert.Equal(t, offer(admission, 3, 0, time.Second), 100)
	})
}

func TestLocate(t *testing.T) {
	member := func(name, domain string, state api.MemberState, load int) api.Member {
		return api.Member{Instance: api.Instance{Name: name, FailureDomain: domain}, State: state, Load: load}
	}
	current := &view.View{Members: map[string]api.Member{
		"a": member("a", "muscat-a", api.MemberAlive, 0),
		"b": member("b", "sohar-b", api.MemberAlive, 90),
		"c": member("c", "sohar-b", api.MemberLeaving, 0),
		"d": member("d", "nizwa-c", api.MemberFailed, 0),
	}}
	addresses := caller.Locate(current, 4*time.Second)
	weights := make(map[string]int)
	for _, address := range addresses.Instances {
		weights[address.Name] = address.Weight
	}
	assert.Equal(t, len(weights), 2, "leaving and failed instances are not named")
	assert.Assert(t, weights["a"] > weights["b"], "the loaded one weighs less")
	assert.Assert(t, addresses.KeepMillis >= 3_000 && addresses.KeepMillis <= 4_000)
}
