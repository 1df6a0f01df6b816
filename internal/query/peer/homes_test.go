package peer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// newView returns the View of the named instance: 20 shards with replicas in
// the failure domains a and b, three instances in each of these and two in c.
func newView(self string) *view.View {
	members := make(map[string]api.Member)
	for domain, count := range map[string]int{"a": 3, "b": 3, "c": 2} {
		for number := range count {
			name := fmt.Sprintf("%s%d", domain, number)
			members[name] = api.Member{Instance: api.Instance{Name: name, FailureDomain: domain}, State: api.MemberAlive}
		}
	}
	shards := make(map[view.ShardKey]view.Shard)
	var selected []view.Shard
	for number := range 20 {
		shard := view.Shard{Name: fmt.Sprintf("s%d", number)}
		for _, domain := range []string{"a", "b"} {
			shard.Replicas = append(shard.Replicas, &view.Replica{Instance: api.Instance{FailureDomain: domain}})
		}
		shards[view.ShardKey{Shard: shard.Name}] = shard
		selected = append(selected, shard)
	}
	return &view.View{
		Self:    members[self],
		Members: members,
		Homes:   control.AssignHomes(members, shards, 0),
		Scopes:  map[string]view.Scope{"all": {Selections: map[string]view.Selection{"all": {Shards: selected}}}},
	}
}

// TestPlaceStaysInItsFailureDomain places a steady load of queries from each
// failure domain: they go to homes of their own domain, those of a domain
// without replicas to one other domain each, and to all of these alike.
func TestPlaceStaysInItsFailureDomain(t *testing.T) {
	tests := map[string]struct {
		self string
		// inDoubt names the peers that fail.
		inDoubt []string
		// want holds the failure domains that queries go to. Where this
		// instance is itself a stand-by of homes in doubt they may stay here.
		want    map[string]bool
		mayStay bool
	}{
		"replicas in the own domain":    {self: "a0", want: map[string]bool{"a": true}},
		"none in the own domain":        {self: "c0", want: map[string]bool{"a": true, "b": true}},
		"the homes of a domain fail":    {self: "a0", inDoubt: []string{"a1", "a2"}, want: map[string]bool{"b": true}, mayStay: true},
		"the homes far from here fail":  {self: "c0", inDoubt: []string{"a0", "a1", "a2"}, want: map[string]bool{"b": true}},
		"the homes of all domains fail": {self: "c0", inDoubt: []string{"a0", "a1", "a2", "b0", "b1", "b2"}, want: map[string]bool{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			current := newView(test.self)
			homes := &HomeRouter{}
			for _, name := range test.inDoubt {
				homes.suspect(name)
			}
			request := upstream.Request{
				View:      current,
				Scope:     api.Scope{Form: api.FormMerged, MaxAttempts: 2},
				Selection: current.Scopes["all"].Selections["all"],
			}
			reached := make(map[string]bool)
			for range 40 {
				local, groups := homes.Place(&request)
				count := len(local)
				domains := make(map[string]bool)
				for _, group := range groups {
					count += len(group.Shards)
					domains[group.Peer.Instance.FailureDomain] = true
					reached[group.Peer.Instance.FailureDomain] = true
				}
				assert.Equal(t, count, 20)
				assert.Assert(t, len(domains) <= 1 || len(test.inDoubt) > 0, "one query went to %v", domains)
			}
			if !test.mayStay || len(reached) > 0 {
				assert.DeepEqual(t, reached, test.want)
			}
		})
	}
}
