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
	Address string
	Store   *Store
	server  *http.Server
	lis     net.Listener
}

// Listen serves store at address until Close.
func Listen(address string, store *Store) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for readers")
	}
	server := &Server{Address: listener.Addr().String(), Store: store, lis: listener}
	mux := chi.NewRouter()
	mux.Get("/v1/keys", server.watch)
	mux.Get("/v1/keys/*", server.read)
	mux.Put("/admin/keys/*", server.put)
	mux.Delete("/admin/keys/*", server.remove)
	mux.Post("/admin/faults", server.order)
	mux.Get("/admin/calls", server.calls)
	server.server = &http.Server{Handler: mux}
	go server.run()
	return server, nil
}

func (server *Server) run() { _ = server.server.Serve(server.lis) }

// Close ends the server at once.
func (server *Server) Close() { _ = server.server.Close() }

func (server *Server) begin(writer http.ResponseWriter) bool {
	store := server.Store
	store.mutex.Lock()
	defer store.mutex.Unlock()
	switch {
	case store.faults.HasOutage:
		http.Error(writer, "outage", http.StatusServiceUnavailable)
	case !store.count(time.Now()):
		http.Error(writer, "too many calls", http.StatusTooManyRequests)
	default:
		return true
	}
	return false
}

func (server *Server) watch(writer http.ResponseWriter, request *http.Request) {
	if !server.begin(writer) {
		return
	}
	after, wait := wire.DecodeWatch(request)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		server.Store.mutex.Lock()
		listing, changed := server.Store.list(after)
		isOutage := server.Store.faults.HasOutage
		server.Store.mutex.Unlock()
		if isOutage {
			http.Error(writer, "outage", http.StatusServiceUnavailable)
			return
		}
		if len(listing.Keys) > 0 || listing.Revision < after {
			wire.WriteJSON(writer, http.StatusOK, listing)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wire.WriteJSON(writer, http.StatusOK, listing)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (server *Server) read(writer http.ResponseWriter, request *http.Request) {
	if !server.begin(writer) {
		return
	}
	server.Store.mutex.Lock()
	document, isKnown := server.Store.visible()[chi.URLParam(request, "*")]
	server.Store.mutex.Unlock()
	if !isKnown {
		http.NotFound(writer, request)
		return
	}
	wire.WriteDocument(writer, document)
}

func (server *Server) put(writer http.ResponseWriter, request *http.Request) {
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

func (server *Server) remove(writer http.ResponseWriter, request *http.Request) {
	revision := server.Store.Delete(chi.URLParam(request, "*"))
	wire.WriteJSON(writer, http.StatusOK, api.Listing{Revision: revision})
}

func (server *Server) order(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.Store.SetFaults(faults)
	wire.WriteJSON(writer, http.StatusOK, faults)
}

// CallCounts is how many calls the service took and refused.
type CallCounts struct {
	Calls   int64 `json:"calls"`
	RefusedCalls int64 `json:"refused"`
}

func (server *Server) calls(writer http.ResponseWriter, _ *http.Request) {
	server.Store.mutex.Lock()
	counts := CallCounts{Calls: server.Store.Calls, RefusedCalls: server.Store.RefusedCalls}
	server.Store.mutex.Unlock()
	wire.WriteJSON(writer, http.StatusOK, counts)
}
