package http

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Times of connections to replicas.
const (
	dialTimeout     = 500 * time.Millisecond
	pingAfter       = time.Second
	pingTimeout     = 500 * time.Millisecond
	idleConnTimeout = 60 * time.Second
	// connectionReserve is the part of a replica's limit that is kept back
	// for change-over between instances, as one in so many.
	connectionReserve = 4
)

// shareOf returns how many connections one of so many instances may open to a
// replica of upstream.
func shareOf(upstream api.Upstream, instances, reserve int) int {
	usable := upstream.ConnectionLimit - upstream.ConnectionLimit/reserve
	return max(usable/max(instances, 1), 1)
}

// SendError reports an attempt that got no reply, with the step and the peer.
type SendError struct {
	Step string
	Peer string
	// MayHaveRun is false only where no connection was obtained.
	MayHaveRun bool
	Cause      error
}

// Error names the step and the peer.
func (senderror *SendError) Error() string {
	return senderror.Step + " replica " + senderror.Peer + ": " + senderror.Cause.Error()
}

// Unwrap returns the cause.
func (senderror *SendError) Unwrap() error { return senderror.Cause }

// Link holds the connections to one replica.
type Link struct {
	address  string
	protocol string
	most     int
	heard    atomic.Int64
	mutex    sync.Mutex
	current  atomic.Pointer[http.Transport]
	renewed  atomic.Int64
	checking atomic.Bool
}

// OpenLink returns a link to replica, as Links asks for it.
func OpenLink(replica *view.Replica, instances int) *Link {
	return NewLink(replica.Instance.Address, replica.Upstream, instances)
}

// NewLink returns a link to a replica. It opens connections when needed, and
// at most its share of the replica's limit among instances.
func NewLink(address string, upstream api.Upstream, instances int) *Link {
	link := &Link{
		address:  address,
		protocol: upstream.Protocol,
		most:     shareOf(upstream, instances, connectionReserve),
	}
	link.current.Store(link.newTransport())
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
		Protocols:           protocols,
		DialContext:         link.dial,
		MaxConnsPerHost:     link.most,
		MaxIdleConnsPerHost: link.most,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}

func (link *Link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &heardConn{Conn: conn, heard: &link.heard}, nil
}

// heardConn records when bytes last arrived.
type heardConn struct {
	net.Conn
	heard *atomic.Int64
}

// Read records the time of every read that brought bytes.
func (heardconn *heardConn) Read(buffer []byte) (int, error) {
	n, err := heardconn.Conn.Read(buffer)
	if n > 0 {
		heardconn.heard.Store(int64(view.MonotonicNow()))
	}
	return n, err
}

// Heard returns the time since view.Epoch at which bytes last arrived.
func (link *Link) Heard() time.Duration { return time.Duration(link.heard.Load()) }

// BeginCheck reports whether a check of the connection may start; only one
// runs at a time. EndCheck follows.
func (link *Link) BeginCheck() bool { return link.checking.CompareAndSwap(false, true) }

// EndCheck ends the check that BeginCheck started.
func (link *Link) EndCheck() { link.checking.Store(false) }

// renewInterval is the least time between two renewals of a link.
const renewInterval = time.Second

// Renew makes later attempts use fresh connections, unless the link was
// renewed after the given time since view.Epoch or a moment ago.
func (link *Link) Renew(after time.Duration) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	now := view.MonotonicNow()
	renewed := time.Duration(link.renewed.Load())
	if renewed > 0 && (renewed > after || now-renewed < renewInterval) {
		return
	}
	link.renewed.Store(int64(now))
	old := link.current.Swap(link.newTransport())
	old.CloseIdleConnections()
}

// Share does nothing: the transport's limit is set when the link is made.
func (link *Link) Share(int, bool) {}

// Warm does nothing: one connection carries all requests.
func (link *Link) Warm() {}

// Checked returns the link itself: its connection carries several requests.
func (link *Link) Checked() *Link { return link }

// Close ends the idle connections.
func (link *Link) Close() { link.current.Load().CloseIdleConnections() }

// Send sends one attempt and reads the whole reply. The error is a
// *SendError.
func (link *Link) Send(ctx context.Context, attempt api.Attempt) (api.Reply, error) {
	var isConnected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { isConnected.Store(true) }}
	request, err := newUpstreamRequest(httptrace.WithClientTrace(ctx, trace), link.address, attempt)
	if err != nil {
		return api.Reply{}, &SendError{Step: "build request for", Peer: link.address, Cause: err}
	}
	response, err := link.current.Load().RoundTrip(request)
	if err != nil {
		return api.Reply{}, &SendError{Step: "send to", Peer: link.address, MayHaveRun: isConnected.Load(), Cause: err}
	}
	defer response.Body.Close()
	reply, err := decodeReply(response)
	if err != nil {
		return reply, &SendError{Step: "read reply of", Peer: link.address, MayHaveRun: true, Cause: err}
	}
	if reply.Identity != attempt.Identity {
		cause := errors.Errorf("reply to attempt %q", reply.Identity)
		return reply, &SendError{Step: "match reply of", Peer: link.address, MayHaveRun: true, Cause: cause}
	}
	return reply, nil
}

// Health reads the replica's health endpoint.
func (link *Link) Health(ctx context.Context) (api.ReplicaHealth, error) {
	var health api.ReplicaHealth
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+link.address+HealthPath, nil)
	if err != nil {
		return health, &SendError{Step: "build health check of", Peer: link.address, Cause: err}
	}
	response, err := link.current.Load().RoundTrip(request)
	if err != nil {
		return health, &SendError{Step: "check health of", Peer: link.address, Cause: err}
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, MaxReplyBytes)).Decode(&health); err != nil {
		return health, &SendError{Step: "read health of", Peer: link.address, Cause: err}
	}
	return health, nil
}
