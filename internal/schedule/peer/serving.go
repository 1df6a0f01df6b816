// Package peer decides how the instances share the work among themselves, from
// what each of them states about itself. The decisions are pure functions, so that
// instances that know the same members decide the same.
package peer

import (
	"cmp"
	"slices"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// defaultCapacityMillicores is the capacity of a member that does not report one.
const defaultCapacityMillicores = 1_000

// CapacityOf returns the member's capacity in thousandths of a core.
func CapacityOf(member api.Member) int {
	if member.CapacityMillicores <= 0 {
		return defaultCapacityMillicores
	}
	return member.CapacityMillicores
}

// Policy chooses the serving members: those whose addresses callers are given and
// that may be homes.
type Policy interface {
	// Choose returns the chosen ones of the present members, which are sorted by
	// capacity, the largest first, and then by name. It returns at least two if there
	// are as many.
	Choose(present []api.Member) []api.Member
}

// Serving returns the names of the members that policy P chooses, or nil if it
// chooses all. Suspect members count as present, so that a false suspicion does not
// make others serve: users of the result leave out those that are not alive. If all
// chosen ones are suspect, it chooses among the alive ones.
func Serving[P Policy](members map[string]api.Member) map[string]bool {
	present := make([]api.Member, 0, len(members))
	for _, member := range members {
		if member.State == api.MemberAlive || member.State == api.MemberSuspect {
			present = append(present, member)
		}
	}
	slices.SortFunc(present, func(a, b api.Member) int {
		return cmp.Or(cmp.Compare(CapacityOf(b), CapacityOf(a)), cmp.Compare(a.Instance.Name, b.Instance.Name))
	})
	var policy P
	chosen := policy.Choose(present)
	if !slices.ContainsFunc(chosen, isAlive) {
		present = slices.DeleteFunc(present, func(member api.Member) bool { return !isAlive(member) })
		chosen = policy.Choose(present)
	}
	if len(chosen) == len(present) {
		return nil
	}
	names := make(map[string]bool, len(chosen))
	for _, member := range chosen {
		names[member.Instance.Name] = true
	}
	return names
}

func isAlive(member api.Member) bool { return member.State == api.MemberAlive }

// AllMembers chooses all present members. It is the baseline.
type AllMembers struct{}

// Choose implements Policy.
func (AllMembers) Choose(present []api.Member) []api.Member { return present }

const (
	// minServing is the least number of serving members. With fewer, callers would
	// have no other address when one fails.
	minServing = 2
	// ClassRatio is by how much the capacities of one size class may differ. Callers
	// spread evenly over the addresses that they are given, so that the smallest of
	// them bounds what all can take.
	ClassRatio = 2
)

// LargestClass chooses the members of the largest size class that are not overloaded.
// If these are fewer than minServing or less than half of the class, it chooses the
// whole class and the next one. Among members of a single class it chooses all.
type LargestClass struct{}

// Choose implements Policy.
func (LargestClass) Choose(present []api.Member) []api.Member {
	end := classEnd(present, 0)
	if end == len(present) {
		return present
	}
	calm := slices.DeleteFunc(slices.Clone(present[:end]), func(member api.Member) bool { return member.IsOverloaded })
	if len(calm) >= minServing && 2*len(calm) >= end {
		return calm
	}
	end = classEnd(present, end)
	for end < min(minServing, len(present)) {
		end = classEnd(present, end)
	}
	return present[:end]
}

// classEnd returns the end of the size class that begins at start: the index of the
// first member whose capacity is less than that of start, divided by ClassRatio.
func classEnd(present []api.Member, start int) int {
	end := start
	for end < len(present) && CapacityOf(present[end])*ClassRatio >= CapacityOf(present[start]) {
		end++
	}
	return end
}
