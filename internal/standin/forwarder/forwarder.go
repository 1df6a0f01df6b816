// Package forwarder is a small stand-in for what lies between two ends of a
// TCP connection. On order it swallows the bytes of all open connections and
// keeps them open, while new ones work.
package forwarder

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Forwarder forwards TCP connections to one address.
type Forwarder struct {
	Address  string
	to       string
	listener net.Listener
	mutex    sync.Mutex
	open     map[*pair]bool
	// AcceptedConnections counts the connections so far.
	AcceptedConnections atomic.Int64
}

// Listen forwards connections to address on to the address to.
func Listen(address, to string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for connections")
	}
	forwarder := &Forwarder{Address: listener.Addr().String(), to: to, listener: listener, open: make(map[*pair]bool)}
	go forwarder.run()
	return forwarder, nil
}

func (forwarder *Forwarder) run() {
	for {
		near, err := forwarder.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", forwarder.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		forwarder.AcceptedConnections.Add(1)
		forwarder.join(near, far)
	}
}

func (forwarder *Forwarder) join(near, far net.Conn) {
	pair := &pair{near: near, far: far}
	forwarder.mutex.Lock()
	forwarder.open[pair] = true
	forwarder.mutex.Unlock()
	there := &copier{pair: pair, from: near, to: far}
	back := &copier{pair: pair, from: far, to: near}
	go there.run()
	go back.run()
}

// BlackholeConnections makes every open connection swallow its bytes for good.
func (forwarder *Forwarder) BlackholeConnections() {
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	for pair := range forwarder.open {
		pair.silent.Store(true)
	}
}

// Close ends the forwarder and all connections.
func (forwarder *Forwarder) Close() {
	_ = forwarder.listener.Close()
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	for pair := range forwarder.open {
		_ = pair.near.Close()
		_ = pair.far.Close()
	}
}

// pair is one forwarded connection.
type pair struct {
	near, far net.Conn
	silent    atomic.Bool
}

// copier copies one direction of a pair.
type copier struct {
	pair     *pair
	from, to net.Conn
}

const bufferBytes = 32 << 10

func (copier *copier) run() {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := copier.from.Read(buffer)
		if n > 0 && !copier.pair.silent.Load() {
			if _, err := copier.to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if copier.pair.silent.Load() {
		return
	}
	_ = copier.from.Close()
	_ = copier.to.Close()
}
