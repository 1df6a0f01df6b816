package upstream

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Server serves one replica over HTTP/1 and unencrypted HTTP/2.
type Server struct {
	// Address is the address that the server listens on, with the port that was
	// assigned.
	Address  string
	Replica  *Replica
	server   *http.Server
	listener *limitListener
}

// Listen serves replica at address until Close.
func Listen(address string, replica *Replica) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for requests")
	}
	mux := chi.NewRouter()
	replica.Register(mux)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &Server{
		Address:  listener.Addr().String(),
		Replica:  replica,
		server:   &http.Server{Handler: mux, Protocols: protocols},
		listener: &limitListener{Listener: listener, replica: replica},
	}
	go server.run()
	return server, nil
}

func (server *Server) run() { _ = server.server.Serve(server.listener) }

// Close stops the server at once, without waiting for running requests. No request is
// answered after it.
func (server *Server) Close() {
	_ = server.server.Close()
	server.listener.closeConns()
}

// limitListener closes connections beyond the replica's ConnectionLimit.
type limitListener struct {
	net.Listener
	replica *Replica

	// mutex guards the fields below.
	mutex sync.Mutex
	// conns holds the open connections: http.Server.Close misses those that it has
	// accepted and not yet registered.
	conns    map[*countedConn]bool
	isClosed bool
}

// Accept returns the next connection within the limit.
func (limitlistener *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := limitlistener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !limitlistener.replica.addConnection() {
			_ = conn.Close()
			continue
		}
		counted := &countedConn{Conn: conn, listener: limitlistener, replica: limitlistener.replica}
		if limitlistener.add(counted) {
			return counted, nil
		}
		_ = counted.Close()
	}
}

// add adds a connection to conns. It reports false if the listener is closed.
func (limitlistener *limitListener) add(conn *countedConn) bool {
	limitlistener.mutex.Lock()
	defer limitlistener.mutex.Unlock()
	if limitlistener.isClosed {
		return false
	}
	if limitlistener.conns == nil {
		limitlistener.conns = make(map[*countedConn]bool)
	}
	limitlistener.conns[conn] = true
	return true
}

// remove removes a connection from conns.
func (limitlistener *limitListener) remove(conn *countedConn) {
	limitlistener.mutex.Lock()
	defer limitlistener.mutex.Unlock()
	delete(limitlistener.conns, conn)
}

// closeConns closes the open connections, and each that is accepted later.
func (limitlistener *limitListener) closeConns() {
	limitlistener.mutex.Lock()
	limitlistener.isClosed = true
	conns := slices.Collect(maps.Keys(limitlistener.conns))
	limitlistener.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// addConnection counts a new connection. It reports false, and does not count, if
// the limit is reached.
func (replica *Replica) addConnection() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.counts.OpenConnections >= replica.config.ConnectionLimit {
		return false
	}
	replica.counts.OpenConnections++
	replica.counts.MaxOpenConnections = max(replica.counts.MaxOpenConnections, replica.counts.OpenConnections)
	return true
}

func (replica *Replica) removeConnection() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.counts.OpenConnections--
}

// countedConn is a connection that counts toward the limit until it is closed.
type countedConn struct {
	net.Conn
	listener    *limitListener
	replica     *Replica
	connectOnce sync.Once
	closeOnce   sync.Once
	// lateCopy is the second copy of a refusal that Write sends before the next answer.
	lateCopy []byte
}

// Read reads from the connection. The first call waits for ConnectCost.
func (countedconn *countedConn) Read(buffer []byte) (int, error) {
	countedconn.connectOnce.Do(func() { time.Sleep(countedconn.replica.config.ConnectCost) })
	return countedconn.Conn.Read(buffer)
}

// refusalStart is the start of a refusal over HTTP/1.1.
const refusalStart = "HTTP/1.1 503 "

// Write writes an answer to the connection, after the second copy of a refusal if one is
// due. The server writes a refusal, which is short, with a single call.
func (countedconn *countedConn) Write(answer []byte) (int, error) {
	if len(countedconn.lateCopy) > 0 {
		if _, err := countedconn.Conn.Write(countedconn.lateCopy); err != nil {
			return 0, err
		}
		countedconn.lateCopy = nil
	}
	if bytes.HasPrefix(answer, []byte(refusalStart)) && countedconn.replica.repeatsRefusals() {
		countedconn.lateCopy = bytes.Clone(answer)
	}
	return countedconn.Conn.Write(answer)
}

func (replica *Replica) repeatsRefusals() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.faults.RepeatRefusals
}

// Close closes the connection and removes it from the count.
func (countedconn *countedConn) Close() error {
	countedconn.closeOnce.Do(func() {
		countedconn.listener.remove(countedconn)
		countedconn.replica.removeConnection()
	})
	return countedconn.Conn.Close()
}

// handleHealth writes the last health report. It makes a new one first if the last
// one is as old as HealthLag.
func (replica *Replica) handleHealth(writer http.ResponseWriter, _ *http.Request) {
	replica.mutex.Lock()
	if now := time.Now(); now.Sub(replica.healthTime) >= replica.config.HealthLag {
		replica.healthTime = now
		replica.health = api.ReplicaHealth{
			IsLeaving:     replica.faults.IsLeaving && !replica.faults.HideLeaving,
			IsCold:        now.Before(replica.coldUntil),
			InFlight:      replica.slotsInUse,
			Queued:        len(replica.slotQueue),
			HeldSnapshots: replica.snapshots,
		}
	}
	health := replica.health
	replica.counts.HealthChecks++
	coldLeft := time.Until(replica.coldUntil)
	replica.mutex.Unlock()
	writer.Header().Set(wire.DefaultHeaderNames.Responder, replica.Name)
	if coldLeft > 0 {
		writer.Header().Set(wire.DefaultHeaderNames.Cold, strconv.FormatInt(coldLeft.Milliseconds(), 10))
	}
	wire.WriteJSON(writer, http.StatusOK, health)
}

func (replica *Replica) handleFaults(writer http.ResponseWriter, request *http.Request) {
	applyJSON(writer, request, replica.SetFaults)
}

func (replica *Replica) handleSnapshots(writer http.ResponseWriter, request *http.Request) {
	applyJSON(writer, request, func(snapshots []uint64) { replica.SetSnapshots(snapshots...) })
}

func (replica *Replica) handleShards(writer http.ResponseWriter, request *http.Request) {
	applyJSON(writer, request, replica.SetShards)
}

// applyJSON decodes the JSON body of request, passes it to apply and returns it to
// the client.
func applyJSON[V any](writer http.ResponseWriter, request *http.Request, apply func(V)) {
	var value V
	if err := json.NewDecoder(request.Body).Decode(&value); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	apply(value)
	wire.WriteJSON(writer, http.StatusOK, value)
}

func (replica *Replica) handleCounts(writer http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(writer, http.StatusOK, replica.Counts())
}
