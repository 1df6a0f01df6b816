package platform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Server serves a store over HTTP. Paths under /admin are for tests only.
type Server struct {
	// Address is the address that the server listens on, with the port that was
	// assigned.
	Address  string
	Store    *Store
	server   *http.Server
	listener net.Listener
}

// Listen serves store at address until Close.
func Listen(address string, store *Store) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for readers")
	}
	server := &Server{Address: listener.Addr().String(), Store: store, listener: listener}
	mux := chi.NewRouter()
	mux.Get("/v1/keys", server.handleWatch)
	mux.Get("/v1/keys/*", server.handleRead)
	mux.Put("/admin/keys/*", server.handlePut)
	mux.Delete("/admin/keys/*", server.handleDelete)
	mux.Post("/admin/faults", server.handleFaults)
	mux.Get("/admin/calls", server.handleCalls)
	server.server = &http.Server{Handler: mux}
	go server.run()
	return server, nil
}

func (server *Server) run() { _ = server.server.Serve(server.listener) }

// Close stops the server at once, without waiting for running calls.
func (server *Server) Close() { _ = server.server.Close() }

// admit reports whether a call may proceed. If not, it has written the error. In both
// cases the answer has the store's era.
func (server *Server) admit(writer http.ResponseWriter) bool {
	store := server.Store
	store.mutex.Lock()
	defer store.mutex.Unlock()
	wire.WriteEra(writer, store.era)
	switch {
	case store.faults.HasOutage:
		http.Error(writer, "outage", http.StatusServiceUnavailable)
	case !store.countCall(time.Now()):
		http.Error(writer, "too many calls", http.StatusTooManyRequests)
	default:
		return true
	}
	return false
}

// handleWatch lists the keys that changed after the caller's revision. It waits up
// to the caller's time limit until there are some, or until the store's revision
// is below the caller's. A revision that the store does not have gets 410.
func (server *Server) handleWatch(writer http.ResponseWriter, request *http.Request) {
	if !server.admit(writer) {
		return
	}
	afterRevision, maxWait := wire.DecodeWatch(request)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		server.Store.mutex.Lock()
		listing, nextChange := server.Store.list(afterRevision)
		hasOutage := server.Store.faults.HasOutage
		isUnknown := afterRevision > server.Store.revision
		server.Store.mutex.Unlock()
		wire.WriteEra(writer, listing.Era)
		switch {
		case hasOutage:
			http.Error(writer, "outage", http.StatusServiceUnavailable)
			return
		case isUnknown:
			http.Error(writer, "unknown revision", http.StatusGone)
			return
		}
		if len(listing.Keys) > 0 || listing.Revision < afterRevision {
			wire.WriteJSON(writer, http.StatusOK, listing)
			return
		}
		select {
		case <-nextChange:
		case <-timer.C:
			wire.WriteJSON(writer, http.StatusOK, listing)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (server *Server) handleRead(writer http.ResponseWriter, request *http.Request) {
	if !server.admit(writer) {
		return
	}
	server.Store.mutex.Lock()
	document, isKnown := server.Store.visibleDocuments()[chi.URLParam(request, "*")]
	wire.WriteEra(writer, server.Store.era)
	server.Store.mutex.Unlock()
	if !isKnown {
		http.NotFound(writer, request)
		return
	}
	wire.WriteDocument(writer, document)
}

func (server *Server) handlePut(writer http.ResponseWriter, request *http.Request) {
	value, err := io.ReadAll(io.LimitReader(request.Body, api.MaxDocumentBytes+1))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	revision, err := server.Store.Put(chi.URLParam(request, "*"), value)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	wire.WriteJSON(writer, http.StatusOK, api.Listing{Revision: revision})
}

func (server *Server) handleDelete(writer http.ResponseWriter, request *http.Request) {
	revision := server.Store.Delete(chi.URLParam(request, "*"))
	wire.WriteJSON(writer, http.StatusOK, api.Listing{Revision: revision})
}

func (server *Server) handleFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.Store.SetFaults(faults)
	wire.WriteJSON(writer, http.StatusOK, faults)
}

// CallCounts holds the numbers of calls since the start of the service.
type CallCounts struct {
	// Calls counts the calls, except those refused during an outage.
	Calls int64 `json:"calls"`
	// RefusedCalls counts the calls beyond MaxCallsPerSecond, which were refused.
	RefusedCalls int64 `json:"refused"`
}

func (server *Server) handleCalls(writer http.ResponseWriter, _ *http.Request) {
	server.Store.mutex.Lock()
	counts := CallCounts{Calls: server.Store.Calls, RefusedCalls: server.Store.RefusedCalls}
	server.Store.mutex.Unlock()
	wire.WriteJSON(writer, http.StatusOK, counts)
}
