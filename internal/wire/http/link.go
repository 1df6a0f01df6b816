package http

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Timeouts and limits of connections to replicas.
const (
	dialTimeout = 500 * time.Millisecond
	// pingAfter is the time without received bytes after which HTTP/2 sends a
	// ping.
	pingAfter       = time.Second
	pingTimeout     = 500 * time.Millisecond
	idleConnTimeout = 60 * time.Second
	// connectionReserveDivisor sets the part of a replica's connection limit that
	// stays free while instances replace one another: one in
	// connectionReserveDivisor connections.
	connectionReserveDivisor = 4
	// maxHealthBytes bounds the body of the answer to a health check.
	maxHealthBytes = 64 << 10
	// maxHeadBytes bounds the head of a reply. The default of net/http is 10 MB.
	maxHeadBytes = 16 << 10
)

// connectionShare returns how many connections one instance may open to a replica
// of upstream when the given number of instances share the replica's connection
// limit. One in reserveDivisor connections is kept free. The result is at least 1.
func connectionShare(upstream api.Upstream, instances, reserveDivisor int) int {
	usable := upstream.ConnectionLimit - upstream.ConnectionLimit/reserveDivisor
	return max(usable/max(instances, 1), 1)
}

// SendError reports an attempt or a health check without a usable reply.
type SendError struct {
	// Step is what failed, such as "send to"; the text of the error continues with
	// the replica.
	Step string
	// Peer is the address of the replica.
	Peer string
	// MayHaveRun is false for an attempt only if no byte of it was sent. For a health
	// check it is always false.
	MayHaveRun bool
	// Cause is the underlying error.
	Cause error
}

// Error returns the step, the peer and the cause.
func (senderror *SendError) Error() string {
	return senderror.Step + " replica " + senderror.Peer + ": " + senderror.Cause.Error()
}

// Unwrap returns the cause.
func (senderror *SendError) Unwrap() error { return senderror.Cause }

// IsUnreachable reports whether err says that the replica accepted no connection. A
// replica that resets one, because it is beyond its limit or idle, still runs.
func IsUnreachable(err error) bool {
	var senderror *SendError
	if !errors.As(err, &senderror) || senderror.MayHaveRun {
		return false
	}
	var writeerror *writeError
	isReached := errors.Is(err, ErrResetBefore) || errors.As(err, &writeerror)
	return !isReached && !errors.Is(err, ErrNotAccepting) && !errors.Is(err, ErrAnsweredBefore)
}

// Link holds the connections to one replica of the project's own upstream
// protocol, over HTTP/1.1 or HTTP/2. Its methods may be called concurrently.
type Link struct {
	address  string
	protocol string
	// stats are those of the replica; nil if the link belongs to none.
	stats *view.ReplicaStats
	// guard accounts for replies; nil does not.
	guard          *caller.Guard
	maxConnections int
	// lastReceived is the time since view.MonotonicOrigin, in nanoseconds, at which
	// bytes last arrived.
	lastReceived atomic.Int64
	// mutex serializes renewals.
	mutex     sync.Mutex
	transport atomic.Pointer[http.Transport]
	// lastRenewal is the time since view.MonotonicOrigin, in nanoseconds, of the last
	// renewal; 0 if there was none.
	lastRenewal atomic.Int64
	isChecking  atomic.Bool
}

// LinkOpener returns a function that opens a link whose replies guard accounts for; nil
// does not. It is a value for Links.Open.
func LinkOpener(guard *caller.Guard) func(replica *view.Replica, instances int) *Link {
	return func(replica *view.Replica, instances int) *Link {
		link := NewLink(replica.Instance.Address, replica.Upstream, instances)
		link.stats, link.guard = replica.Stats, guard
		return link
	}
}

// NewLink returns a link to the replica at address. The link opens connections on
// demand, up to its share of the replica's connection limit, which the given number
// of instances share.
func NewLink(address string, upstream api.Upstream, instances int) *Link {
	link := &Link{
		address:        address,
		protocol:       upstream.Protocol,
		maxConnections: connectionShare(upstream, instances, connectionReserveDivisor),
	}
	link.transport.Store(link.newTransport())
	return link
}

func (link *Link) newTransport() *http.Transport {
	protocols := new(http.Protocols)
	if link.protocol == api.ProtocolHTTP1 {
		protocols.SetHTTP1(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Transport{
		Protocols:              protocols,
		DialContext:            link.dial,
		MaxConnsPerHost:        link.maxConnections,
		MaxIdleConnsPerHost:    link.maxConnections,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}

func (link *Link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &receiveTimeConn{Conn: conn, lastReceived: &link.lastReceived}, nil
}

// receiveTimeConn is a connection that records when bytes last arrived.
type receiveTimeConn struct {
	net.Conn
	lastReceived *atomic.Int64
}

// Read reads from the connection and records the time if it returns any bytes.
func (receivetimeconn *receiveTimeConn) Read(buffer []byte) (int, error) {
	n, err := receivetimeconn.Conn.Read(buffer)
	if n > 0 {
		receivetimeconn.lastReceived.Store(int64(view.MonotonicNow()))
	}
	return n, err
}

// LastReceived returns the time since view.MonotonicOrigin at which bytes last
// arrived, or 0 if none have arrived yet.
func (link *Link) LastReceived() time.Duration { return time.Duration(link.lastReceived.Load()) }

// BeginCheck reports whether the caller may start a health check of the
// connection. Only one check runs at a time. If the result is true, the caller
// calls EndCheck after the check.
func (link *Link) BeginCheck() bool { return link.isChecking.CompareAndSwap(false, true) }

// EndCheck ends the check that BeginCheck allowed.
func (link *Link) EndCheck() { link.isChecking.Store(false) }

// minRenewInterval is the minimum time between two renewals of a link.
const minRenewInterval = time.Second

// Renew makes later attempts use new connections. It does nothing if the link was
// renewed after the given time since view.MonotonicOrigin, or less than
// minRenewInterval ago.
func (link *Link) Renew(after time.Duration) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	now := view.MonotonicNow()
	lastRenewal := time.Duration(link.lastRenewal.Load())
	if lastRenewal > 0 && (lastRenewal > after || now-lastRenewal < minRenewInterval) {
		return
	}
	link.lastRenewal.Store(int64(now))
	oldTransport := link.transport.Swap(link.newTransport())
	oldTransport.CloseIdleConnections()
}

// LimitConnections does nothing: the limit is set when the transport is created.
func (link *Link) LimitConnections(int, bool) {}

// Preconnect does nothing: an HTTP/2 connection carries all requests.
func (link *Link) Preconnect() {}

// HealthCheckedLink returns the link itself: its connection carries several
// requests, so a health check can run beside an attempt.
func (link *Link) HealthCheckedLink() *Link { return link }

// Close closes the idle connections.
func (link *Link) Close() { link.transport.Load().CloseIdleConnections() }

// Send sends one attempt and reads the complete reply. Its errors are of type
// *SendError.
func (link *Link) Send(ctx context.Context, attempt api.Attempt) (api.Reply, error) {
	if err := takeRequest(link.stats); err != nil {
		return api.Reply{}, &SendError{Step: "send to", Peer: link.address, Cause: err}
	}
	used := &usedConn{}
	request, err := newUpstreamRequest(used.observe(ctx), link.address, attempt)
	if err != nil {
		return api.Reply{}, &SendError{Step: "build request for", Peer: link.address, Cause: err}
	}
	response, err := link.transport.Load().RoundTrip(request)
	if err != nil {
		return api.Reply{}, &SendError{Step: "send to", Peer: link.address, MayHaveRun: used.isSet(), Cause: err}
	}
	defer response.Body.Close()
	if err := link.match(response, attempt.Identity, used); err != nil {
		return api.Reply{}, &SendError{Step: "match reply of", Peer: link.address, MayHaveRun: true, Cause: err}
	}
	account := &caller.ReplyAccount{Guard: link.guard, FreeBytes: replyBodyBytesFactor * freeReplyBytes}
	reply, err := decodeReply(response, account)
	account.MoveTo(caller.AccountFrom(ctx))
	if err != nil {
		return reply, &SendError{Step: "read reply of", Peer: link.address, MayHaveRun: true, Cause: err}
	}
	observeAcceptance(link.stats, reply)
	return reply, nil
}

// match checks that response has a valid status and belongs to the attempt with the given
// identity, or to a health check if that is empty. Otherwise it returns an error, and
// closes an HTTP/1.1 connection, on which the response due to this request would be read
// for the next one. Over HTTP/2, a response cannot leave its own stream.
func (link *Link) match(response *http.Response, identity string, used *usedConn) error {
	err := checkStatus(response.StatusCode)
	if found := response.Header.Get(headerAttempt); err == nil && found != identity {
		err = errors.Errorf("response to attempt %q", found)
	}
	if err != nil && link.protocol == api.ProtocolHTTP1 {
		used.close()
	}
	return err
}

// Health requests the replica's health endpoint. Its errors are of type
// *SendError.
func (link *Link) Health(ctx context.Context) (api.ReplicaHealth, error) {
	var health api.ReplicaHealth
	used := &usedConn{}
	request, err := http.NewRequestWithContext(used.observe(ctx), http.MethodGet, "http://"+link.address+HealthPath, nil)
	if err != nil {
		return health, &SendError{Step: "build health check of", Peer: link.address, Cause: err}
	}
	response, err := link.transport.Load().RoundTrip(request)
	if err != nil {
		return health, &SendError{Step: "check health of", Peer: link.address, Cause: err}
	}
	defer response.Body.Close()
	if err := link.match(response, "", used); err != nil {
		return health, &SendError{Step: "match health of", Peer: link.address, Cause: err}
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxHealthBytes)).Decode(&health); err != nil {
		return health, &SendError{Step: "read health of", Peer: link.address, Cause: err}
	}
	return health, nil
}
