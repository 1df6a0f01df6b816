package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or its deletion, at one revision.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// pageItems is the largest number of items in one answer to a range call.
const pageItems = 500

// pageBytes is the size of the values from which on an answer to a range call ends.
const pageBytes = 1_000_000

// store is a sound stand-in for the platform's metadata store.
type store struct {
	address string

	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
	// isQuiet is set while watches hear nothing.
	isQuiet bool
	// cuts counts how often the history was dropped, and forgotten is the revision up to
	// which it is gone.
	cuts      int
	forgotten uint64
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	store := &store{address: listener.Addr().String(), revision: 100, items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", store.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", store.serveWatch)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	return store, nil
}

func (store *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.putBytes(key, encoded)
}

// putBytes writes a key with any bytes.
func (store *store) putBytes(key string, encoded []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	created := store.revision
	if previous, isKnown := store.items[key]; isKnown {
		created = previous.Created
	}
	store.items[key] = item{Key: key, Value: encoded, Revision: store.revision, Created: created}
	store.append(store.items[key])
}

// forgetHistory lets watches hear nothing for a second, and then drops the history and cuts
// them.
func (store *store) forgetHistory() {
	store.mutex.Lock()
	store.isQuiet = true
	store.mutex.Unlock()
	time.Sleep(time.Second)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.isQuiet = false
	store.cuts++
	store.events, store.forgotten = nil, store.revision
	close(store.changed)
	store.changed = make(chan struct{})
}

// append adds an event and wakes up the watches. The caller holds the mutex.
func (store *store) append(event item) {
	store.events = append(store.events, event)
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) serveRange(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.URL.Query().Get("prefix"), request.URL.Query().Get("after")
	store.mutex.Lock()
	defer store.mutex.Unlock()
	items := []item{}
	for key, item := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	end, bytes := 0, 0
	for end < len(items) && end < pageItems && bytes < pageBytes {
		bytes += len(items[end].Value)
		end++
	}
	writeJSON(writer, map[string]any{"items": items[:end], "has_more": end < len(items), "as_of": store.revision})
}

func (store *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	millis, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	end := time.After(time.Duration(min(millis, 30_000)) * time.Millisecond)
	store.mutex.Lock()
	cuts := store.cuts
	store.mutex.Unlock()
	for {
		store.mutex.Lock()
		events := []item{}
		if !store.isQuiet {
			first := sort.Search(len(store.events), func(index int) bool { return store.events[index].Revision > after })
			events = append(events, store.events[first:]...)
		}
		asOf, changed := store.revision, store.changed
		isCut, isForgotten := store.cuts > cuts, after < store.forgotten
		if store.isQuiet {
			asOf = after
		}
		store.mutex.Unlock()
		switch {
		case isCut:
			panic(http.ErrAbortHandler)
		case isForgotten:
			writer.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeJSON(writer, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(writer, map[string]any{"events": events, "as_of": asOf})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
