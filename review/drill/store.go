package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items of one page of a range.
const pageItems = 500

// item is a key of the store at one revision, in the form of the platform's pages.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history and
// loses nothing.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	// changed is closed and replaced at each change.
	changed chan struct{}
	// era rises each time the store comes back from an older copy. A store in era 0
	// doesn't state it.
	era int
	// isAway is set while the store answers nothing.
	isAway bool
}

// copied is a copy of a store's content.
type copied struct {
	revision uint64
	items    map[string]item
	history  []item
}

// copy returns a copy of what the store holds.
func (store *store) copy() copied {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return copied{revision: store.revision, items: maps.Clone(store.items), history: slices.Clone(store.history)}
}

// goAway makes the store answer nothing until restore.
func (store *store) goAway() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.isAway = true
	close(store.changed)
	store.changed = make(chan struct{})
}

// restore brings the store back from a copy, in the next era.
func (store *store) restore(copied copied) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision, store.items, store.history = copied.revision, copied.items, copied.history
	store.era++
	store.isAway = false
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), changed: make(chan struct{})}
}

// put writes a key and returns once the write is confirmed.
func (store *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		fail("encode %s: %v", key, err)
	}
	store.change(item{Key: key, Value: encoded})
}

// remove deletes a key and returns once the deletion is confirmed.
func (store *store) remove(key string) { store.change(item{Key: key, Deleted: true}) }

func (store *store) change(changed item) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	changed.Revision, changed.Created = store.revision, store.revision
	if changed.Deleted {
		delete(store.items, changed.Key)
	} else {
		store.items[changed.Key] = changed
	}
	store.history = append(store.history, changed)
	close(store.changed)
	store.changed = make(chan struct{})
}

// ServeHTTP answers the reading calls of the platform's pages.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mutex.Lock()
	era, isAway := store.era, store.isAway
	store.mutex.Unlock()
	if isAway {
		panic(http.ErrAbortHandler)
	}
	if era > 0 {
		writer.Header().Set("Store-Era", strconv.Itoa(era))
	}
	switch request.URL.Path {
	case "/v1/kv-range":
		writeJSON(writer, store.page(query.Get("prefix"), query.Get("after")))
	case "/v1/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		millis, _ := strconv.Atoi(query.Get("wait_ms"))
		changes, isKnown := store.watch(request, query.Get("prefix"), after, time.Duration(millis)*time.Millisecond)
		if !isKnown {
			writer.WriteHeader(http.StatusGone)
			return
		}
		writeJSON(writer, changes)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

// page is the answer to a range.
type page struct {
	Items   []item `json:"items"`
	HasMore bool   `json:"has_more"`
	AsOf    uint64 `json:"as_of"`
}

func (store *store) page(prefix, after string) page {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	page := page{Items: []item{}, AsOf: store.revision}
	for key, item := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	if len(page.Items) > pageItems {
		page.Items, page.HasMore = page.Items[:pageItems], true
	}
	return page
}

// changes is the answer to a watch.
type changes struct {
	Events []item `json:"events"`
	AsOf   uint64 `json:"as_of"`
}

// watch returns the events after a revision as soon as there is one, or none after wait. It
// reports false if the store doesn't have the revision. A store that goes away cuts it.
func (store *store) watch(request *http.Request, prefix string, after uint64, wait time.Duration) (changes, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		store.mutex.Lock()
		if store.isAway {
			store.mutex.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > store.revision {
			store.mutex.Unlock()
			return changes{}, false
		}
		changes := changes{Events: []item{}, AsOf: store.revision}
		for _, event := range store.history {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				changes.Events = append(changes.Events, event)
			}
		}
		changed := store.changed
		store.mutex.Unlock()
		if len(changes.Events) > 0 {
			return changes, true
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, true
		case <-request.Context().Done():
			return changes, true
		}
	}
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
