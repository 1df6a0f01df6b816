package upstream

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Server serves one replica over HTTP.
type Server struct {
	Address  string
	Replica  *Replica
	server   *http.Server
	listener *limitListener
}

// Listen serves replica at address until Close.
func Listen(address string, replica *Replica) (*Server, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for requests")
	}
	mux := chi.NewRouter()
	replica.Register(mux)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &Server{
		Address:  inner.Addr().String(),
		Replica:  replica,
		server:   &http.Server{Handler: mux, Protocols: protocols},
		listener: &limitListener{Listener: inner, replica: replica},
	}
	go server.run()
	return server, nil
}

func (server *Server) run() { _ = server.server.Serve(server.listener) }

// Close ends the replica at once.
func (server *Server) Close() { _ = server.server.Close() }

// limitListener closes connections beyond the replica's limit and makes new
// ones pay their cost.
type limitListener struct {
	net.Listener
	replica *Replica
}

// Accept returns the next connection within the limit.
func (limitlistener *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := limitlistener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limitlistener.replica.connect() {
			return &countedConn{Conn: conn, replica: limitlistener.replica}, nil
		}
		_ = conn.Close()
	}
}

func (replica *Replica) connect() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.counts.Connections >= replica.shape.ConnectionLimit {
		return false
	}
	replica.counts.Connections++
	replica.counts.MostConnections = max(replica.counts.MostConnections, replica.counts.Connections)
	return true
}

func (replica *Replica) disconnect() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.counts.Connections--
}

// countedConn is a connection that counts toward the limit.
type countedConn struct {
	net.Conn
	replica *Replica
	paid    sync.Once
	closed  sync.Once
}

// Read pays the cost of the connection before its first bytes.
func (countedconn *countedConn) Read(buffer []byte) (int, error) {
	countedconn.paid.Do(func() { time.Sleep(countedconn.replica.shape.ConnectCost) })
	return countedconn.Conn.Read(buffer)
}

// Close closes the connection and uncounts it.
func (countedconn *countedConn) Close() error {
	countedconn.closed.Do(countedconn.replica.disconnect)
	return countedconn.Conn.Close()
}

// health reports the state as of up to Lag ago.
func (replica *Replica) health(writer http.ResponseWriter, _ *http.Request) {
	replica.mutex.Lock()
	if now := time.Now(); now.Sub(replica.reportAt) >= replica.shape.Lag {
		replica.reportAt = now
		replica.reported = api.ReplicaHealth{
			IsLeaving:     replica.faults.Leaving && !replica.faults.HideLeaving,
			IsCold:        now.Before(replica.coldUntil),
			InFlight:      replica.running,
			Queued:        len(replica.waiting),
			HeldSnapshots: replica.held,
		}
	}
	reported := replica.reported
	replica.mutex.Unlock()
	wire.WriteJSON(writer, http.StatusOK, reported)
}

func (replica *Replica) order(writer http.ResponseWriter, request *http.Request) {
	take(writer, request, replica.Order)
}

func (replica *Replica) hold(writer http.ResponseWriter, request *http.Request) {
	take(writer, request, func(held []uint64) { replica.Hold(held...) })
}

func (replica *Replica) serveShards(writer http.ResponseWriter, request *http.Request) {
	take(writer, request, replica.Serve)
}

// take decodes the JSON body of an order and carries it out.
func take[V any](writer http.ResponseWriter, request *http.Request, carryOut func(V)) {
	var value V
	if err := json.NewDecoder(request.Body).Decode(&value); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	carryOut(value)
	wire.WriteJSON(writer, http.StatusOK, value)
}

func (replica *Replica) count(writer http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(writer, http.StatusOK, replica.Counts())
}
