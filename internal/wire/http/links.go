package http

import (
	"sync"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Closer is a link that can end its connections, and change its share of
// those that its replica accepts.
type Closer interface {
	Close()
	// Share sets the share to that of one of so many instances.
	Share(instances int)
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

// Keep closes the links to replicas that are not in replicas, and shares the
// connections of the others among so many instances.
func (links *Links[L]) Keep(replicas map[string]*view.Replica, instances int) {
	kept := make(map[linkKey]bool, len(replicas))
	for _, replica := range replicas {
		kept[keyOf(replica)] = true
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	for key, link := range links.links {
		if !kept[key] {
			delete(links.links, key)
			link.Close()
			continue
		}
		link.Share(instances)
	}
}
