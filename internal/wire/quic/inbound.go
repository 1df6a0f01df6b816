package quic

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// maxHandshakes is the number of handshakes under way from which on a client has to
	// prove its address before this endpoint keeps anything for it.
	maxHandshakes = 32
	// callReadTimeout bounds the time in which a whole call has to arrive.
	callReadTimeout = 10 * time.Second
	// callBytesFactor is the memory that a byte of a call takes while it is read.
	callBytesFactor = 2
	// connectionBytesFactor is the memory of a connection, in units of what the limits
	// allow for a call.
	connectionBytesFactor = 4
	// freeReplyBytes is the memory of a usual reply, which is not accounted for.
	freeReplyBytes = 16 << 10
	// replyDivisor is the part of the memory for peers that replies to the calls of this
	// endpoint may take.
	replyDivisor = 2
)

// Names of what the guard of an endpoint accounts for.
const (
	listenerConnection = "connection"
	listenerCall       = "call"
)

// PeerLimits returns the limits for a guard of an endpoint whose peers may take
// totalBytes. Nothing waits for memory: one goroutine takes the new connections of all
// peers, and Close waits for it.
func PeerLimits(totalBytes int64) caller.MemoryLimits {
	return caller.MemoryLimits{
		TotalBytes:      totalBytes,
		LargeBytes:      totalBytes / 2,
		SmallBytes:      64 << 10,
		ConnectionBytes: 4 << 10,
		MaxConnections:  make(map[string]int),
		Parts:           map[caller.Part]caller.PartLimits{caller.PartReplies: {MaxBytes: totalBytes / replyDivisor, IsShared: true}},
	}
}

// inbound accounts for the connections that peers open, and for their calls. A peer
// that is connected does not give way, because the longest connected are members.
type inbound struct {
	guard *caller.Guard
	// handshakes is the number of handshakes under way.
	handshakes atomic.Int64
}

// Option configures an endpoint before it listens.
type Option func(inbound *inbound)

// WithGuard sets the guard that accounts for what peers send. Its limits are PeerLimits.
// The default has no limits.
func WithGuard(guard *caller.Guard) Option {
	return func(inbound *inbound) { inbound.guard = guard }
}

func newInbound(options []Option) *inbound {
	inbound := &inbound{}
	for _, option := range options {
		option(inbound)
	}
	if inbound.guard == nil {
		inbound.guard = caller.NewGuard("peers", PeerLimits(0), view.MonotonicNow, metrics.New(), zap.NewNop())
	}
	return inbound
}

// inboundKey is the context key of the inboundConn of a connection.
type inboundKey struct{}

// inboundConn is a connection that a peer opens.
type inboundConn struct {
	inbound *inbound
	holder  *caller.Holder[caller.Evictable]
	// isOpening is set until the handshake has ended.
	isOpening atomic.Bool
}

// Evict does nothing: connections do not give way.
func (inboundconn *inboundConn) Evict() {}

// verifiesAddress reports whether a client has to prove its address. It is a value for
// quic.Transport.VerifySourceAddress.
func (inbound *inbound) verifiesAddress(net.Addr) bool {
	return inbound.handshakes.Load() >= maxHandshakes
}

// connContext refuses a connection for which there is no memory. It is a value for
// quic.Transport.ConnContext.
func (inbound *inbound) connContext(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	conn := &inboundConn{inbound: inbound}
	conn.holder = inbound.guard.Open(conn, listenerConnection, nil)
	if conn.holder == nil {
		return ctx, caller.ErrNoMemory
	}
	inbound.guard.Enter(conn.holder, caller.PhaseRunning)
	if !inbound.guard.Grow(conn.holder, conn.holder.Bytes*(connectionBytesFactor-1)) {
		inbound.guard.Close(conn.holder)
		return ctx, caller.ErrNoMemory
	}
	conn.isOpening.Store(true)
	inbound.handshakes.Add(1)
	context.AfterFunc(ctx, conn.release)
	return context.WithValue(ctx, inboundKey{}, conn), nil
}

// release ends the account of a connection that has closed.
func (inboundconn *inboundConn) release() {
	inboundconn.endHandshake()
	inboundconn.inbound.guard.Close(inboundconn.holder)
}

func (inboundconn *inboundConn) endHandshake() {
	if inboundconn.isOpening.CompareAndSwap(true, false) {
		inboundconn.inbound.handshakes.Add(-1)
	}
}

// accept records that the handshake of a connection has ended.
func (inbound *inbound) accept(conn *quic.Conn) {
	if inboundconn, isFound := conn.Context().Value(inboundKey{}).(*inboundConn); isFound {
		inboundconn.endHandshake()
	}
}

// inboundStream is the stream of a call of a peer.
type inboundStream struct {
	*quic.Stream
	guard  *caller.Guard
	holder *caller.Holder[caller.Evictable]
}

// open returns the accounted stream, or nil if there is no memory for it.
func (inbound *inbound) open(stream *quic.Stream) *inboundStream {
	inboundstream := &inboundStream{Stream: stream, guard: inbound.guard}
	inboundstream.holder = inbound.guard.Open(inboundstream, listenerCall, nil)
	if inboundstream.holder == nil {
		return nil
	}
	inbound.guard.Enter(inboundstream.holder, caller.PhaseReading)
	_ = stream.SetReadDeadline(time.Now().Add(callReadTimeout))
	return inboundstream
}

// Evict ends the call, which is not read any further.
func (inboundstream *inboundStream) Evict() {
	inboundstream.CancelRead(1)
	inboundstream.CancelWrite(1)
}

// Read reads from the stream. It returns caller.ErrNoMemory if there is no memory left for
// the call.
func (inboundstream *inboundStream) Read(buffer []byte) (int, error) {
	count, err := inboundstream.Stream.Read(buffer)
	if count > 0 && !inboundstream.guard.Grow(inboundstream.holder, int64(count)*callBytesFactor) {
		return 0, caller.ErrNoMemory
	}
	return count, err
}

// endRead records that the whole call has arrived.
func (inboundstream *inboundStream) endRead() {
	inboundstream.guard.Enter(inboundstream.holder, caller.PhaseRunning)
}

// release ends the account of the call.
func (inboundstream *inboundStream) release() { inboundstream.guard.Close(inboundstream.holder) }
