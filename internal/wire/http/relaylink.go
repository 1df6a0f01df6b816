package http

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	schedule "github.com/mimosaspring/mimosaspring/internal/schedule/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/state/waitqueue"
)

// Timeouts and limits of the connections over which requests are relayed.
const (
	// relayDialTimeout bounds the time to open a connection. It is several times
	// the sum of the latency to the farthest replica and the 6 ms that a
	// connection slot may take.
	relayDialTimeout = 300 * time.Millisecond
	// relayUserTimeout is the time after which a connection is closed if its sent
	// bytes are not acknowledged, for example because the peer lost power.
	relayUserTimeout = 2 * time.Second
	// relayReserveDivisor sets the part of a replica's connection limit that stays
	// free for instances that join or restart: one in relayReserveDivisor
	// connections.
	relayReserveDivisor = 12
	// relayCommandReuse is how long after its last answer a connection may carry a
	// command. A command is not idempotent and needs a connection that has
	// recently worked.
	relayCommandReuse = time.Second
	// relayIdleTimeout is how long an idle connection is kept if the replica sends
	// no Keep-Alive timeout.
	relayIdleTimeout = 30 * time.Second
	// relayIdleMargin is how long before the replica's Keep-Alive timeout an idle
	// connection is no longer used.
	relayIdleMargin = 300 * time.Millisecond
)

// ErrAnsweredBefore reports an attempt that was not sent because its query was
// answered first.
var ErrAnsweredBefore = errors.New("the query was answered before the attempt was sent")

// RelayLink holds the HTTP/1.1 connections to one replica of the relay protocol.
// Each connection carries one request at a time. Its methods may be called
// concurrently.
type RelayLink struct {
	names    *HeaderNames
	address  string
	replica  string
	upstream api.Upstream
	stats    *view.ReplicaStats
	// guard accounts for answers; nil does not.
	guard *caller.Guard

	// mutex guards the fields below.
	mutex sync.Mutex
	// maxConnections is the number of connections that the link may hold open.
	maxConnections int
	// mayExceedLimit is set if this instance has no share of the replica's connections,
	// and there may be more such instances than connections that are kept free.
	mayExceedLimit bool
	// openCount counts the open connections and those that may be opened because
	// reserve returned nil.
	openCount int
	idleConns []*relayConn
	// waiters holds the requests that wait for a connection. Each receives a
	// connection, or nil if it may open one.
	waiters  waitqueue.Queue[*relayConn, waitqueue.Order]
	isClosed bool
	// resetAt is when the replica last reset a new connection, and resetAfter how
	// long after that was opened.
	resetAt    time.Time
	resetAfter time.Duration
	// isPreconnecting is set while Preconnect opens a connection.
	isPreconnecting bool
}

// RelayLinkOption changes how the links of RelayLinkOpener work.
type RelayLinkOption func(relaylink *RelayLink)

// WithOrder makes requests that wait for a connection wait in an order that newOrder
// returns for each link. The default is the order by rank.
func WithOrder(newOrder func() waitqueue.Order) RelayLinkOption {
	return func(relaylink *RelayLink) { relaylink.waiters.Order = newOrder() }
}

// WithReplyMemory makes guard account for the replicas' answers while they are read and
// until the request that gets them ends.
func WithReplyMemory(guard *caller.Guard) RelayLinkOption {
	return func(relaylink *RelayLink) { relaylink.guard = guard }
}

// RelayLinkOpener returns a function that opens a link with the given header names.
// It is a value for Links.Open.
func RelayLinkOpener(names *HeaderNames, options ...RelayLinkOption) func(*view.Replica, int) *RelayLink {
	return func(replica *view.Replica, instances int) *RelayLink {
		relaylink := &RelayLink{names: names, address: replica.Instance.Address, replica: replica.Instance.Name, upstream: replica.Upstream, stats: replica.Stats}
		relaylink.waiters.Order = schedule.RankOrder{}
		for _, option := range options {
			option(relaylink)
		}
		relaylink.LimitConnections(instances, false)
		return relaylink
	}
}

// LimitConnections limits the number of open connections. A home gets its share of
// the replica's connections, but no more than the replica has slots: requests on
// further connections would wait at the replica, in the order of their arrival,
// instead of here, where they wait in the order of their priority. An
// instance that is not a home, or does not know yet whether it is one, gets a
// single connection; otherwise instances that start at the same time would take
// each replica's connections from one another.
func (relaylink *RelayLink) LimitConnections(instances int, isHome bool) {
	relaylink.mutex.Lock()
	defer relaylink.mutex.Unlock()
	relaylink.mayExceedLimit = !isHome && instances > relaylink.upstream.ConnectionLimit/relayReserveDivisor
	if !isHome {
		relaylink.maxConnections = 1
		return
	}
	share := connectionShare(relaylink.upstream, instances, relayReserveDivisor)
	relaylink.maxConnections = min(share, max(relaylink.upstream.Slots, 1))
}

// HealthCheckedLink returns nil: a connection carries one request at a time, so no
// health check can run beside an attempt.
func (relaylink *RelayLink) HealthCheckedLink() *Link { return nil }

// Close closes the idle connections, and makes release close each of the others
// after its answer.
func (relaylink *RelayLink) Close() {
	relaylink.mutex.Lock()
	idleConns := relaylink.idleConns
	relaylink.idleConns = nil
	relaylink.openCount -= len(idleConns)
	relaylink.isClosed = true
	relaylink.mutex.Unlock()
	for _, conn := range idleConns {
		conn.close()
	}
}

// Send sends one attempt and reads the complete reply. Its errors are of type
// *SendError.
func (relaylink *RelayLink) Send(ctx context.Context, attempt api.Attempt) (api.Reply, error) {
	attempt.Run.Remove()
	conn, err := relaylink.acquire(ctx, attempt)
	if err != nil {
		return api.Reply{}, &SendError{Step: "connect to", Peer: relaylink.address, Cause: err}
	}
	if ctx.Err() != nil {
		relaylink.release(conn)
		return api.Reply{}, &SendError{Step: "send to", Peer: relaylink.address, Cause: context.Cause(ctx)}
	}
	if err := takeRequest(relaylink.stats); err != nil {
		relaylink.release(conn)
		return api.Reply{}, &SendError{Step: "send to", Peer: relaylink.address, Cause: err}
	}
	if !attempt.Run.Add() {
		relaylink.release(conn)
		return api.Reply{}, &SendError{Step: "send to", Peer: relaylink.address, Cause: ErrAnsweredBefore}
	}
	recordSent(relaylink.stats)
	request := encodeRelayedRequest(relaylink.names, attempt)
	response, err := conn.exchange(ctx, request)
	// The next attempt on the connection must know what the answer says.
	defer relaylink.release(conn)
	if err != nil {
		relaylink.observeFailure(conn, err)
		var writeerror *writeError
		isUnsent := errors.As(err, &writeerror) && writeerror.isUnsent
		return api.Reply{}, &SendError{Step: "exchange with", Peer: relaylink.address, MayHaveRun: !isUnsent, Cause: err}
	}
	reply := decodeRelayedResponse(relaylink.names, attempt, response)
	observeAcceptance(relaylink.stats, reply)
	if reply.Status != api.ReplyDone {
		reply.Exchange = conn.exchangeName()
		conn.recordUndone(attempt)
	}
	return reply, nil
}

// acquire returns a connection for one request: an idle one, a new one within the
// link's limit, or one that another request releases. The caller releases it.
func (relaylink *RelayLink) acquire(ctx context.Context, attempt api.Attempt) (*relayConn, error) {
	conn, err := relaylink.reserve(ctx, attempt)
	if err != nil {
		return nil, err
	}
	for conn != nil && !conn.isUsable(attempt) {
		conn.close()
		conn = relaylink.replaceClosed(attempt)
	}
	if conn != nil {
		return conn, nil
	}
	conn, err = relaylink.dial(ctx)
	if err != nil {
		relaylink.release(nil)
		return nil, err
	}
	if conn.isResetWithin(relaylink.resetWait()) {
		relaylink.observeReset(time.Since(conn.openedAt))
		conn.close()
		relaylink.release(nil)
		return nil, ErrResetBefore
	}
	return conn, nil
}

// ErrResetBefore reports that a replica closed a new connection before a request was
// sent on it.
var ErrResetBefore = errors.New("the replica reset the new connection")

const (
	// resetMemory is how long after a replica has reset a new connection the link
	// waits for the same on the next ones before it sends a request.
	resetMemory = 10 * time.Second
	// resetWaitFactor is the wait as a multiple of the time that the last reset
	// took. maxResetWait bounds it; a reset after more than that is not awaited.
	resetWaitFactor = 1.5
	maxResetWait    = 12 * time.Millisecond
	// guestResetWait is the least wait of an instance without a share of the replica's
	// connections, unless there is room for all of them. A replica takes several
	// milliseconds to accept or reset one.
	guestResetWait = 8 * time.Millisecond
)

// observeFailure records that the replica has reset the connection if err says so and the
// failed exchange was the first one.
func (relaylink *RelayLink) observeFailure(conn *relayConn, err error) {
	if conn.lastAnswer.IsZero() && isReset(err) {
		relaylink.observeReset(time.Since(conn.openedAt))
	}
}

// observeReset records that the replica has reset a new connection the given time after
// it was opened, as it does with those beyond its limit.
func (relaylink *RelayLink) observeReset(after time.Duration) {
	relaylink.mutex.Lock()
	defer relaylink.mutex.Unlock()
	relaylink.resetAt = time.Now()
	relaylink.resetAfter = after
}

// resetWait returns how long to wait for a reset of a new connection before a request is
// sent on it; 0 if none is to be expected.
func (relaylink *RelayLink) resetWait() time.Duration {
	relaylink.mutex.Lock()
	defer relaylink.mutex.Unlock()
	wait := time.Duration(0)
	if relaylink.mayExceedLimit {
		wait = guestResetWait
	}
	if time.Since(relaylink.resetAt) <= resetMemory && relaylink.resetAfter <= maxResetWait {
		wait = max(wait, min(time.Duration(resetWaitFactor*float64(relaylink.resetAfter)), maxResetWait))
	}
	return wait
}

// reserve returns an idle connection, or nil if the caller may open one. If the
// link is at its limit, it returns an idle connection even if that may not carry
// attempt, or waits in the order of priority until a connection is released or ctx is
// done.
func (relaylink *RelayLink) reserve(ctx context.Context, attempt api.Attempt) (*relayConn, error) {
	relaylink.mutex.Lock()
	if conn := relaylink.popIdle(attempt); conn != nil {
		relaylink.mutex.Unlock()
		return conn, nil
	}
	if relaylink.openCount < relaylink.maxConnections {
		relaylink.openCount++
		relaylink.mutex.Unlock()
		return nil, nil
	}
	if len(relaylink.idleConns) > 0 {
		// None of them may carry attempt. acquire closes this one and opens another.
		conn := relaylink.removeIdle(0)
		relaylink.mutex.Unlock()
		return conn, nil
	}
	behind, since := relaylink.waiters.Len(), time.Now()
	waiter := relaylink.waiters.Add(waitqueue.Priority{Class: attempt.Priority, TargetTime: attempt.TargetTime, Rank: attempt.Rank})
	relaylink.mutex.Unlock()
	defer func() { attempt.Run.Queue(behind, time.Since(since)) }()
	select {
	case conn := <-waiter.Ready:
		return conn, nil
	case <-ctx.Done():
		relaylink.cancelWait(waiter)
		return nil, context.Cause(ctx)
	}
}

// popIdle removes and returns the idle connection that was used last among those that
// may carry attempt, or returns nil if there is none. The caller holds the mutex.
func (relaylink *RelayLink) popIdle(attempt api.Attempt) *relayConn {
	for index, conn := range slices.Backward(relaylink.idleConns) {
		if conn.mayCarry(attempt) {
			return relaylink.removeIdle(index)
		}
	}
	return nil
}

// removeIdle removes and returns the idle connection at index. The caller holds the
// mutex.
func (relaylink *RelayLink) removeIdle(index int) *relayConn {
	conn := relaylink.idleConns[index]
	relaylink.idleConns = slices.Delete(relaylink.idleConns, index, index+1)
	return conn
}

// replaceClosed returns an idle connection in place of one that acquire closed, or
// nil if none may carry attempt and the caller may open one.
func (relaylink *RelayLink) replaceClosed(attempt api.Attempt) *relayConn {
	relaylink.mutex.Lock()
	defer relaylink.mutex.Unlock()
	conn := relaylink.popIdle(attempt)
	if conn != nil {
		relaylink.openCount--
	}
	return conn
}

// cancelWait removes waiter from the queue. If waiter has received a connection, or
// the permission to open one, in the meantime, cancelWait releases it.
func (relaylink *RelayLink) cancelWait(waiter *waitqueue.Waiter[*relayConn]) {
	relaylink.mutex.Lock()
	isWaiting := relaylink.waiters.Remove(waiter)
	relaylink.mutex.Unlock()
	if !isWaiting {
		relaylink.release(<-waiter.Ready)
	}
}

// release returns a connection to the link, or, if conn is nil, the permission to
// open one. It goes to the next waiter, unless the link is above its limit or none
// waits. Otherwise the connection becomes idle, or is closed if the link is closed
// or above its limit.
func (relaylink *RelayLink) release(conn *relayConn) {
	if conn != nil && conn.mustClose {
		conn.close()
		conn = nil
	}
	relaylink.mutex.Lock()
	defer relaylink.mutex.Unlock()
	switch {
	case relaylink.waiters.Len() > 0 && relaylink.openCount <= relaylink.maxConnections:
		relaylink.waiters.Next(relaylink.turn()).Ready <- conn
	case conn == nil:
		relaylink.openCount--
	case relaylink.isClosed || relaylink.openCount > relaylink.maxConnections:
		relaylink.openCount--
		conn.close()
	default:
		relaylink.idleConns = append(relaylink.idleConns, conn)
	}
}

// turn describes a turn of the requests that wait.
func (relaylink *RelayLink) turn() waitqueue.Turn {
	return waitqueue.Turn{Now: time.Now(), ExpectedLatency: relaylink.stats.ExpectedLatency(view.MonotonicNow())}
}

// Preconnect opens one connection in the background if the link has fewer
// connections than the replica has slots. It does not wait for the connection.
func (relaylink *RelayLink) Preconnect() {
	relaylink.mutex.Lock()
	defer relaylink.mutex.Unlock()
	isNeeded := relaylink.openCount < min(relaylink.upstream.Slots, relaylink.maxConnections) && !relaylink.isClosed
	if !isNeeded || relaylink.isPreconnecting || checkAcceptsRequests(relaylink.stats) != nil {
		return
	}
	relaylink.openCount++
	relaylink.isPreconnecting = true
	go relaylink.run()
}

// run opens the connection that Preconnect requested.
func (relaylink *RelayLink) run() {
	ctx, cancel := context.WithTimeout(context.Background(), relayDialTimeout)
	defer cancel()
	conn, err := relaylink.dial(ctx)
	if err != nil {
		conn = nil
	}
	relaylink.release(conn)
	relaylink.mutex.Lock()
	defer relaylink.mutex.Unlock()
	relaylink.isPreconnecting = false
}

// dial opens a connection with TCP_USER_TIMEOUT set and TCP keep-alive disabled.
func (relaylink *RelayLink) dial(ctx context.Context) (*relayConn, error) {
	dialer := net.Dialer{Timeout: relayDialTimeout, KeepAlive: -1, ControlContext: setUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", relaylink.address)
	if err != nil {
		return nil, err
	}
	relayconn := newRelayConn(conn.(*net.TCPConn))
	relayconn.limit.account.Guard = relaylink.guard
	relayconn.reusableUntil = time.Now().Add(relayIdleTimeout)
	return relayconn, nil
}
