package http

import (
	"sync"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// ManagedLink is a link whose connections Links opens ahead, limits and closes.
type ManagedLink interface {
	// Close closes the idle connections.
	Close()
	// LimitConnections sets the maximum number of connections to one instance's
	// share of the replica's connection limit, which the given number of
	// instances share. An instance that is not a home of the replica's shard
	// gets a single connection.
	LimitConnections(instances int, isHome bool)
	// Preconnect opens one connection before a request needs it if the link has
	// few.
	Preconnect()
}

// Links holds one link for each incarnation of a replica. Its methods may be called
// concurrently.
type Links[L ManagedLink] struct {
	// Open returns a new link to replica. The given number of instances share
	// the replica's connection limit.
	Open func(replica *view.Replica, instances int) L

	// mutex guards links.
	mutex sync.RWMutex
	links map[replicaKey]L
}

// replicaKey identifies one incarnation of a replica by its stats, at one address. A
// replica that was not published for a while has other stats than before, and so
// another link, because a link sends nothing to a replica whose stats say that it is
// leaving.
type replicaKey struct {
	stats   *view.ReplicaStats
	address string
}

func newReplicaKey(replica *view.Replica) replicaKey {
	return replicaKey{stats: replica.Stats, address: replica.Instance.Address}
}

// PreconnectHomeReplicas calls Preconnect for each replica of the upstreams for which
// this instance is a home, except for replicas that are leaving.
func (links *Links[L]) PreconnectHomeReplicas(current *view.View) {
	for _, replica := range current.Replicas {
		if current.IsHomeOfUpstream[replica.Upstream.Name] && !replica.Stats.IsLeaving.Load() {
			links.Get(replica, len(current.Members)).Preconnect()
		}
	}
}

// Get returns the link to replica. The first call for an incarnation of a replica
// opens the link, with the given number of instances that share the replica's
// connection limit.
func (links *Links[L]) Get(replica *view.Replica, instances int) L {
	key := newReplicaKey(replica)
	links.mutex.RLock()
	link, isKnown := links.links[key]
	links.mutex.RUnlock()
	if isKnown {
		return link
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if link, isKnown := links.links[key]; isKnown {
		return link
	}
	if links.links == nil {
		links.links = make(map[replicaKey]L)
	}
	link = links.Open(replica, instances)
	links.links[key] = link
	return link
}

// maxConcurrentHomes is the number of instances that may temporarily hold a home's
// share of a replica's connections at the same time: in each of two failure domains the
// home, its standby and the previous home.
const maxConcurrentHomes = 6

// ApplyView closes the links to replicas that are not in current, and updates the
// connection limits of the others. The connections to a replica whose upstream
// has homes are shared among at most maxConcurrentHomes homes, those to other
// replicas among all members. An instance that is not settled gets a single
// connection to each replica.
func (links *Links[L]) ApplyView(current *view.View) {
	currentReplicas := make(map[replicaKey]*view.Replica, len(current.Replicas))
	for _, replica := range current.Replicas {
		currentReplicas[newReplicaKey(replica)] = replica
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	for key, link := range links.links {
		replica := currentReplicas[key]
		if replica == nil {
			delete(links.links, key)
			link.Close()
			continue
		}
		isHome, hasHomes := current.IsHomeOfUpstream[replica.Upstream.Name]
		instances := len(current.Members)
		if isHome {
			instances = min(instances, maxConcurrentHomes)
		}
		// Before the instance knows the others, it cannot know its share.
		link.LimitConnections(instances, current.IsSettled && !hasHomes || isHome)
	}
}
