package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

const (
	// fullMeshMembers is the largest number of members with which all are
	// neighbours of one another.
	fullMeshMembers = 9
	// domainRings is the number of hash rings of a failure domain. On each ring, a
	// member's neighbours are the next and the previous one.
	domainRings = 3
	// linksPerDomain is the number of members of each failure domain that exchange
	// gossip with other domains.
	linksPerDomain = 3
	// linkRings is the number of hash rings of all links.
	linkRings = 2
	// fleetRing is the number of the ring of all members, after those of the domains and
	// of the links.
	fleetRing = domainRings + linkRings
)

// Neighbourhood holds the sorted names of the members that a member probes, and of
// those that it sends gossip to, which it probes too.
type Neighbourhood struct {
	Probed []string
	Gossip []string
}

// Neighbours returns the neighbourhood of self. Two instances that know the same
// members agree on whether they are neighbours of each other.
//
// In a small fleet all members are neighbours. In a larger one, gossip spreads on
// the rings of each failure domain, and between domains only among a few links, so
// that a change crosses a border a few times rather than once for each member. The
// ring of all members, which is only probed, detects that whole domains fail, and
// that gossip has not arrived.
func Neighbours(members map[string]api.Member, self string) Neighbourhood {
	var names []string
	domains := make(map[string][]string)
	for name, member := range members {
		isReachable := member.State == api.MemberAlive || member.State == api.MemberSuspect || member.State == api.MemberLeaving
		if !isReachable && name != self {
			continue
		}
		names = append(names, name)
		domain := member.Instance.FailureDomain
		domains[domain] = append(domains[domain], name)
	}
	if len(names) <= fullMeshMembers {
		slices.Sort(names)
		names = slices.DeleteFunc(names, func(name string) bool { return name == self })
		return Neighbourhood{Probed: names, Gossip: names}
	}
	gossip := make(map[string]bool)
	addRingNeighbours(gossip, domains[members[self].Instance.FailureDomain], self, 0, domainRings)
	if links := linkMembers(domains); len(domains) > 1 && slices.Contains(links, self) {
		addRingNeighbours(gossip, links, self, domainRings, linkRings)
	}
	probed := maps.Clone(gossip)
	addRingNeighbours(probed, names, self, fleetRing, 1)
	return Neighbourhood{Probed: slices.Sorted(maps.Keys(probed)), Gossip: slices.Sorted(maps.Keys(gossip))}
}

// linkMembers returns the links of all failure domains, which map to the names of
// their members: in each domain those that rank first by rendezvous hashing.
func linkMembers(domains map[string][]string) []string {
	var links []string
	for _, names := range domains {
		var first []ringEntry
		for _, name := range names {
			candidate := ringEntry{name: name, position: xxhash.Sum64String("link/" + name)}
			index, _ := slices.BinarySearchFunc(first, candidate, compareRingEntries)
			if index < linksPerDomain {
				first = slices.Insert(first, index, candidate)
				first = first[:min(len(first), linksPerDomain)]
			}
		}
		for _, link := range first {
			links = append(links, link.name)
		}
	}
	return links
}

func compareRingEntries(a, b ringEntry) int {
	return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.name, b.name))
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

// addRingNeighbours adds to neighbours those of self on count rings of the named
// members, of which the first has the given number.
func addRingNeighbours(neighbours map[string]bool, names []string, self string, first, count int) {
	for number := first; number < first+count; number++ {
		ring := ring{ownPosition: ringPosition(number, self)}
		for _, name := range names {
			if name != self {
				ring.insert(ringEntry{name: name, position: ringPosition(number, name)})
			}
		}
		for _, neighbour := range []ringEntry{orDefault(ring.next, ring.first), orDefault(ring.previous, ring.last)} {
			if neighbour.name != "" {
				neighbours[neighbour.name] = true
			}
		}
	}
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
