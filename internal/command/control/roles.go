package control

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// Sizes of the roles.
const (
	// fullMeshMembers is up to how many members every pair is neighbours.
	fullMeshMembers = 9
	// neighbourRings is how many rings a larger fleet forms; a member's
	// neighbours are those next to it on each ring.
	neighbourRings = 4
)

// Neighbours returns the names of the members that self probes and tells
// news. Two members that know the same fleet agree on who is a neighbour.
func Neighbours(members map[string]api.Member, self string) []string {
	var names []string
	for name, member := range members {
		isHeard := member.State == api.MemberAlive || member.State == api.MemberSuspect || member.State == api.MemberLeaving
		if isHeard || name == self {
			names = append(names, name)
		}
	}
	if len(names) <= fullMeshMembers {
		slices.Sort(names)
		return slices.DeleteFunc(names, func(name string) bool { return name == self })
	}
	return ringNeighbours(names, self)
}

// ring holds, for one ring, the members next to self and those at its ends.
type ring struct {
	ownPosition                 uint64
	next, previous, first, last ringEntry
}

// ringEntry is a member at its position on a ring.
type ringEntry struct {
	name     string
	position uint64
}

func ringNeighbours(names []string, self string) []string {
	var rings [neighbourRings]ring
	for number := range rings {
		rings[number].ownPosition = ringPosition(number, self)
	}
	for _, name := range names {
		if name == self {
			continue
		}
		for number := range rings {
			rings[number].insert(ringEntry{name: name, position: ringPosition(number, name)})
		}
	}
	neighbours := make(map[string]bool)
	for _, ring := range rings {
		neighbours[orDefault(ring.next, ring.first).name] = true
		neighbours[orDefault(ring.previous, ring.last).name] = true
	}
	return slices.Sorted(maps.Keys(neighbours))
}

func (ring *ring) insert(member ringEntry) {
	if member.position > ring.ownPosition && (ring.next.name == "" || member.position < ring.next.position) {
		ring.next = member
	}
	if member.position < ring.ownPosition && (ring.previous.name == "" || member.position > ring.previous.position) {
		ring.previous = member
	}
	if ring.first.name == "" || member.position < ring.first.position {
		ring.first = member
	}
	if ring.last.name == "" || member.position > ring.last.position {
		ring.last = member
	}
}

func orDefault(member, otherwise ringEntry) ringEntry {
	if member.name == "" {
		return otherwise
	}
	return member
}

func ringPosition(ring int, name string) uint64 {
	var text [64]byte
	return xxhash.Sum64(append(append(text[:0], byte('a'+ring), '/'), name...))
}

// IsReader reports whether self is among so many readers of its failure
// domain, by rendezvous hashing over the members that are heard.
func IsReader(members map[string]api.Member, self api.Member, readers int) bool {
	own := readerRank(self.Instance.Name)
	ahead := 0
	for name, member := range members {
		isCandidate := member.State == api.MemberAlive &&
			member.Instance.FailureDomain == self.Instance.FailureDomain &&
			name != self.Instance.Name
		if isCandidate && readerRank(name) > own {
			ahead++
		}
	}
	return ahead < readers
}

func readerRank(name string) uint64 { return xxhash.Sum64String("reader/" + name) }
