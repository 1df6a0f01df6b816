package http

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// TestConnectionsAfterStart simulates many instances that start together and know
// few of the others. Until they are settled, each may open a single connection to a
// replica, whatever its share would be among the instances that it knows.
func TestConnectionsAfterStart(t *testing.T) {
	tests := map[string]struct {
		isSettled, hasHomes, isHome bool
		want                        int
	}{
		"not settled":                     {want: 1},
		"settled, no homes":               {isSettled: true, want: 2},
		"settled, the home":               {isSettled: true, hasHomes: true, isHome: true, want: 2},
		"settled, another one's upstream": {isSettled: true, hasHomes: true, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			upstream := api.Upstream{Name: "desk", Slots: 2, ConnectionLimit: 70}
			replica := &view.Replica{Instance: api.Instance{Name: "r", Address: "127.0.0.1:1"}, Upstream: upstream, Stats: &view.ReplicaStats{}}
			current := &view.View{
				IsSettled: test.isSettled,
				Members:   map[string]api.Member{"a": {}, "b": {}},
				Replicas:  map[string]*view.Replica{"r": replica},
			}
			if test.hasHomes {
				current.IsHomeOfUpstream = map[string]bool{"desk": test.isHome}
			}
			links := &Links[*RelayLink]{Open: RelayLinkOpener(&DefaultHeaderNames)}
			link := links.Get(replica, len(current.Members))
			links.ApplyView(current)
			assert.Equal(t, link.maxConnections, test.want)
		})
	}
}

// TestLinkOfReplicaPublishedAgain checks that a replica which was not published for a
// while, and whose stats of before say that it is leaving, gets another link.
func TestLinkOfReplicaPublishedAgain(t *testing.T) {
	instance := api.Instance{Name: "r", Address: "127.0.0.1:1", Incarnation: 7}
	links := &Links[*RelayLink]{Open: RelayLinkOpener(&DefaultHeaderNames)}
	before := &view.Replica{Instance: instance, Stats: &view.ReplicaStats{}}
	before.Stats.IsLeaving.Store(true)
	assert.ErrorIs(t, checkAcceptsRequests(links.Get(before, 1).stats), ErrNotAccepting)
	again := &view.Replica{Instance: instance, Stats: &view.ReplicaStats{}}
	assert.NilError(t, checkAcceptsRequests(links.Get(again, 1).stats))
}
