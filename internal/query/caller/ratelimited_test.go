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

// selectionWithLoad returns a selection of one replica that has two slots and
// reports the given load.
func selectionWithLoad(load int64) view.Selection {
	replica := &view.Replica{Upstream: api.Upstream{Slots: 2}, Stats: &view.ReplicaStats{}}
	replica.Stats.ReportedLoad.Store(load)
	replica.Stats.ReportedAt.Store(int64(view.MonotonicNow()))
	return view.Selection{Kind: "lookup", Shards: []view.Shard{{Replicas: []*view.Replica{replica}}}}
}

// sendQueries sends queries of one priority at 100 per second for the given time
// to replicas that report load, and returns how many were admitted.
func sendQueries(admission *caller.RateLimitedAdmission, priority int, load int64, duration time.Duration) int {
	admitted := 0
	const interval = 10 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < duration; elapsed += interval {
		scope := api.Scope{Name: "s", Priority: priority}
		if admission.Admit(caller.AdmissionRequest{Scope: scope, Selection: selectionWithLoad(load)}) == nil {
			admitted++
		}
		time.Sleep(interval)
	}
	return admitted
}

// TestRateLimitedAdmission checks how many of 200 queries are admitted within two
// seconds under a constant load.
func TestRateLimitedAdmission(t *testing.T) {
	tests := map[string]struct {
		priority int
		// higherPriority is a higher priority that is active; 0 if there is none.
		higherPriority           int
		load                     int64
		minAdmitted, maxAdmitted int
	}{
		"idle replicas":                                  {priority: 3, load: 0, minAdmitted: 200, maxAdmitted: 200},
		"busy slots, highest priority":                   {priority: 3, load: 3, minAdmitted: 200, maxAdmitted: 200},
		"busy slots, a higher priority is active":        {priority: 1, higherPriority: 3, load: 3, minAdmitted: 1, maxAdmitted: 100},
		"busy slots, no higher priority is active":       {priority: 0, load: 3, minAdmitted: 200, maxAdmitted: 200},
		"long queues, highest priority":                  {priority: 3, load: 8, minAdmitted: 1, maxAdmitted: 60},
		"long queues, lowest priority still admits some": {priority: 0, load: 8, minAdmitted: 1, maxAdmitted: 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				admission := caller.NewRateLimitedAdmission()
				if test.higherPriority > 0 {
					sendQueries(admission, test.higherPriority, 0, 10*time.Millisecond)
				}
				admitted := sendQueries(admission, test.priority, test.load, 2*time.Second)
				assert.Assert(t, admitted >= test.minAdmitted && admitted <= test.maxAdmitted, "%d of 200 admitted", admitted)
			})
		})
	}
}

// TestRateLimitedAdmissionIgnoresShortStall checks that no query is refused when
// queues are long for only 200 ms.
func TestRateLimitedAdmissionIgnoresShortStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := caller.NewRateLimitedAdmission()
		assert.Equal(t, sendQueries(admission, 0, 0, time.Second), 100)
		assert.Equal(t, sendQueries(admission, 0, 8, 200*time.Millisecond), 20)
		assert.Equal(t, sendQueries(admission, 0, 0, time.Second), 100)
	})
}

// TestRateLimitedAdmissionRecovers checks that the limit is removed after an
// overload has ended.
func TestRateLimitedAdmissionRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := caller.NewRateLimitedAdmission()
		sendQueries(admission, 3, 8, 3*time.Second)
		sendQueries(admission, 3, 0, 8*time.Second)
		assert.Equal(t, sendQueries(admission, 3, 0, time.Second), 100)
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
	assert.Equal(t, len(weights), 2, "leaving and failed instances are left out")
	assert.Assert(t, weights["a"] > weights["b"], "the loaded instance has the lower weight")
	assert.Assert(t, addresses.KeepMillis >= 3_000 && addresses.KeepMillis <= 4_000)
}
