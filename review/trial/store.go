package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. It serves the calls that only
// read.
type store struct {
	address string

	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	// history holds all changes in the order of their revisions.
	history []item
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// item is a key at one revision.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func startStore(address string) (*store, error) {
	store := &store{revision: 400, items: make(map[string]item), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	store.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", store.handleRange)
	mux.HandleFunc("GET /v1/kv-watch", store.handleWatch)
	go func() { _ = http.Serve(listener, mux) }()
	return store, nil
}

// put writes a key, with value encoded as JSON.
func (store *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.change(item{Key: key, Value: encoded})
}

func (store *store) change(changed item) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	changed.Revision, changed.Created = store.revision, store.revision
	if changed.Deleted {
		changed.Created = 0
		delete(store.items, changed.Key)
	} else {
		store.items[changed.Key] = changed
	}
	store.history = append(store.history, changed)
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) handleRange(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	items := []item{}
	for key, item := range store.items {
		if strings.HasPrefix(key, request.URL.Query().Get("prefix")) {
			items = append(items, item)
		}
	}
	writeJSON(writer, map[string]any{"items": items, "has_more": false, "as_of": store.revision})
}

func (store *store) handleWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, revision, changed := store.since(after, query.Get("prefix"))
		if len(events) > 0 {
			writeJSON(writer, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(writer, map[string]any{"events": events, "as_of": revision})
			return
		case <-request.Context().Done():
			return
		}
	}
}

// since returns the changes after a revision, the store's revision, and a channel that
// is closed at the next change.
func (store *store) since(after uint64, prefix string) ([]item, uint64, chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	events := []item{}
	for _, changed := range store.history {
		if changed.Revision > after && strings.HasPrefix(changed.Key, prefix) {
			events = append(events, changed)
		}
	}
	return events, store.revision, store.changed
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
