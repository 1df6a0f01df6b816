package tcp

import (
	"context"
	"net"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
)

// Listener accepts connections that are accounted for by a guard.
type Listener struct {
	net.Listener
	// Name is the listener's name in the limits of the guard.
	Name     string
	Guard    *caller.Guard
	Timeouts Timeouts

	// ctx ends when the listener closes.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewListener returns a listener for the connections of inner.
func NewListener(inner net.Listener, name string, guard *caller.Guard, timeouts Timeouts) *Listener {
	listener := &Listener{Listener: inner, Name: name, Guard: guard, Timeouts: timeouts}
	listener.ctx, listener.cancel = context.WithCancel(context.Background())
	return listener
}

// Accept returns the next connection that the guard does not refuse, a *Conn.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: inner, guard: listener.Guard, timeouts: listener.Timeouts}
		conn.holder = listener.Guard.Open(conn, listener.Name, listener.ctx.Done())
		if conn.holder != nil {
			return conn, nil
		}
		_ = inner.Close()
	}
}

// Close closes the listener. An Accept under way returns, also while it waits for memory.
func (listener *Listener) Close() error {
	listener.cancel()
	return listener.Listener.Close()
}
