// Package forwarder forwards TCP connections for tests. On request it drops all
// further bytes of the open connections without closing them, as a network
// partition does. New connections work.
package forwarder

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Forwarder forwards TCP connections to one address.
type Forwarder struct {
	// Address is the address that the forwarder listens on, with the port that
	// was assigned.
	Address  string
	target   string
	listener net.Listener
	// mutex guards connections.
	mutex sync.Mutex
	// connections holds all connections since the start.
	connections map[*connection]bool
	// ForwardedConnections counts the connections that were forwarded so far.
	ForwardedConnections atomic.Int64
}

// Listen accepts connections at address and forwards them to target until Close.
func Listen(address, target string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for connections")
	}
	forwarder := &Forwarder{Address: listener.Addr().String(), target: target, listener: listener, connections: make(map[*connection]bool)}
	go forwarder.run()
	return forwarder, nil
}

func (forwarder *Forwarder) run() {
	for {
		client, err := forwarder.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", forwarder.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		forwarder.ForwardedConnections.Add(1)
		forwarder.startCopying(client, server)
	}
}

// startCopying copies between client and server in both directions.
func (forwarder *Forwarder) startCopying(client, server net.Conn) {
	connection := &connection{client: client, server: server}
	forwarder.mutex.Lock()
	forwarder.connections[connection] = true
	forwarder.mutex.Unlock()
	toServer := &copier{connection: connection, source: client, destination: server}
	toClient := &copier{connection: connection, source: server, destination: client}
	go toServer.run()
	go toClient.run()
}

// BlackholeConnections drops all further bytes of the connections accepted so far
// and keeps them open until Close. It returns their number. Connections accepted
// later are not affected.
func (forwarder *Forwarder) BlackholeConnections() int {
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	for connection := range forwarder.connections {
		connection.isBlackholed.Store(true)
	}
	return len(forwarder.connections)
}

// Close stops the forwarder and closes all connections.
func (forwarder *Forwarder) Close() {
	_ = forwarder.listener.Close()
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	for connection := range forwarder.connections {
		_ = connection.client.Close()
		_ = connection.server.Close()
	}
}

// connection is one forwarded connection.
type connection struct {
	client, server net.Conn
	isBlackholed   atomic.Bool
}

// copier copies one direction of a connection.
type copier struct {
	connection          *connection
	source, destination net.Conn
}

const bufferBytes = 32 << 10

// run copies until an error. It then closes both sides, unless the connection is
// blackholed: the other side must not see that the connection has ended.
func (copier *copier) run() {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := copier.source.Read(buffer)
		if count > 0 && !copier.connection.isBlackholed.Load() {
			if _, err := copier.destination.Write(buffer[:count]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if copier.connection.isBlackholed.Load() {
		return
	}
	_ = copier.source.Close()
	_ = copier.destination.Close()
}
