package http

import (
	"sync"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Closer is a link that can end its connections, and change its share of
// those that its replica accepts.
type Closer interface {
	Close()
	// Share sets the share to that of one of so many instances. One that is no
	// home of the replica's shard keeps a single connection.
	Share(instances int, isHome bool)
	// Warm opens a connection ahead of its first request where the link has
	// few.
	Warm()
}

// Links holds the link of each replica's incarnation.
type Links[L Closer] struct {
	// Open returns a new link to replica for one of so many instances.
	Open func(replica *view.Replica, instances int) L

	mutex sync.RWMutex
	links map[linkKey]L
}

type linkKey struct {
	name        string
	address     string
	incarnation uint64
}

func keyOf(replica *view.Replica) linkKey {
	instance := &replica.Instance
	return linkKey{name: instance.Name, address: instance.Address, incarnation: instance.Incarnation}
}

// WarmHome opens connections ahead of requests to the replicas whose shard has
// this instance as its home.
func (links *Links[L]) WarmHome(current *view.View) {
	for _, replica := range current.Replicas {
		if current.HomedUpstreams[replica.Upstream.Name] && !replica.Stats.IsLeaving.Load() {
			links.Get(replica, len(current.Members)).Warm()
		}
	}
}

// Get returns the link to replica.
func (links *Links[L]) Get(replica *view.Replica, instances int) L {
	key := keyOf(replica)
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
		links.links = make(map[linkKey]L)
	}
	link = links.Open(replica, instances)
	links.links[key] = link
	return link
}

// homesAtOnce is how many instances may hold a home's share of a replica's
// connections for a while: in each of two failure domains the home, its
// stand-by and the home before it.
const homesAtOnce = 6

// Keep closes the links to replicas that are not in current, and shares the
// connections of the others among the members, most of them for the homes.
func (links *Links[L]) Keep(current *view.View) {
	kept := make(map[linkKey]*view.Replica, len(current.Replicas))
	for _, replica := range current.Replicas {
		kept[keyOf(replica)] = replica
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	for key, link := range links.links {
		replica := kept[key]
		if replica == nil {
			delete(links.links, key)
			link.Close()
			continue
		}
		isHome, isPlaced := current.HomedUpstreams[replica.Upstream.Name]
		instances := len(current.Members)
		if isPlaced {
			instances = min(instances, homesAtOnce)
		}
		link.Share(instances, !isPlaced || isHome)
	}
}
