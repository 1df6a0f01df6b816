package control

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// homesOfShard is how many members are named for a shard: its home and the
// stand-by that is asked while the home is in doubt.
const homesOfShard = 2

// NoHomes is the width with which no shard has a home.
const NoHomes = -1

// defaultCapacity stands for a member that does not tell its own.
const defaultCapacity = 1_000

// Homes assigns each shard of a merged scope to the members that hold the
// connections to its replicas: in each failure domain of the replicas an alive
// one, so that a query need not leave its domain. A home has about width shards,
// by rendezvous hashing weighted by capacity. With a width of 0 a query of all
// shards takes about as many messages as a home then sends, so that neither end
// is the longer. Members that know the same fleet and configuration agree; two
// that do not ask different members for a while.
func Homes(members map[string]api.Member, shards map[view.ShardKey]view.Shard, width int) map[view.ShardKey]view.DomainHomes {
	if width < 0 {
		return nil
	}
	if width == 0 {
		width = int(math.Ceil(math.Sqrt(float64(len(shards)))))
	}
	byDomain := aliveByDomain(members)
	homes := make(map[view.ShardKey]view.DomainHomes, len(shards))
	for domain, keys := range shardsByDomain(shards, byDomain) {
		assignShards(homes, domain, byDomain[domain], keys, width)
	}
	return homes
}

// homedUpstreams returns the upstreams whose shards have homes, and whether
// the member of the given name is one of them.
func homedUpstreams(homes map[view.ShardKey]view.DomainHomes, shards map[view.ShardKey]view.Shard, name string) map[string]bool {
	homed := make(map[string]bool, len(homes))
	for key, domains := range homes {
		upstream := shards[key].Upstream.Name
		homed[upstream] = homed[upstream] || isHome(domains, name)
	}
	return homed
}

func isHome(domains view.DomainHomes, name string) bool {
	for _, members := range domains {
		if members[0] == name {
			return true
		}
	}
	return false
}

func aliveByDomain(members map[string]api.Member) map[string][]api.Member {
	byDomain := make(map[string][]api.Member)
	for _, name := range slices.Sorted(maps.Keys(members)) {
		if member := members[name]; member.State == api.MemberAlive {
			domain := member.Instance.FailureDomain
			byDomain[domain] = append(byDomain[domain], member)
		}
	}
	return byDomain
}

// shardsByDomain gives each shard to the failure domains of its replicas.
func shardsByDomain(shards map[view.ShardKey]view.Shard, byDomain map[string][]api.Member) map[string][]view.ShardKey {
	given := make(map[string][]view.ShardKey)
	for _, key := range slices.SortedFunc(maps.Keys(shards), compareShardKeys) {
		for _, domain := range domainsOf(shards[key], byDomain) {
			given[domain] = append(given[domain], key)
		}
	}
	return given
}

func compareShardKeys(a, b view.ShardKey) int {
	return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Shard, b.Shard))
}

// domainsOf returns the failure domains of a shard's replicas that have
// members, or all that have where none of them does.
func domainsOf(shard view.Shard, byDomain map[string][]api.Member) []string {
	var domains []string
	for _, replica := range shard.Replicas {
		if domain := replica.Instance.FailureDomain; len(byDomain[domain]) > 0 {
			domains = append(domains, domain)
		}
	}
	if len(domains) == 0 {
		domains = slices.Collect(maps.Keys(byDomain))
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

func capacityOf(members []api.Member) int {
	sum := 0
	for _, member := range members {
		sum += weightOf(member)
	}
	return sum
}

func weightOf(member api.Member) int {
	if member.Capacity <= 0 {
		return defaultCapacity
	}
	return member.Capacity
}

// assignShards gives the shards of one failure domain to as many of its
// members as the width asks for, none more than its share.
func assignShards(homes map[view.ShardKey]view.DomainHomes, domain string, members []api.Member, keys []view.ShardKey, width int) {
	count := min((len(keys)+width-1)/width, len(members))
	chosen := rankMembers("home", members)[:count]
	total := capacityOf(chosen)
	taken := make(map[string]int, count)
	for _, key := range keys {
		ranked := rankMembers(key.Index+"/"+key.Shard, chosen)
		home := slices.IndexFunc(ranked, func(member api.Member) bool {
			share := math.Ceil(float64(len(keys)) * float64(weightOf(member)) / float64(total))
			return taken[member.Instance.Name] < int(share)
		})
		name := ranked[home].Instance.Name
		taken[name]++
		if homes[key] == nil {
			homes[key] = make(view.DomainHomes)
		}
		homes[key][domain] = append([]string{name}, standBys(name, key, members)...)
	}
}

// standBys returns the members that are asked while home is in doubt.
func standBys(home string, key view.ShardKey, members []api.Member) []string {
	var names []string
	for _, member := range rankMembers("stand-by/"+key.Index+"/"+key.Shard, members) {
		if member.Instance.Name != home && len(names) < homesOfShard-1 {
			names = append(names, member.Instance.Name)
		}
	}
	return names
}

// rankMembers returns members by weighted rendezvous hashing for what.
func rankMembers(what string, members []api.Member) []api.Member {
	scores := make(map[string]float64, len(members))
	for _, member := range members {
		name := member.Instance.Name
		hash := xxhash.Sum64String(what + "/" + name)
		point := (float64(hash>>11) + 0.5) / (1 << 53)
		scores[name] = float64(weightOf(member)) / -math.Log(point)
	}
	ranked := slices.Clone(members)
	slices.SortStableFunc(ranked, func(a, b api.Member) int {
		return cmp.Compare(scores[b.Instance.Name], scores[a.Instance.Name])
	})
	return ranked
}

// mergedShards returns the shards that merged scopes select.
func mergedShards(scopes map[string]view.Scope) map[view.ShardKey]view.Shard {
	shards := make(map[view.ShardKey]view.Shard)
	for _, scope := range scopes {
		if scope.Scope.Form != api.FormMerged {
			continue
		}
		for _, selection := range scope.Selections {
			for _, shard := range selection.Shards {
				shards[view.ShardKey{Index: scope.Scope.Index, Shard: shard.Name}] = shard
			}
		}
	}
	return shards
}
