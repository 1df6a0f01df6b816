package http

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/state/waitqueue"
)

// Times and sizes of the connections over which requests are relayed.
const (
	// relayDialTimeout bounds the wait for a connection. It is several times
	// the distance to the farthest replica and the 6 ms that a slot may take.
	relayDialTimeout = 300 * time.Millisecond
	// relayUserTimeout ends a connection whose bytes are not acknowledged, as
	// when the peer lost power.
	relayUserTimeout = 2 * time.Second
	// relayReserve is the part of a replica's connection limit that is kept
	// back for instances that join or restart, as one in so many.
	relayReserve = 12
	// relayBeyondSlots is how many more connections than the replica's slots a
	// link opens at most. More would only wait at the replica rather than here.
	relayBeyondSlots = 2
	// relayFresh is how long after an answer a connection may carry a
	// non-idempotent request without being opened anew.
	relayFresh = time.Second
	// relayIdle is how long a connection is kept without a request where the
	// replica does not say.
	relayIdle = 30 * time.Second
	// relayIdleMargin is how much earlier than the replica the link closes.
	relayIdleMargin = 300 * time.Millisecond
)

// RelayLink holds the HTTP/1.1 connections to one replica of the relay
// protocol. Each carries one request at a time.
type RelayLink struct {
	names    *Names
	address  string
	upstream api.Upstream

	mutex sync.Mutex
	// most is how many connections the link may hold open.
	most int
	open int
	idle []*relayConn
	// waiting holds those that wait for a connection. They receive one, or nil
	// for the right to open one.
	waiting  waitqueue.Queue[*relayConn]
	isClosed bool
	// isWarming is set while a connection is opened ahead.
	isWarming bool
}

// OpenRelayLink returns the function that Links asks for a link whose headers
// have the given names.
func OpenRelayLink(names *Names) func(*view.Replica, int) *RelayLink {
	return func(replica *view.Replica, instances int) *RelayLink {
		relaylink := &RelayLink{names: names, address: replica.Instance.Address, upstream: replica.Upstream}
		relaylink.Share(instances, false)
		return relaylink
	}
}

// Share sets the link's share of the replica's connections: for a home to that
// of one of so many instances, within what the replica's slots can use, for
// others, and until it is known, to a single one. Instances that all start at
// once would otherwise take each replica's connections from one another.
func (relaylink *RelayLink) Share(instances int, isHome bool) {
	relaylink.mutex.Lock()
	defer relaylink.mutex.Unlock()
	if !isHome {
		relaylink.most = 1
		return
	}
	share := shareOf(relaylink.upstream, instances, relayReserve)
	relaylink.most = min(share, max(relaylink.upstream.Slots, 1)+relayBeyondSlots)
}

// Checked returns nil: a connection carries one request at a time.
func (relaylink *RelayLink) Checked() *Link { return nil }

// Close ends the idle connections, and each of the others after its answer.
func (relaylink *RelayLink) Close() {
	relaylink.mutex.Lock()
	idle := relaylink.idle
	relaylink.idle = nil
	relaylink.open -= len(idle)
	relaylink.isClosed = true
	relaylink.mutex.Unlock()
	for _, conn := range idle {
		conn.close()
	}
}

// Send sends one attempt and reads the whole reply. The error is a
// *SendError.
func (relaylink *RelayLink) Send(ctx context.Context, attempt api.Attempt) (api.Reply, error) {
	conn, err := relaylink.acquire(ctx, attempt)
	if err != nil {
		return api.Reply{}, &SendError{Step: "connect to", Peer: relaylink.address, Cause: err}
	}
	request := encodeRelayed(relaylink.names, attempt)
	response, err := conn.exchange(ctx, request)
	relaylink.release(conn)
	if err != nil {
		return api.Reply{}, &SendError{Step: "exchange with", Peer: relaylink.address, MayHaveRun: true, Cause: err}
	}
	return decodeRelayed(relaylink.names, attempt, response), nil
}

// acquire returns a connection for one request: an idle one, or a new one
// within the link's share, or one that another request gives back.
func (relaylink *RelayLink) acquire(ctx context.Context, attempt api.Attempt) (*relayConn, error) {
	conn, err := relaylink.take(ctx, waitqueue.Priority{Target: attempt.TargetTime, Rank: attempt.Rank})
	if err != nil {
		return nil, err
	}
	for conn != nil && !conn.isUsable(attempt.IsCommand) {
		conn.close()
		conn = relaylink.nextIdle()
	}
	if conn != nil {
		return conn, nil
	}
	conn, err = relaylink.dial(ctx)
	if err != nil {
		relaylink.release(nil)
	}
	return conn, err
}

// take returns an idle connection, or nil for the right to open one.
func (relaylink *RelayLink) take(ctx context.Context, claim waitqueue.Priority) (*relayConn, error) {
	relaylink.mutex.Lock()
	if conn := relaylink.popIdle(); conn != nil {
		relaylink.mutex.Unlock()
		return conn, nil
	}
	if relaylink.open < relaylink.most {
		relaylink.open++
		relaylink.mutex.Unlock()
		return nil, nil
	}
	waiter := relaylink.waiting.Add(claim)
	relaylink.mutex.Unlock()
	select {
	case conn := <-waiter.Ready:
		return conn, nil
	case <-ctx.Done():
		relaylink.leave(waiter)
		return nil, context.Cause(ctx)
	}
}

// popIdle returns the connection that was used last; nil where none is idle.
func (relaylink *RelayLink) popIdle() *relayConn {
	last := len(relaylink.idle) - 1
	if last < 0 {
		return nil
	}
	conn := relaylink.idle[last]
	relaylink.idle = relaylink.idle[:last]
	return conn
}

// nextIdle replaces a connection that was closed by an idle one. It returns
// nil, for the right to open one, where none is idle.
func (relaylink *RelayLink) nextIdle() *relayConn {
	relaylink.mutex.Lock()
	defer relaylink.mutex.Unlock()
	conn := relaylink.popIdle()
	if conn != nil {
		relaylink.open--
	}
	return conn
}

// leave gives up a wait, and what was handed over meanwhile.
func (relaylink *RelayLink) leave(waiter *waitqueue.Waiter[*relayConn]) {
	relaylink.mutex.Lock()
	isWaiting := relaylink.waiting.Remove(waiter)
	relaylink.mutex.Unlock()
	if !isWaiting {
		relaylink.release(<-waiter.Ready)
	}
}

// release gives back a connection, or with nil the right to open one.
func (relaylink *RelayLink) release(conn *relayConn) {
	if conn != nil && conn.isSpent {
		conn.close()
		conn = nil
	}
	relaylink.mutex.Lock()
	defer relaylink.mutex.Unlock()
	switch {
	case relaylink.waiting.Len() > 0 && relaylink.open <= relaylink.most:
		relaylink.waiting.Next(time.Now()).Ready <- conn
	case conn == nil:
		relaylink.open--
	case relaylink.isClosed || relaylink.open > relaylink.most:
		relaylink.open--
		conn.close()
	default:
		relaylink.idle = append(relaylink.idle, conn)
	}
}

// Warm opens a connection where the link has fewer than the replica has slots.
// It returns at once.
func (relaylink *RelayLink) Warm() {
	relaylink.mutex.Lock()
	defer relaylink.mutex.Unlock()
	isNeeded := relaylink.open < min(relaylink.upstream.Slots, relaylink.most) && !relaylink.isClosed
	if !isNeeded || relaylink.isWarming {
		return
	}
	relaylink.open++
	relaylink.isWarming = true
	go relaylink.run()
}

// run opens the connection that Warm asked for.
func (relaylink *RelayLink) run() {
	ctx, cancel := context.WithTimeout(context.Background(), relayDialTimeout)
	defer cancel()
	conn, err := relaylink.dial(ctx)
	if err != nil {
		conn = nil
	} else {
		conn.idleUntil = time.Now().Add(relayIdle)
	}
	relaylink.release(conn)
	relaylink.mutex.Lock()
	defer relaylink.mutex.Unlock()
	relaylink.isWarming = false
}

func (relaylink *RelayLink) dial(ctx context.Context) (*relayConn, error) {
	dialer := net.Dialer{Timeout: relayDialTimeout, KeepAlive: -1, ControlContext: setUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", relaylink.address)
	if err != nil {
		return nil, err
	}
	return newRelayConn(conn.(*net.TCPConn)), nil
}
