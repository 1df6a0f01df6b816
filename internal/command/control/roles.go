package control

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

const (
	// fullMeshMembers is the largest number of members with which all are
	// neighbours of one another.
	fullMeshMembers = 9
	// neighbourRings is the number of hash rings in a larger fleet. On each ring,
	// a member's neighbours are the next and the previous one.
	neighbourRings = 4
)

// Neighbours returns the sorted names of the members that self probes and sends
// gossip to. Two instances that know the same members agree on whether they are
// neighbours of each other.
func Neighbours(members map[string]api.Member, self string) []string {
	var names []string
	for name, member := range members {
		isReachable := member.State == api.MemberAlive || member.State == api.MemberSuspect || member.State == api.MemberLeaving
		if isReachable || name == self {
			names = append(names, name)
		}
	}
	if len(names) <= fullMeshMembers {
		slices.Sort(names)
		return slices.DeleteFunc(names, func(name string) bool { return name == self })
	}
	return ringNeighbours(names, self)
}

// ring finds self's neighbours on one hash ring: the members next to self's
// position and, for the wrap-around, the first and the last member.
type ring struct {
	ownPosition                 uint64
	next, previous, first, last ringEntry
}

// ringEntry is a member with its position on a ring. An empty name stands for no
// member.
type ringEntry struct {
	name     string
	position uint64
}

// ringNeighbours returns the sorted names of self's neighbours on all rings.
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

// insert adds a member to the ring, in any order.
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

// orDefault returns member, or fallback if member is empty.
func orDefault(member, fallback ringEntry) ringEntry {
	if member.name == "" {
		return fallback
	}
	return member
}

// ringPosition returns the position of a member on the ring of the given number.
// It differs from ring to ring, so that a member has other neighbours on each.
func ringPosition(number int, name string) uint64 {
	var text [64]byte
	return xxhash.Sum64(append(append(text[:0], byte('a'+number), '/'), name...))
}

// IsReader reports whether self is one of the readerCount instances of its failure
// domain that read the platform for the others. They are chosen by rendezvous
// hashing over self and the domain's alive members.
func IsReader(members map[string]api.Member, self api.Member, readerCount int) bool {
	ownRank := readerRank(self.Instance.Name)
	higherRanked := 0
	for name, member := range members {
		isCandidate := member.State == api.MemberAlive &&
			member.Instance.FailureDomain == self.Instance.FailureDomain &&
			name != self.Instance.Name
		if isCandidate && readerRank(name) > ownRank {
			higherRanked++
		}
	}
	return higherRanked < readerCount
}

func readerRank(name string) uint64 { return xxhash.Sum64String("reader/" + name) }
