package peer

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// HeapGrowthPolicy decides by how many percent the heap of a member grows between two
// garbage collections.
type HeapGrowthPolicy interface {
	// Percent returns the growth of self, given the names of the serving members, or
	// nil if all are, and what was collected at the growth in force.
	Percent(self api.Member, serving map[string]bool, collected Collected) int
}

// Collected describes the garbage collections of one HeapGrowthInterval.
type Collected struct {
	// Growth is the growth that was in force, in percent.
	Growth int
	// Count is the number of collections.
	Count int
}

// HeapGrowthInterval is how often the growth is decided.
const HeapGrowthInterval = 500 * time.Millisecond

// maxCollections is the number of collections in a HeapGrowthInterval above which an idle
// member gets a larger growth.
const maxCollections = 4

// SameGrowth gives all members the same growth. It is the baseline.
type SameGrowth struct{ Growth int }

// Percent implements HeapGrowthPolicy.
func (samegrowth SameGrowth) Percent(api.Member, map[string]bool, Collected) int {
	return samegrowth.Growth
}

// IdleGrowth gives members that serve no callers a growth of their own: they have
// processor time to spare, and a smaller growth takes less memory. An overloaded member
// has none to spare, even if it is not given callers meanwhile. Nor has one that collects
// very often, as during a burst of changes of the configuration: its growth doubles until
// it no longer collects.
type IdleGrowth struct {
	// Growth is that of serving and overloaded members, Idle that of the others.
	Growth, Idle int
}

// Percent implements HeapGrowthPolicy.
func (idlegrowth IdleGrowth) Percent(self api.Member, serving map[string]bool, collected Collected) int {
	if serving == nil || serving[self.Instance.Name] || self.IsOverloaded {
		return idlegrowth.Growth
	}
	// A Growth below Idle, or of -1 for no collections, is none for a burst.
	burst := max(min(2*idlegrowth.Idle, idlegrowth.Growth), idlegrowth.Idle)
	if collected.Count > maxCollections || collected.Count > 0 && collected.Growth >= burst {
		return burst
	}
	return idlegrowth.Idle
}
