package control

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosaspring/mimosaspring/internal/schedule/peer"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// HomesDisabled is the value of State.ShardsPerHome with which no homes are
// assigned.
const HomesDisabled = -1

// AssignHomes assigns homes to the shards of merged scopes. A home is a member that
// holds the connections to the replicas of its shards; other members send it their
// queries of these shards. Each shard gets one home in each failure domain of its
// replicas, so that a query need not leave its domain.
//
// A home gets about shardsPerHome shards, by rendezvous hashing weighted by
// capacity. If shardsPerHome is 0, the square root of the number of shards is
// used. A query of all shards then takes about as many messages to homes as each
// home sends to replicas, so that neither step takes longer than the other. If it
// is negative, AssignHomes returns nil.
//
// The homes of a failure domain are its serving members or, if none of them serves,
// those of its largest size class. If serving is nil, all members serve.
//
// Instances that know the same members and configuration compute the same homes.
// While their knowledge differs, they may use different homes for a shard.
func AssignHomes(members map[string]api.Member, serving map[string]bool, shards map[view.ShardKey]view.Shard, shardsPerHome int) map[view.ShardKey]view.DomainHomes {
	if shardsPerHome < 0 {
		return nil
	}
	if shardsPerHome == 0 {
		shardsPerHome = int(math.Ceil(math.Sqrt(float64(len(shards)))))
	}
	byDomain := candidatesByDomain(members)
	homes := make(map[view.ShardKey]view.DomainHomes, len(shards))
	for domain, keys := range shardsByDomain(shards, byDomain) {
		assignShards(homes, domain, byDomain[domain], serving, keys, shardsPerHome)
	}
	return homes
}

// PreferredDomains returns the failure domains that have homes in the order in which
// the member named self sends queries to them: its own first. The others start with
// a different one for each member of a domain, so that each member needs connections
// to the homes of one of them only. The others get equal shares of the queries of a
// domain without homes; between domains that all have homes the shares may differ.
func PreferredDomains(members map[string]api.Member, homes map[view.ShardKey]view.DomainHomes, self string) []string {
	isHomed := make(map[string]bool)
	for _, domains := range homes {
		for domain := range domains {
			isHomed[domain] = true
		}
	}
	own := members[self].Instance.FailureDomain
	position := 0
	for name, member := range members {
		if member.State == api.MemberAlive && member.Instance.FailureDomain == own && name < self {
			position++
		}
	}
	var preferred []string
	if isHomed[own] {
		preferred = append(preferred, own)
		delete(isHomed, own)
	}
	others := slices.Sorted(maps.Keys(isHomed))
	for index := range others {
		preferred = append(preferred, others[(position+index)%len(others)])
	}
	return preferred
}

// hashHomesInput returns a hash of everything that determines the homes: the alive
// members with their failure domains and capacities, the serving ones among them, and
// each shard's upstream and the failure domains of its replicas. Most configuration
// changes do not affect it, so that the homes need not be assigned again.
func hashHomesInput(members map[string]api.Member, serving map[string]bool, shards map[view.ShardKey]view.Shard) uint64 {
	var sum uint64
	for name, member := range members {
		if member.State == api.MemberAlive {
			sum += mixHash(xxhash.Sum64String(name) ^ mixHash(xxhash.Sum64String(member.Instance.FailureDomain)+uint64(member.CapacityMillicores)))
		}
	}
	for name := range serving {
		sum += mixHash(xxhash.Sum64String("serving/" + name))
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

// mixHash spreads the bits of a hash with the finalizer of SplitMix64. The sums of
// mixed hashes differ even where the sums of the hashes are equal.
func mixHash(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

func keyHash(key view.ShardKey) uint64 {
	return mixHash(xxhash.Sum64String(key.Index)) ^ xxhash.Sum64String(key.Shard)
}

// homedUpstreams returns the names of the upstreams whose shards have homes. The
// value tells whether the named member is the home of one of these shards.
func homedUpstreams(homes map[view.ShardKey]view.DomainHomes, shards map[view.ShardKey]view.Shard, name string) map[string]bool {
	homed := make(map[string]bool, len(homes))
	for key, domains := range homes {
		upstream := shards[key].Upstream.Name
		homed[upstream] = homed[upstream] || isPrimaryHome(domains, name)
	}
	return homed
}

// isPrimaryHome reports whether the named member is a shard's home in any failure
// domain. A standby does not count.
func isPrimaryHome(domains view.DomainHomes, name string) bool {
	for _, members := range domains {
		if members[0] == name {
			return true
		}
	}
	return false
}

// candidate is a member that can be a home.
type candidate struct {
	name string
	// weight is the capacity of the member in thousandths of a core.
	weight float64
	// hash is the hash of name.
	hash uint64
}

// candidatesByDomain returns the alive members of each failure domain, sorted by
// name.
func candidatesByDomain(members map[string]api.Member) map[string][]candidate {
	byDomain := make(map[string][]candidate)
	for _, name := range slices.Sorted(maps.Keys(members)) {
		if member := members[name]; member.State == api.MemberAlive {
			domain := member.Instance.FailureDomain
			added := candidate{name: name, weight: float64(peer.CapacityOf(member)), hash: xxhash.Sum64String(name)}
			byDomain[domain] = append(byDomain[domain], added)
		}
	}
	return byDomain
}

// shardsByDomain returns the sorted shards that need a home in each failure domain.
func shardsByDomain(shards map[view.ShardKey]view.Shard, byDomain map[string][]candidate) map[string][]view.ShardKey {
	sorted := make(map[string][]view.ShardKey)
	for _, key := range slices.SortedFunc(maps.Keys(shards), compareShardKeys) {
		for _, domain := range homeDomains(shards[key], byDomain) {
			sorted[domain] = append(sorted[domain], key)
		}
	}
	return sorted
}

func compareShardKeys(a, b view.ShardKey) int {
	return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Shard, b.Shard))
}

// homeDomains returns the failure domains in which a shard needs a home: those of
// its replicas that have alive members or, if there is none, all that have.
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

// totalWeight returns the sum of the candidates' weights.
func totalWeight(candidates []candidate) float64 {
	sum := 0.0
	for _, candidate := range candidates {
		sum += candidate.weight
	}
	return sum
}

// servingCandidates returns the serving ones of the candidates of one failure domain
// or, if none of them serves, those of the largest size class. It returns all if
// serving is nil.
func servingCandidates(candidates []candidate, serving map[string]bool) []candidate {
	if serving == nil {
		return candidates
	}
	var chosen, largest []candidate
	maxWeight := slices.MaxFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.weight, b.weight) }).weight
	for _, candidate := range candidates {
		if serving[candidate.name] {
			chosen = append(chosen, candidate)
		}
		if candidate.weight*peer.ClassRatio >= maxWeight {
			largest = append(largest, candidate)
		}
	}
	if len(chosen) == 0 {
		return largest
	}
	return chosen
}

// Hash seeds for the two choices among the same members, so that the results are
// independent of each other.
const (
	homeSeed    = 1
	standbySeed = 2
)

// assignShards assigns the shards of one failure domain to members of it and adds
// the result to homes. It uses as many members as are needed for about
// shardsPerHome shards each. No home gets more than the share of its capacity,
// rounded up.
func assignShards(homes map[view.ShardKey]view.DomainHomes, domain string, members []candidate, serving map[string]bool, keys []view.ShardKey, shardsPerHome int) {
	candidates := servingCandidates(members, serving)
	count := min((len(keys)+shardsPerHome-1)/shardsPerHome, len(candidates))
	chosen := rankCandidates(mixHash(homeSeed), candidates)[:count]
	total := totalWeight(chosen)
	shardCounts := make(map[string]int, count)
	// The standby of a home serves too, unless the home is the only one.
	standbyCandidates := candidates
	if len(candidates) == 1 {
		standbyCandidates = members
	}
	standbys := chooseStandbys(chosen, standbyCandidates)
	for _, key := range keys {
		hash := keyHash(key)
		home := bestCandidate(hash, chosen, func(candidate candidate) bool {
			share := math.Ceil(float64(len(keys)) * candidate.weight / total)
			return shardCounts[candidate.name] < int(share)
		})
		shardCounts[home]++
		if homes[key] == nil {
			homes[key] = make(view.DomainHomes)
		}
		homes[key][domain] = []string{home}
		if standby := standbys[home]; standby != "" {
			homes[key][domain] = append(homes[key][domain], standby)
		}
	}
}

// chooseStandbys returns the standby of each home by name: the member that is asked
// instead while it is uncertain whether the home can answer. All shards of a home
// have the same standby, so that a sender that skips the home needs only one
// message and one connection instead. A home that is the only member has none.
func chooseStandbys(homes, members []candidate) map[string]string {
	standbys := make(map[string]string, len(homes))
	for _, home := range homes {
		standbys[home.name] = bestCandidate(mixHash(home.hash+standbySeed), members, func(candidate candidate) bool { return candidate.name != home.name })
	}
	return standbys
}

// bestCandidate returns the name of the eligible candidate with the highest score
// for hash, or "" if none is eligible.
func bestCandidate(hash uint64, candidates []candidate, isEligible func(candidate) bool) string {
	best, bestScore := "", 0.0
	for _, candidate := range candidates {
		if !isEligible(candidate) {
			continue
		}
		if score := candidate.score(hash); score > bestScore {
			best, bestScore = candidate.name, score
		}
	}
	return best
}

// score returns the candidate's weighted rendezvous score for the shard or seed
// with the given hash. A candidate's chance of the highest score is proportional
// to its weight.
func (candidate candidate) score(hash uint64) float64 {
	point := (float64(mixHash(hash^candidate.hash)>>11) + 0.5) / (1 << 53)
	return candidate.weight / -math.Log(point)
}

// rankCandidates returns the candidates sorted by score, the highest first.
func rankCandidates(hash uint64, candidates []candidate) []candidate {
	ranked := slices.Clone(candidates)
	slices.SortStableFunc(ranked, func(a, b candidate) int {
		return cmp.Compare(b.score(hash), a.score(hash))
	})
	return ranked
}

// mergedShards returns the shards that the selectors of merged scopes cover.
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
