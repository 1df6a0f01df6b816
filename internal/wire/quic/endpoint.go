package quic

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/wire/cbor"
)

// Times and sizes of connections between peers.
const (
	idleTimeout      = 10 * time.Second
	handshakeTimeout = 2 * time.Second
	maxStreams       = 4_096
	// MaxDatagramBytes is the largest datagram that Send accepts.
	MaxDatagramBytes = 1_150
)

// Handler answers what peers send.
type Handler struct {
	// AnswerCall answers one call.
	AnswerCall func(ctx context.Context, call api.PeerRequest) api.PeerReply
	// AnswerHomeQuery answers one cell query with a sequence of blocks. It ends with ctx,
	// when the peer wants no more.
	AnswerHomeQuery func(ctx context.Context, query api.HomeQuery, send func(block api.PartialAnswer) error)
	// ReceiveDatagram takes one datagram; reply sends one back to its sender.
	ReceiveDatagram func(datagram api.Datagram, reply func(api.Datagram))
}

// CallError reports a call that got no reply, with the step and the peer.
type CallError struct {
	Step  string
	Peer  string
	Cause error
	// IsSent is set once the peer may have got the call.
	IsSent bool
}

// Is reports whether target is api.ErrNotSent and the peer did not get the
// call.
func (callerror *CallError) Is(target error) bool {
	return target == api.ErrNotSent && !callerror.IsSent
}

// Error names the step and the peer.
func (callerror *CallError) Error() string {
	return callerror.Step + " peer " + callerror.Peer + ": " + callerror.Cause.Error()
}

// Unwrap returns the cause.
func (callerror *CallError) Unwrap() error { return callerror.Cause }

// Endpoint holds the socket and the connections of one instance.
type Endpoint struct {
	transport *quic.Transport
	listener  *quic.Listener
	tls       *tls.Config
	handler   Handler
	ctx       context.Context
	cancel    context.CancelFunc

	mutex sync.Mutex
	conns map[string]*dialing

	// Handshakes counts the connections that this endpoint opened.
	Handshakes atomic.Int64
}

type dialing struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// SocketWrapper changes the socket of an endpoint before it is used.
type SocketWrapper func(socket net.PacketConn) net.PacketConn

// Listen opens the endpoint on address, an IP number and a port. A nil wrap
// leaves the socket as it is.
func Listen(address string, config *tls.Config, handler Handler, wrap SocketWrapper) (*Endpoint, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve peer address")
	}
	// The library writes its hint about buffers past the log.
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		return nil, errors.Wrap(err, "prepare socket for peers")
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	transport := &quic.Transport{Conn: socket}
	if wrap != nil {
		transport.Conn = wrap(socket)
	}
	listener, err := transport.Listen(config, quicConfig())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Endpoint{
		transport: transport,
		listener:  listener,
		tls:       config,
		handler:   handler,
		ctx:       ctx,
		cancel:    cancel,
		conns:     make(map[string]*dialing),
	}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIncomingStreams:      maxStreams,
		EnableDatagrams:         true,
		InitialPacketSize:       1_200,
		DisablePathMTUDiscovery: true,
	}
}

// Address returns the address that the endpoint listens on.
func (endpoint *Endpoint) Address() string { return endpoint.listener.Addr().String() }

// Start accepts connections until Close.
func (endpoint *Endpoint) Start() { go endpoint.run() }

func (endpoint *Endpoint) run() {
	for {
		conn, err := endpoint.listener.Accept(endpoint.ctx)
		if err != nil {
			return
		}
		endpoint.adopt(conn)
		endpoint.attend(conn)
	}
}

// adopt makes calls use a connection that a peer opened, where this endpoint
// has none to it. Peers dial from the socket that they listen on.
func (endpoint *Endpoint) adopt(conn *quic.Conn) {
	address := conn.RemoteAddr().String()
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	if current := endpoint.conns[address]; current != nil && !current.isBroken() {
		return
	}
	adopted := &dialing{ready: make(chan struct{}), conn: conn}
	close(adopted.ready)
	endpoint.conns[address] = adopted
}

// Preconnect opens a connection to address where there is none.
func (endpoint *Endpoint) Preconnect(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	_, err := endpoint.connect(ctx, address)
	return errors.Wrapf(err, "connect to peer %s", address)
}

func (endpoint *Endpoint) attend(conn *quic.Conn) {
	session := &session{endpoint: endpoint, conn: conn}
	go session.run()
	go session.loop()
}

// Close ends all connections and the socket.
func (endpoint *Endpoint) Close() {
	endpoint.cancel()
	_ = endpoint.listener.Close()
	_ = endpoint.transport.Close()
	_ = endpoint.transport.Conn.Close()
}

// Call sends one call to the peer at address and reads its reply.
func (endpoint *Endpoint) Call(ctx context.Context, address string, call api.PeerRequest) (api.PeerReply, error) {
	stream, err := endpoint.open(ctx, address, call)
	if err != nil {
		return api.PeerReply{}, err
	}
	defer cancelWith(ctx, stream)()
	reply, err := cbor.Read[api.PeerReply](stream)
	if err != nil {
		return reply, &CallError{Step: "read reply of", Peer: address, Cause: err, IsSent: true}
	}
	return reply, nil
}

// QueryHome sends a cell query to the peer at address and passes on its blocks until
// the last one, an error, or the end of ctx.
func (endpoint *Endpoint) QueryHome(ctx context.Context, address string, query api.HomeQuery, take func(block api.PartialAnswer)) error {
	stream, err := endpoint.open(ctx, address, api.PeerRequest{HomeQuery: &query})
	if err != nil {
		return err
	}
	defer cancelWith(ctx, stream)()
	blocks := cbor.NewSequence[api.PartialAnswer](stream)
	for {
		block, err := blocks.Next()
		if err != nil {
			return &CallError{Step: "read block of", Peer: address, Cause: err, IsSent: true}
		}
		take(block)
		if block.IsFinal {
			return nil
		}
	}
}

// open sends call to the peer at address on a new stream.
func (endpoint *Endpoint) open(ctx context.Context, address string, call api.PeerRequest) (*quic.Stream, error) {
	encoded, err := cbor.Marshal(call)
	if err != nil {
		return nil, &CallError{Step: "encode call to", Peer: address, Cause: err}
	}
	conn, err := endpoint.connect(ctx, address)
	if err != nil {
		return nil, &CallError{Step: "connect to", Peer: address, Cause: err}
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, &CallError{Step: "open stream to", Peer: address, Cause: err}
	}
	defer cancelWith(ctx, stream)()
	if _, err := stream.Write(encoded); err != nil {
		return nil, &CallError{Step: "send call to", Peer: address, Cause: err, IsSent: true}
	}
	_ = stream.Close()
	return stream, nil
}

// cancelWith ends stream when ctx ends, until the returned function is called.
func cancelWith(ctx context.Context, stream *quic.Stream) func() bool {
	return context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
}

// Send sends one datagram to the peer at address. It may be lost.
func (endpoint *Endpoint) Send(ctx context.Context, address string, datagram api.Datagram) error {
	conn, err := endpoint.connect(ctx, address)
	if err != nil {
		return &CallError{Step: "connect to", Peer: address, Cause: err}
	}
	return sendDatagram(conn, datagram)
}

func sendDatagram(conn *quic.Conn, datagram api.Datagram) error {
	encoded, err := cbor.Marshal(datagram)
	if err != nil {
		return err
	}
	if len(encoded) > MaxDatagramBytes {
		return errors.Errorf("datagram of %d bytes; allowed: %d", len(encoded), MaxDatagramBytes)
	}
	return errors.Wrap(conn.SendDatagram(encoded), "send datagram")
}

// Reset makes the next message to address use a fresh connection.
func (endpoint *Endpoint) Reset(address string) {
	endpoint.mutex.Lock()
	current := endpoint.conns[address]
	delete(endpoint.conns, address)
	endpoint.mutex.Unlock()
	if current != nil && current.isReady() && current.conn != nil {
		_ = current.conn.CloseWithError(0, "reset")
	}
}

// connect returns the open connection to address, or opens one. Concurrent
// calls share one handshake.
func (endpoint *Endpoint) connect(ctx context.Context, address string) (*quic.Conn, error) {
	endpoint.mutex.Lock()
	current := endpoint.conns[address]
	if current == nil || current.isBroken() {
		current = &dialing{ready: make(chan struct{})}
		endpoint.conns[address] = current
		dialer := &dialer{endpoint: endpoint, address: address, dialing: current}
		go dialer.run()
	}
	endpoint.mutex.Unlock()
	select {
	case <-current.ready:
		return current.conn, current.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (dialing *dialing) isReady() bool {
	select {
	case <-dialing.ready:
		return true
	default:
		return false
	}
}

func (dialing *dialing) isBroken() bool {
	if !dialing.isReady() {
		return false
	}
	return dialing.err != nil || dialing.conn.Context().Err() != nil
}

type dialer struct {
	endpoint *Endpoint
	address  string
	dialing  *dialing
}

func (dialer *dialer) run() {
	defer close(dialer.dialing.ready)
	udp, err := net.ResolveUDPAddr("udp", dialer.address)
	if err != nil {
		dialer.dialing.err = err
		return
	}
	ctx, cancel := context.WithTimeout(dialer.endpoint.ctx, handshakeTimeout)
	defer cancel()
	config := dialer.endpoint.tls.Clone()
	config.ServerName = udp.IP.String()
	conn, err := dialer.endpoint.transport.Dial(ctx, udp, config, quicConfig())
	if err != nil {
		dialer.dialing.err = err
		return
	}
	dialer.endpoint.Handshakes.Add(1)
	dialer.dialing.conn = conn
	dialer.endpoint.attend(conn)
}
