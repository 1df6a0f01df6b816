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
	// maxAddresses is how many instances one answer names.
	maxAddresses = 32
	// fullWeight is the weight of an instance without load.
	fullWeight = 100
	// jitter is the part of the keep time that varies, as one in so many.
	jitter = 4
)

// leastNear is from how many instances of a caller's own failure domain the
// others are left out: with fewer, the loss of one would turn callers away.
const leastNear = 2

// LocateInDomain returns the instances that a caller of a failure domain should
// use: those of its own domain where there are enough, and otherwise all.
func LocateInDomain(current *view.View, failureDomain string, keepTime time.Duration) api.Addresses {
	addresses := Locate(current, keepTime)
	near := make([]api.Address, 0, len(addresses.Instances))
	for _, address := range addresses.Instances {
		if address.FailureDomain == failureDomain {
			near = append(near, address)
		}
	}
	if len(near) >= leastNear {
		addresses.Instances = near
	}
	return addresses
}

// Locate returns the instances that a caller should use: alive ones, from
// each failure domain in turn, weighted by their load. The keep time varies,
// so that callers do not ask all at once.
func Locate(current *view.View, keepTime time.Duration) api.Addresses {
	domains := make(map[string][]api.Member)
	total, count := 0, 0
	for _, member := range current.Members {
		if member.State != api.MemberAlive {
			continue
		}
		domain := member.Instance.FailureDomain
		domains[domain] = append(domains[domain], member)
		total += member.Load
		count++
	}
	mean := 1 + total/max(count, 1)
	addresses := api.Addresses{Instances: []api.Address{}}
	for _, member := range spread(domains) {
		addresses.Instances = append(addresses.Instances, api.Address{
			Name:          member.Instance.Name,
			Address:       member.Instance.Address,
			FailureDomain: member.Instance.FailureDomain,
			Weight:        max(fullWeight*mean/(mean+member.Load), 1),
		})
	}
	varied := keepTime - keepTime/jitter + rand.N(keepTime/jitter+1)
	addresses.KeepMillis = varied.Milliseconds()
	return addresses
}

// spread takes members from each failure domain in turn, up to maxAddresses.
func spread(domains map[string][]api.Member) []api.Member {
	var order [][]api.Member
	for _, members := range domains {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		order = append(order, members)
	}
	slices.SortFunc(order, func(a, b []api.Member) int {
		return cmp.Compare(a[0].Instance.FailureDomain, b[0].Instance.FailureDomain)
	})
	var taken []api.Member
	for turn := 0; len(taken) < maxAddresses; turn++ {
		isTaken := false
		for _, members := range order {
			if turn < len(members) && len(taken) < maxAddresses {
				taken = append(taken, members[turn])
				isTaken = true
			}
		}
		if !isTaken {
			break
		}
	}
	return taken
}
