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
		"no homes": {members: map[string]int{"a": 3}, shards: 20, domains: []string{"a"}, width: HomesDisabled, want: map[string]int{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			shards := newShardsIn(test.shards, test.domains...)
			homes := AssignHomes(newFleet(test.members), shards, test.width)
			taken := make(map[string]map[string]int)
			standBys := make(map[string]bool)
			for _, domains := range homes {
				assert.Equal(t, len(domains), len(test.want))
				for domain, members := range domains {
					if taken[domain] == nil {
						taken[domain] = make(map[string]int)
					}
					taken[domain][members[0]]++
					assert.Equal(t, len(members), min(2, test.members[domain]))
					if len(members) > 1 {
						standBys[members[0]+"/"+members[1]] = true
					}
				}
			}
			counts := make(map[string]int)
			count := 0
			for domain, homes := range taken {
				counts[domain] = len(homes)
				if test.members[domain] > 1 {
					count += len(homes)
				}
				for _, count := range homes {
					assert.Assert(t, count <= test.most, "%v", homes)
				}
			}
			assert.DeepEqual(t, counts, test.want)
			assert.Equal(t, len(standBys), count, "a home has one stand-by for all its shards: %v", standBys)
		})
	}
}

// TestHomesInput checks which changes ask for another assignment of homes: a
// release of replicas, one by one, must not.
func TestHomesInput(t *testing.T) {
	type change func(members map[string]api.Member, shards map[view.ShardKey]view.Shard)
	key := view.ShardKey{Index: "index", Shard: "s0"}
	replace := func(domain string) change {
		return func(_ map[string]api.Member, shards map[view.ShardKey]view.Shard) {
			shard := shards[key]
			shard.Replicas = []*view.Replica{{Instance: api.Instance{Name: "new", FailureDomain: domain}}, shard.Replicas[1]}
			shards[key] = shard
		}
	}
	tests := map[string]struct {
		change change
		isSame bool
	}{
		"a replica replaced":          {change: replace("a"), isSame: true},
		"a replica in another domain": {change: replace("c")},
		"a shard removed":             {change: func(_ map[string]api.Member, shards map[view.ShardKey]view.Shard) { delete(shards, key) }},
		"a member failed":             {change: func(members map[string]api.Member, _ map[view.ShardKey]view.Shard) { delete(members, "a-0") }},
		"a member of another capacity": {change: func(members map[string]api.Member, _ map[view.ShardKey]view.Shard) {
			member := members["a-0"]
			member.Capacity = 800
			members["a-0"] = member
		}},
		"a member that was replaced": {change: func(members map[string]api.Member, _ map[view.ShardKey]view.Shard) {
			member := members["a-0"]
			member.Incarnation++
			members["a-0"] = member
		}, isSame: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			members := newFleet(map[string]int{"a": 3, "b": 3, "c": 2})
			shards := newShardsIn(20, "a", "b")
			before := hashHomesInput(members, shards)
			test.change(members, shards)
			assert.Equal(t, hashHomesInput(members, shards) == before, test.isSame)
		})
	}
}
