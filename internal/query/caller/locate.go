package caller

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// maxAddresses is the maximum number of instances in one list.
	maxAddresses = 32
	// fullWeight is the weight of an instance without load; more load gives a
	// lower weight.
	fullWeight = 100
	// jitterDivisor gives the random part of the keep time: one fourth.
	jitterDivisor = 4
)

// minLocalInstances is the minimum number of instances in a caller's own failure
// domain for which instances in other domains are left out. With fewer, callers
// would have no instance left when one fails.
const minLocalInstances = 2

// LocateInDomain returns the instances that a caller in the given failure domain
// should use: those in that domain if there are at least minLocalInstances, and
// otherwise the same as Locate.
func LocateInDomain(current *view.View, failureDomain string, keepTime time.Duration) api.Addresses {
	addresses := Locate(current, keepTime)
	localAddresses := make([]api.Address, 0, len(addresses.Instances))
	for _, address := range addresses.Instances {
		if address.FailureDomain == failureDomain {
			localAddresses = append(localAddresses, address)
		}
	}
	if len(localAddresses) >= minLocalInstances {
		addresses.Instances = localAddresses
	}
	return addresses
}

// Locate returns the instances that a caller should use: the serving ones, taken
// alternately from the failure domains and weighted by their load. The keep time
// in the list is keepTime less a random part, so that callers do not all refresh
// their lists at once.
func Locate(current *view.View, keepTime time.Duration) api.Addresses {
	domains := make(map[string][]api.Member)
	totalLoad, memberCount := 0, 0
	for name, member := range current.Members {
		if member.State != api.MemberAlive || !current.IsServing(name) {
			continue
		}
		domain := member.Instance.FailureDomain
		domains[domain] = append(domains[domain], member)
		totalLoad += member.Load
		memberCount++
	}
	meanLoad := 1 + totalLoad/max(memberCount, 1)
	addresses := api.Addresses{Instances: []api.Address{}}
	for _, member := range interleave(domains) {
		addresses.Instances = append(addresses.Instances, api.Address{
			Name:          member.Instance.Name,
			Address:       member.Instance.Address,
			FailureDomain: member.Instance.FailureDomain,
			Weight:        max(fullWeight*meanLoad/(meanLoad+member.Load), 1),
		})
	}
	jittered := keepTime - keepTime/jitterDivisor + rand.N(keepTime/jitterDivisor+1)
	addresses.KeepMillis = jittered.Milliseconds()
	return addresses
}

// interleave takes members alternately from the failure domains, up to
// maxAddresses, in random order within a domain. It shuffles the slices in domains.
func interleave(domains map[string][]api.Member) []api.Member {
	var order [][]api.Member
	for _, members := range domains {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		order = append(order, members)
	}
	slices.SortFunc(order, func(a, b []api.Member) int {
		return cmp.Compare(a[0].Instance.FailureDomain, b[0].Instance.FailureDomain)
	})
	var selected []api.Member
	for position := 0; len(selected) < maxAddresses; position++ {
		isSelected := false
		for _, members := range order {
			if position < len(members) && len(selected) < maxAddresses {
				selected = append(selected, members[position])
				isSelected = true
			}
		}
		if !isSelected {
			break
		}
	}
	return selected
}
