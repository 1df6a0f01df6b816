package control

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// newFleet returns so many alive members in each failure domain.
func newFleet(counts map[string]int) map[string]api.Member {
	members := make(map[string]api.Member)
	for domain, count := range counts {
		for number := range count {
			name := fmt.Sprintf("%s-%d", domain, number)
			members[name] = api.Member{Instance: api.Instance{Name: name, FailureDomain: domain}, State: api.MemberAlive}
		}
	}
	return members
}

// newShardsIn returns so many shards with a replica in each failure domain.
func newShardsIn(count int, domains ...string) map[view.ShardKey]view.Shard {
	shards := make(map[view.ShardKey]view.Shard)
	for number := range count {
		name := fmt.Sprintf("s%d", number)
		shard := view.Shard{Name: name, Upstream: api.Upstream{Name: name}}
		for _, domain := range domains {
			instance := api.Instance{Name: name + "-" + domain, FailureDomain: domain}
			shard.Replicas = append(shard.Replicas, &view.Replica{Instance: instance})
		}
		shards[view.ShardKey{Index: "index", Shard: name}] = shard
	}
	return shards
}

// TestHomes checks that each shard has a home in each failure domain of its
// replicas that has members, so that a steady load of queries stays in its
// domain, and that no home has more than its share.
func TestHomes(t *testing.T) {
	tests := map[string]struct {
		members map[string]int
		shards  int
		domains []string
		width   int
		// want holds the failure domains with homes and how many homes each has.
		want map[string]int
		// most is how many shards a home has at most.
		most int
	}{
		"a few instances": {
			members: map[string]int{"a": 3, "b": 3, "c": 2}, shards: 20, domains: []string{"a", "b"},
			want: map[string]int{"a": 3, "b": 3}, most: 7,
		},
		"many instances": {
			members: map[string]int{"a": 24, "b": 29, "c": 27}, shards: 90, domains: []string{"a", "b", "c"},
			want: map[string]int{"a": 9, "b": 9, "c": 9}, most: 10,
		},
		"a failure domain lost": {
			members: map[string]int{"b": 3, "c": 2}, shards: 20, domains: []string{"a", "b"},
			want: map[string]int{"b": 3}, most: 7,
		},
		"all failure domains of the replicas lost": {
			members: map[string]int{"c": 2}, shards: 20, domains: []string{"a", "b"},
			want: map[string]int{"c": 2}, most: 10,
		},
		"a width": {
			members: map[string]int{"a": 3}, shards: 20, domains: []string{"a"}, width: 20,
			want: map[string]int{"a": 1}, most: 20,
		},
		"no homes": {members: map[string]int{"a": 3}, shards: 20, domains: []string{"a"}, width: NoHomes, want: map[string]int{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			shards := newShardsIn(test.shards, test.domains...)
			homes := Homes(newFleet(test.members), shards, test.width)
			taken := make(map[string]map[string]int)
			for _, domains := range homes {
				assert.Equal(t, len(domains), len(test.want))
				for domain, members := range domains {
					if taken[domain] == nil {
						taken[domain] = make(map[string]int)
					}
					taken[domain][members[0]]++
					assert.Equal(t, len(members), min(homesOfShard, test.members[domain]))
				}
			}
			counts := make(map[string]int)
			for domain, homes := range taken {
				counts[domain] = len(homes)
				for _, count := range homes {
					assert.Assert(t, count <= test.most, "%v", homes)
				}
			}
			assert.DeepEqual(t, counts, test.want)
		})
	}
}
