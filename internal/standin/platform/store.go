// Package platform simulates the users' platform for tests: a configuration
// service whose documents can be read and watched, with injected faults.
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

// MaxCallsPerSecond is the number of calls a second that the service accepts from
// all clients together. A watch counts as one call, however long it waits.
const MaxCallsPerSecond = 2_000

// Faults holds the faults that a test injects into the service.
type Faults struct {
	// HasOutage refuses every call and ends every waiting watch.
	HasOutage bool `json:"outage"`
	// IsStale answers every call from the documents of the moment at which the
	// fault was set.
	IsStale bool `json:"stale"`
	// IsLosingWrites loses what is written while the fault is set. When it ends, the
	// store comes back from its copy of the moment at which the fault was set, in the
	// next era, and gives out the lost revisions again.
	IsLosingWrites bool `json:"losingWrites"`
	// InstanceListLag delays writes to the instance lists.
	InstanceListLag time.Duration `json:"listLag"`
}

// Store holds the documents and notifies waiting watches of changes.
type Store struct {
	// mutex guards all fields.
	mutex sync.Mutex
	// era counts how often the store came back from a copy.
	era       uint64
	revision  uint64
	documents map[string]api.Document
	// copiedRevision and copiedDocuments are the copy that is kept while
	// Faults.IsLosingWrites is set.
	copiedRevision  uint64
	copiedDocuments map[string]api.Document
	// staleDocuments holds the documents that are served while Faults.IsStale is
	// set.
	staleDocuments map[string]api.Document
	faults         Faults
	// nextChange is closed at the next change of the documents or faults, and then
	// replaced.
	nextChange chan struct{}

	// windowCalls counts the calls in the second that began at windowStart. A new
	// second begins with the first call after the last one has ended.
	windowStart time.Time
	windowCalls int
	// Calls counts the calls since the start, except those refused during an
	// outage.
	Calls int64
	// RefusedCalls counts the calls beyond MaxCallsPerSecond.
	RefusedCalls int64
}

// NewStore returns a store without documents.
func NewStore() *Store {
	return &Store{documents: make(map[string]api.Document), nextChange: make(chan struct{})}
}

// Put stores value under key and returns the store's revision. A write to an
// instance list is delayed by Faults.InstanceListLag; the revision is then the one
// before the write. Put fails if value exceeds api.MaxDocumentBytes.
func (store *Store) Put(key string, value []byte) (uint64, error) {
	if len(value) > api.MaxDocumentBytes {
		return 0, errors.Errorf("put %s: %d bytes; allowed: %d", key, len(value), api.MaxDocumentBytes)
	}
	return store.write(api.Document{Key: key, Value: value}), nil
}

// Delete removes key and returns the store's revision, with the same delay as Put.
func (store *Store) Delete(key string) uint64 {
	return store.write(api.Document{Key: key, IsDeleted: true})
}

// write applies document, or starts a delayed write of it, and returns the store's
// revision.
func (store *Store) write(document api.Document) uint64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	lag := store.faults.InstanceListLag
	if lag > 0 && strings.HasPrefix(document.Key, api.InstancesPrefix) {
		delayedWrite := &delayedWrite{store: store, document: document, delay: lag}
		go delayedWrite.run()
		return store.revision
	}
	return store.apply(document)
}

// apply stores document under a new revision. The caller holds mutex.
func (store *Store) apply(document api.Document) uint64 {
	store.revision++
	document.Revision = store.revision
	store.documents[document.Key] = document
	store.notifyWatches()
	return store.revision
}

// notifyWatches makes waiting watches list the documents again. The caller holds
// mutex.
func (store *Store) notifyWatches() {
	close(store.nextChange)
	store.nextChange = make(chan struct{})
}

// delayedWrite is a write that takes effect after a delay.
type delayedWrite struct {
	store    *Store
	document api.Document
	delay    time.Duration
}

func (delayedwrite *delayedWrite) run() {
	time.Sleep(delayedwrite.delay)
	delayedwrite.store.mutex.Lock()
	defer delayedwrite.store.mutex.Unlock()
	delayedwrite.store.apply(delayedwrite.document)
}

// SetFaults replaces the injected faults.
func (store *Store) SetFaults(faults Faults) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if faults.IsStale && !store.faults.IsStale {
		store.staleDocuments = maps.Clone(store.documents)
	}
	switch {
	case faults.IsLosingWrites && !store.faults.IsLosingWrites:
		store.copiedRevision, store.copiedDocuments = store.revision, maps.Clone(store.documents)
	case !faults.IsLosingWrites && store.faults.IsLosingWrites:
		store.era++
		store.revision, store.documents = store.copiedRevision, store.copiedDocuments
	}
	store.faults = faults
	store.notifyWatches()
}

// countCall counts a call at the time now and reports whether it is within
// MaxCallsPerSecond. The caller holds mutex.
func (store *Store) countCall(now time.Time) bool {
	store.Calls++
	if now.Sub(store.windowStart) >= time.Second {
		store.windowStart = now
		store.windowCalls = 0
	}
	store.windowCalls++
	if store.windowCalls > MaxCallsPerSecond {
		store.RefusedCalls++
		return false
	}
	return true
}

// visibleDocuments returns the documents that calls are answered from. The caller
// holds mutex.
func (store *Store) visibleDocuments() map[string]api.Document {
	if store.faults.IsStale {
		return store.staleDocuments
	}
	return store.documents
}

// list returns the keys whose revision is above afterRevision, and a channel that is
// closed at the next change. The caller holds mutex.
func (store *Store) list(afterRevision uint64) (api.Listing, chan struct{}) {
	listing := api.Listing{Era: store.era, Keys: []api.KeyRevision{}}
	documents := store.visibleDocuments()
	for _, key := range slices.Sorted(maps.Keys(documents)) {
		document := documents[key]
		listing.Revision = max(listing.Revision, document.Revision)
		if document.Revision > afterRevision {
			listing.Keys = append(listing.Keys, api.KeyRevision{Key: key, Revision: document.Revision, IsDeleted: document.IsDeleted})
		}
	}
	return listing, store.nextChange
}
