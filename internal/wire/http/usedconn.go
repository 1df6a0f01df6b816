package http

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// usedConn is the connection that an http.Transport chose for one request.
type usedConn struct{ conn atomic.Pointer[net.Conn] }

// observe returns a context for the request that sets usedconn.
func (usedconn *usedConn) observe(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { usedconn.conn.Store(&info.Conn) },
		Got1xxResponse: checkInterim,
	})
}

// isSet reports whether the request was given a connection.
func (usedconn *usedConn) isSet() bool { return usedconn.conn.Load() != nil }

// close closes the connection, so that no other request uses it.
func (usedconn *usedConn) close() {
	if conn := usedconn.conn.Load(); conn != nil {
		_ = (*conn).Close()
	}
}
