package quic

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/wire/cbor"
)

// Handler holds the functions that serve the messages of peers. Each call and
// each connection has a goroutine of its own, so they run concurrently.
type Handler struct {
	// AnswerCall returns the reply to any call but a home query. The ctx ends when
	// the peer no longer wants the reply or the connection is lost.
	AnswerCall func(ctx context.Context, call api.PeerRequest) api.PeerReply
	// AnswerHomeQuery passes the partial answers to a home query to send. It
	// returns early when ctx ends because the peer wants no more answers.
	AnswerHomeQuery func(ctx context.Context, query api.HomeQuery, send func(answer api.PartialAnswer) error)
	// ReceiveDatagram handles a datagram; reply sends a datagram to the sender.
	ReceiveDatagram func(datagram api.Datagram, reply func(api.Datagram))
}

// CallError reports a call that got no complete reply, or a datagram for which no
// connection could be opened.
type CallError struct {
	// Step is what failed, such as "connect to"; the text of the error continues
	// with the peer.
	Step string
	// Peer is the address of the peer.
	Peer string
	// Cause is the underlying error.
	Cause error
	// MayHaveArrived is set if the peer may have received the call.
	MayHaveArrived bool
}

// Is reports whether target is api.ErrNotSent and the peer cannot have received
// the call.
func (callerror *CallError) Is(target error) bool {
	return target == api.ErrNotSent && !callerror.MayHaveArrived
}

// Error returns the failed step, the peer's address and the cause.
func (callerror *CallError) Error() string {
	return callerror.Step + " peer " + callerror.Peer + ": " + callerror.Cause.Error()
}

// Unwrap returns the underlying error.
func (callerror *CallError) Unwrap() error { return callerror.Cause }

// Endpoint is the UDP socket of one instance and its QUIC connections with peers.
// Its methods may be called concurrently.
type Endpoint struct {
	transport *quic.Transport
	listener  *quic.Listener
	tls       *tls.Config
	handler   Handler
	inbound   *inbound
	// ctx ends on Close; cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc

	mutex sync.Mutex
	// connections holds, by peer address, the connection that messages to the peer
	// use. It is guarded by mutex.
	connections map[string]*connection

	// Handshakes counts the connections that this endpoint has opened.
	Handshakes atomic.Int64
}

// connection is a connection to a peer or an attempt to open one.
type connection struct {
	// done is closed when the attempt has ended. Only then may conn and err be read.
	done chan struct{}
	conn *quic.Conn
	// err is set if the attempt failed.
	err error
}

// SocketWrapper returns the connection that an endpoint uses in place of socket.
type SocketWrapper func(socket net.PacketConn) net.PacketConn

// Listen opens an endpoint on address, an IP address and a port. The endpoint uses
// the socket unchanged if wrap is nil. Connections of peers are accepted only after
// Start.
func Listen(address string, config *tls.Config, handler Handler, wrap SocketWrapper, options ...Option) (*Endpoint, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve peer address")
	}
	// Without this setting, quic-go prints a warning about the size of the receive
	// buffer that bypasses the log of this process.
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		return nil, errors.Wrap(err, "disable buffer warning of quic-go")
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	inbound := newInbound(options)
	transport := &quic.Transport{Conn: socket, VerifySourceAddress: inbound.verifiesAddress, ConnContext: inbound.connContext}
	if wrap != nil {
		transport.Conn = wrap(socket)
	}
	listener, err := transport.Listen(config, quicConfig())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Endpoint{
		transport:   transport,
		listener:    listener,
		tls:         config,
		handler:     handler,
		inbound:     inbound,
		ctx:         ctx,
		cancel:      cancel,
		connections: make(map[string]*connection),
	}, nil
}

// Address returns the IP address and port that the endpoint listens on.
func (endpoint *Endpoint) Address() string { return endpoint.listener.Addr().String() }

// Start accepts connections of peers, in a goroutine, until Close.
func (endpoint *Endpoint) Start() { go endpoint.run() }

// run accepts connections until Close.
func (endpoint *Endpoint) run() {
	for {
		conn, err := endpoint.listener.Accept(endpoint.ctx)
		if err != nil {
			return
		}
		endpoint.inbound.accept(conn)
		endpoint.addAccepted(conn)
		endpoint.startSession(conn)
	}
}

// addAccepted registers conn, which a peer opened, for messages to that peer unless
// an attempt to open a connection to it is under way. It takes the place of an older
// connection: a peer that opens another one has restarted or found the older one
// broken. A peer dials from the socket that it listens on, so the remote address of
// conn is the address under which the peer is known.
func (endpoint *Endpoint) addAccepted(conn *quic.Conn) {
	address := conn.RemoteAddr().String()
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	if current := endpoint.connections[address]; current != nil && current.isOpening() {
		return
	}
	endpoint.deleteBroken()
	connection := &connection{done: make(chan struct{}), conn: conn}
	close(connection.done)
	endpoint.connections[address] = connection
}

// Preconnect opens a connection to the peer at address if there is none. It waits
// for the handshake.
func (endpoint *Endpoint) Preconnect(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	_, err := endpoint.connect(ctx, address)
	return errors.Wrapf(err, "connect to peer %s", address)
}

// IsConnected reports whether there is a working connection to the peer at address.
func (endpoint *Endpoint) IsConnected(address string) bool {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	current := endpoint.connections[address]
	return current != nil && !current.isOpening() && !current.isBroken()
}

// Connections returns the number of connections that messages to peers use, with those that
// are being opened or have broken.
func (endpoint *Endpoint) Connections() int {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	return len(endpoint.connections)
}

// startSession serves the peer's calls and datagrams on conn until it closes.
func (endpoint *Endpoint) startSession(conn *quic.Conn) {
	session := &session{endpoint: endpoint, conn: conn}
	go session.run()
	go session.loop()
}

// Close closes all connections and the socket.
func (endpoint *Endpoint) Close() {
	endpoint.cancel()
	_ = endpoint.listener.Close()
	_ = endpoint.transport.Close()
	_ = endpoint.transport.Conn.Close()
}

// Call sends a call to the peer at address and returns the reply. An error is a
// *CallError.
func (endpoint *Endpoint) Call(ctx context.Context, address string, call api.PeerRequest) (api.PeerReply, error) {
	stream, err := endpoint.openStream(ctx, address, call)
	if err != nil {
		return api.PeerReply{}, err
	}
	defer cancelStreamOnDone(ctx, stream)()
	account := &caller.ReplyAccount{Guard: endpoint.inbound.guard, FreeBytes: freeReplyBytes}
	defer account.Release()
	reply, err := cbor.Read[api.PeerReply](account.Reader(stream, callBytesFactor))
	if err != nil {
		return reply, &CallError{Step: "read reply of", Peer: address, Cause: err, MayHaveArrived: true}
	}
	return reply, nil
}

// QueryHome sends a home query to the peer at address and calls receive with each
// partial answer, up to the final one. An error is a *CallError; the end of ctx
// is an error too.
func (endpoint *Endpoint) QueryHome(ctx context.Context, address string, query api.HomeQuery, receive func(answer api.PartialAnswer)) error {
	stream, err := endpoint.openStream(ctx, address, api.PeerRequest{HomeQuery: &query})
	if err != nil {
		return err
	}
	defer cancelStreamOnDone(ctx, stream)()
	account := &caller.ReplyAccount{Guard: endpoint.inbound.guard, FreeBytes: freeReplyBytes}
	defer account.Release()
	answers := cbor.NewSequence[api.PartialAnswer](account.Reader(stream, callBytesFactor))
	for {
		answer, err := answers.Next()
		if err != nil {
			return &CallError{Step: "read partial answer of", Peer: address, Cause: err, MayHaveArrived: true}
		}
		receive(answer)
		if answer.IsFinal {
			return nil
		}
	}
}

// openStream sends call to the peer at address on a new stream and closes the
// sending side. The reply can then be read from the returned stream.
func (endpoint *Endpoint) openStream(ctx context.Context, address string, call api.PeerRequest) (*quic.Stream, error) {
	encoded, err := cbor.MarshalLong(call)
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
	defer cancelStreamOnDone(ctx, stream)()
	if _, err := stream.Write(encoded); err != nil {
		return nil, &CallError{Step: "send call to", Peer: address, Cause: err, MayHaveArrived: true}
	}
	_ = stream.Close()
	return stream, nil
}

// cancelStreamOnDone cancels both directions of stream when ctx ends. The returned
// function stops this, and reports whether it did so before ctx ended.
func cancelStreamOnDone(ctx context.Context, stream *quic.Stream) func() bool {
	return context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
}

// Send sends a datagram to the peer at address. The network may drop it without
// an error.
func (endpoint *Endpoint) Send(ctx context.Context, address string, datagram api.Datagram) error {
	conn, err := endpoint.connect(ctx, address)
	if err != nil {
		return &CallError{Step: "connect to", Peer: address, Cause: err}
	}
	return sendDatagram(conn, datagram)
}

// sendDatagram sends a datagram of at most MaxDatagramBytes on conn.
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

// Reset makes the next message to address open a new connection, and closes the
// current one.
func (endpoint *Endpoint) Reset(address string) {
	endpoint.mutex.Lock()
	current := endpoint.connections[address]
	delete(endpoint.connections, address)
	endpoint.mutex.Unlock()
	if current != nil && current.isDone() && current.conn != nil {
		_ = current.conn.CloseWithError(0, "reset")
	}
}

// connect returns the open connection to address, or opens one. Concurrent callers
// wait for the same handshake.
func (endpoint *Endpoint) connect(ctx context.Context, address string) (*quic.Conn, error) {
	endpoint.mutex.Lock()
	current := endpoint.connections[address]
	if current == nil || current.isBroken() {
		endpoint.deleteBroken()
		current = &connection{done: make(chan struct{})}
		endpoint.connections[address] = current
		dialer := &dialer{endpoint: endpoint, address: address, connection: current}
		go dialer.run()
	}
	endpoint.mutex.Unlock()
	select {
	case <-current.done:
		return current.conn, current.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// deleteBroken deletes the connections that have closed or could not be opened, of which
// some are to peers that no longer exist. The caller holds mutex.
func (endpoint *Endpoint) deleteBroken() {
	maps.DeleteFunc(endpoint.connections, func(_ string, connection *connection) bool { return connection.isBroken() })
}

// isDone reports whether the attempt to open the connection has ended.
func (connection *connection) isDone() bool {
	select {
	case <-connection.done:
		return true
	default:
		return false
	}
}

// isOpening reports whether an attempt to open the connection is under way.
func (connection *connection) isOpening() bool { return !connection.isDone() }

// isBroken reports whether the attempt to open the connection failed or the
// connection has closed since.
func (connection *connection) isBroken() bool {
	if !connection.isDone() {
		return false
	}
	return connection.err != nil || connection.conn.Context().Err() != nil
}

// dialer opens a connection to the peer at address.
type dialer struct {
	endpoint   *Endpoint
	address    string
	connection *connection
}

// run opens the connection and sets its conn or err.
func (dialer *dialer) run() {
	defer close(dialer.connection.done)
	udp, err := net.ResolveUDPAddr("udp", dialer.address)
	if err != nil {
		dialer.connection.err = err
		return
	}
	ctx, cancel := context.WithTimeout(dialer.endpoint.ctx, handshakeTimeout)
	defer cancel()
	config := dialer.endpoint.tls.Clone()
	config.ServerName = udp.IP.String()
	conn, err := dialer.endpoint.transport.Dial(ctx, udp, config, quicConfig())
	if err != nil {
		dialer.connection.err = err
		return
	}
	dialer.endpoint.Handshakes.Add(1)
	dialer.connection.conn = conn
	dialer.endpoint.startSession(conn)
}
