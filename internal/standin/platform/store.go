// Package platform is a small stand-in for the users' platform: a
// configuration service that can be read and watched, with faults to order.
package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// MaxCallsPerSecond is the rate that the service grants to all readers. A
// waiting watch counts as one call.
const MaxCallsPerSecond = 2_000

// Faults are the failures that a test orders.
type Faults struct {
	// Outage refuses every call and ends every waiting watch.
	Outage bool `json:"outage"`
	// Stale answers every call from the state at the time of the order.
	Stale bool `json:"stale"`
	// ListLag delays changes of the instance list.
	ListLag time.Duration `json:"listLag"`
}

// Store holds the documents and wakes the waiting watches.
type Store struct {
	mutex     sync.Mutex
	revision  uint64
	documents map[string]api.Document
	stale     map[string]api.Document
	faults    Faults
	changed   chan struct{}

	window time.Time
	calls  int
	// Calls counts the calls since the start.
	Calls int64
	// Refused counts the calls beyond MaxCallsPerSecond.
	Refused int64
}

// NewStore returns a store without documents.
func NewStore() *Store {
	return &Store{documents: make(map[string]api.Document), changed: make(chan struct{})}
}

// Put stores value under key and returns its revision. Changes of the
// instance list appear after the ordered lag.
func (store *Store) Put(key string, value []byte) (uint64, error) {
	if len(value) > api.MaxDocumentBytes {
		return 0, errors.Errorf("put %s: %d bytes; allowed: %d", key, len(value), api.MaxDocumentBytes)
	}
	return store.write(api.Document{Key: key, Value: value}), nil
}

// Delete removes key.
func (store *Store) Delete(key string) uint64 {
	return store.write(api.Document{Key: key, IsDeleted: true})
}

func (store *Store) write(document api.Document) uint64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	lag := store.faults.ListLag
	if lag > 0 && strings.HasPrefix(document.Key, api.InstancesPrefix) {
		late := &lateWrite{store: store, document: document, lag: lag}
		go late.run()
		return store.revision
	}
	return store.apply(document)
}

func (store *Store) apply(document api.Document) uint64 {
	store.revision++
	document.Revision = store.revision
	store.documents[document.Key] = document
	store.wake()
	return store.revision
}

func (store *Store) wake() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// lateWrite is a change of the instance list on its way.
type lateWrite struct {
	store    *Store
	document api.Document
	lag      time.Duration
}

func (latewrite *lateWrite) run() {
	time.Sleep(latewrite.lag)
	latewrite.store.mutex.Lock()
	defer latewrite.store.mutex.Unlock()
	latewrite.store.apply(latewrite.document)
}

// Order sets the faults.
func (store *Store) Order(faults Faults) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if faults.Stale && !store.faults.Stale {
		store.stale = maps.Clone(store.documents)
	}
	store.faults = faults
	store.wake()
}

// count reports whether another call is within the rate.
func (store *Store) count(now time.Time) bool {
	store.Calls++
	if now.Sub(store.window) >= time.Second {
		store.window = now
		store.calls = 0
	}
	store.calls++
	if store.calls > MaxCallsPerSecond {
		store.Refused++
		return false
	}
	return true
}

func (store *Store) visible() map[string]api.Document {
	if store.faults.Stale {
		return store.stale
	}
	return store.documents
}

// list returns the keys newer than after, and the channel of the next change.
func (store *Store) list(after uint64) (api.Listing, chan struct{}) {
	listing := api.Listing{Keys: []api.KeyRevision{}}
	documents := store.visible()
	for _, key := range slices.Sorted(maps.Keys(documents)) {
		document := documents[key]
		listing.Revision = max(listing.Revision, document.Revision)
		if document.Revision > after {
			listing.Keys = append(listing.Keys, api.KeyRevision{Key: key, Revision: document.Revision, IsDeleted: document.IsDeleted})
		}
	}
	return listing, store.changed
}
