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

// HomesDisabled is the width with which no shard has a home.
const HomesDisabled = -1

// defaultCapacity stands for a member that does not tell its own.
const defaultCapacity = 1_000

// AssignHomes assigns each shard of a merged scope to the members that hold the
// connections to its replicas: in each failure domain of the replicas an alive
// one, so that a query need not leave its domain. A home has about width shards,
// by rendezvous hashing weighted by capacity. With a width of 0 a query of all
// shards takes about as many messages as a home then sends, so that neither end
// is the longer. Members that know the same fleet and configuration agree; two
// that do not ask different members for a while.
func AssignHomes(members map[string]api.Member, shards map[view.ShardKey]view.Shard, width int) map[view.ShardKey]view.DomainHomes {
	if width < 0 {
		return nil
	}
	if width == 0 {
		width = int(math.Ceil(math.Sqrt(float64(len(shards)))))
	}
	byDomain := candidatesByDomain(members)
	homes := make(map[view.ShardKey]view.DomainHomes, len(shards))
	for domain, keys := range shardsByDomain(shards, byDomain) {
		assignShards(homes, domain, byDomain[domain], keys, width)
	}
	return homes
}

// hashHomesInput sums up what Homes follows from: the members that are alive, with
// their failure domains and capacities, and the failure domains of each shard's
// replicas. Most changes of a configuration leave it as it is.
func hashHomesInput(members map[string]api.Member, shards map[view.ShardKey]view.Shard) uint64 {
	var sum uint64
	for name, member := range members {
		if member.State == api.MemberAlive {
			sum += mixHash(xxhash.Sum64String(name) ^ mixHash(xxhash.Sum64String(member.Instance.FailureDomain)+uint64(member.Capacity)))
		}
	}
	for key, shard := range shards {
		var domains uint64
		for _, replica := range shard.Replicas {
			domains |= 1 << (xxhash.Sum64String(replica.Instance.FailureDomain) % 64)
		}
		upstream := xxhash.Sum64String(shard.Upstream.Name)
		sum += mixHash(keyHash(key) ^ mixHash(domains) ^ mixHash(upstream+1))
	}
	return sum
}

// mixHash spreads the bits of a hash, so that sums of mixed hashes differ.
func mixHash(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

func keyHash(key view.ShardKey) uint64 {
	return mixHash(xxhash.Sum64String(key.Index)) ^ xxhash.Sum64String(key.Shard)
}

// homedUpstreams returns the upstreams whose shards have homes, and whether
// the member of the given name is one of them.
func homedUpstreams(homes map[view.ShardKey]view.DomainHomes, shards map[view.ShardKey]view.Shard, name string) map[string]bool {
	homed := make(map[string]bool, len(homes))
	for key, domains := range homes {
		upstream := shards[key].Upstream.Name
		homed[upstream] = homed[upstream] || isPrimaryHome(domains, name)
	}
	return homed
}

func isPrimaryHome(domains view.DomainHomes, name string) bool {
	for _, members := range domains {
		if members[0] == name {
			return true
		}
	}
	return false
}

// candidate is a member that may be a home.
type candidate struct {
	name   string
	weight float64
	hash   uint64
}

// candidatesByDomain returns the alive members of each failure domain, in the
// order of their names.
func candidatesByDomain(members map[string]api.Member) map[string][]candidate {
	byDomain := make(map[string][]candidate)
	for _, name := range slices.Sorted(maps.Keys(members)) {
		if member := members[name]; member.State == api.MemberAlive {
			domain := member.Instance.FailureDomain
			known := candidate{name: name, weight: float64(capacityOf(member)), hash: xxhash.Sum64String(name)}
			byDomain[domain] = append(byDomain[domain], known)
		}
	}
	return byDomain
}

// shardsByDomain gives each shard to the failure domains of its replicas.
func shardsByDomain(shards map[view.ShardKey]view.Shard, byDomain map[string][]candidate) map[string][]view.ShardKey {
	given := make(map[string][]view.ShardKey)
	for _, key := range slices.SortedFunc(maps.Keys(shards), compareShardKeys) {
		for _, domain := range homeDomains(shards[key], byDomain) {
			given[domain] = append(given[domain], key)
		}
	}
	return given
}

func compareShardKeys(a, b view.ShardKey) int {
	return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Shard, b.Shard))
}

// homeDomains returns the failure domains of a shard's replicas that have
// members, or all that have where none of them does.
func homeDomains(shard view.Shard, byDomain map[string][]candidate) []string {
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

func totalWeight(candidates []candidate) float64 {
	sum := 0.0
	for _, candidate := range candidates {
		sum += candidate.weight
	}
	return sum
}

func capacityOf(member api.Member) int {
	if member.Capacity <= 0 {
		return defaultCapacity
	}
	return member.Capacity
}

// Roles for which members are ranked apart, so that the ranks differ.
const (
	homeSeed    = 1
	standbySeed = 2
)

// assignShards gives the shards of one failure domain to as many of its
// members as the width asks for, none more than its share.
func assignShards(homes map[view.ShardKey]view.DomainHomes, domain string, members []candidate, keys []view.ShardKey, width int) {
	count := min((len(keys)+width-1)/width, len(members))
	chosen := rankCandidates(mixHash(homeSeed), members)[:count]
	total := totalWeight(chosen)
	taken := make(map[string]int, count)
	standBys := chooseStandbys(chosen, members)
	for _, key := range keys {
		hash := keyHash(key)
		home := bestCandidate(hash, chosen, func(candidate candidate) bool {
			share := math.Ceil(float64(len(keys)) * candidate.weight / total)
			return taken[candidate.name] < int(share)
		})
		taken[home]++
		if homes[key] == nil {
			homes[key] = make(view.DomainHomes)
		}
		homes[key][domain] = []string{home}
		if standBy := standBys[home]; standBy != "" {
			homes[key][domain] = append(homes[key][domain], standBy)
		}
	}
}

// chooseStandbys returns the member that is asked while each home is in doubt. It is
// the same for all shards of a home, so that those who pass the home over send
// one message in its place and open one connection.
func chooseStandbys(homes, members []candidate) map[string]string {
	standBys := make(map[string]string, len(homes))
	for _, home := range homes {
		standBys[home.name] = bestCandidate(mixHash(home.hash+standbySeed), members, func(candidate candidate) bool { return candidate.name != home.name })
	}
	return standBys
}

// bestCandidate returns the name of the candidate with the highest score among
// those that may be taken; "" where there is none.
func bestCandidate(hash uint64, candidates []candidate, mayTake func(candidate) bool) string {
	best, most := "", 0.0
	for _, candidate := range candidates {
		if !mayTake(candidate) {
			continue
		}
		if score := candidate.score(hash); score > most {
			best, most = candidate.name, score
		}
	}
	return best
}

// score is the candidate's weighted rendezvous hash for what hash stands for.
func (candidate candidate) score(hash uint64) float64 {
	point := (float64(mixHash(hash^candidate.hash)>>11) + 0.5) / (1 << 53)
	return candidate.weight / -math.Log(point)
}

// rankCandidates returns candidates by their score.
func rankCandidates(hash uint64, candidates []candidate) []candidate {
	ranked := slices.Clone(candidates)
	slices.SortStableFunc(ranked, func(a, b candidate) int {
		return cmp.Compare(b.score(hash), a.score(hash))
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
