// Package tcp accepts the TCP connections of callers, and accounts for what is held for
// them.
package tcp

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
)

const (
	// headBytesFactor is the memory that a byte of a head takes once it is decoded into
	// headers. A head of very short lines takes the most.
	headBytesFactor = 16
	// bodyBytesFactor is the memory that a byte of a body takes while it is read into a
	// buffer that doubles.
	bodyBytesFactor = 2
	// writePieceBytes is the size of the pieces in which an answer is written.
	writePieceBytes = 32 << 10
	// discardTime is how long the rest of a refused request is read and discarded, so
	// that a caller that is still sending sees the answer.
	discardTime = 500 * time.Millisecond
)

// Timeouts bounds what a caller does.
type Timeouts struct {
	// Body is the time in which the whole body of a request has to arrive.
	Body time.Duration
	// Answer is the time in which each piece of an answer has to be taken.
	Answer time.Duration
}

// Conn is a caller's connection. It accounts for what arrives as the head of a request, as
// its body, and for what is sent and not read yet.
type Conn struct {
	net.Conn
	guard    *caller.Guard
	timeouts Timeouts
	holder   *caller.Holder[caller.Evictable]

	// mutex guards the fields below. It is not held while the guard waits: Close and
	// SetReadDeadline need it.
	mutex sync.Mutex
	phase caller.Phase
	// isInBody is set from the end of a request's head on.
	isInBody bool
	// discardEnd is set when the rest of the request is discarded; later read deadlines
	// do not exceed it.
	discardEnd time.Time
	isClosed   bool
}

// Inner returns the connection that conn wraps.
func (conn *Conn) Inner() net.Conn { return conn.Conn }

// CloseWrite closes the sending side, so that the caller reads the answer before the
// connection is reset over bytes that it is still sending.
func (conn *Conn) CloseWrite() error {
	if closer, canClose := conn.Conn.(interface{ CloseWrite() error }); canClose {
		return closer.CloseWrite()
	}
	return nil
}

// Evict closes the connection, which has to give way to others. Reads and writes under
// way return an error.
func (conn *Conn) Evict() { _ = conn.Conn.Close() }

// Close closes the connection and releases what is held for it.
func (conn *Conn) Close() error {
	err := conn.Conn.Close()
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if !conn.isClosed {
		conn.isClosed = true
		conn.guard.Close(conn.holder)
	}
	return err
}

// Read reads from the connection. The bytes of a head are accounted for here, those of a
// body by the reader that BeginBody returns.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count == 0 {
		return count, err
	}
	if conn.beginRead() && !conn.guard.Grow(conn.holder, int64(count)*headBytesFactor) {
		// The server answers other errors with status 400, which would not be true.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: conn.RemoteAddr(), Err: caller.ErrNoMemory}
	}
	return count, err
}

// beginRead records that bytes have arrived, and reports whether they belong to a head.
func (conn *Conn) beginRead() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase == caller.PhaseIdle {
		conn.enter(caller.PhaseReading)
	}
	return conn.phase == caller.PhaseReading && !conn.isInBody
}

// Write writes to the connection. The caller has to take each piece of writePieceBytes
// within the timeout.
func (conn *Conn) Write(buffer []byte) (int, error) {
	if conn.beginWrite(len(buffer)) && !conn.guard.Grow(conn.holder, int64(len(buffer))) {
		return 0, caller.ErrNoMemory
	}
	// A deadline that is left set would wake the process up for an idle connection.
	defer func() { _ = conn.Conn.SetWriteDeadline(time.Time{}) }()
	written := 0
	for written < len(buffer) {
		piece := buffer[written:min(len(buffer), written+writePieceBytes)]
		if err := conn.Conn.SetWriteDeadline(time.Now().Add(conn.timeouts.Answer)); err != nil {
			return written, err
		}
		count, err := conn.Conn.Write(piece)
		written += count
		if err != nil {
			return written, err
		}
		if written < len(buffer) {
			conn.recordProgress()
		}
	}
	return written, nil
}

// beginWrite records that bytes are about to be written, and reports whether they are
// accounted for. An interim response, before the whole request has arrived, is not.
func (conn *Conn) beginWrite(bytes int) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase == caller.PhaseRunning {
		conn.enter(caller.PhaseWriting)
	}
	return conn.phase == caller.PhaseWriting && bytes > writePieceBytes
}

// recordProgress records that the caller has read some of its answer.
func (conn *Conn) recordProgress() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase == caller.PhaseWriting {
		conn.enter(caller.PhaseWriting)
	}
}

// SetReadDeadline sets the deadline of reads, which does not exceed that of a discard.
func (conn *Conn) SetReadDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if !conn.discardEnd.IsZero() && (deadline.IsZero() || deadline.After(conn.discardEnd)) {
		deadline = conn.discardEnd
	}
	return conn.Conn.SetReadDeadline(deadline)
}

// enter moves the connection to a phase. The caller holds the mutex.
func (conn *Conn) enter(phase caller.Phase) {
	conn.phase = phase
	conn.guard.Enter(conn.holder, phase)
}

// BeginBody returns the body of a request whose head has arrived. Its reads are accounted
// for, and fail with caller.ErrNoMemory if no memory is left, and after the timeout for bodies.
func (conn *Conn) BeginBody(body io.ReadCloser) io.ReadCloser {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.isInBody = true
	if body == nil || body == http.NoBody {
		conn.enter(caller.PhaseRunning)
		return body
	}
	if conn.phase == caller.PhaseIdle {
		conn.enter(caller.PhaseReading)
	}
	_ = conn.Conn.SetReadDeadline(time.Now().Add(conn.timeouts.Body))
	return &accountedBody{ReadCloser: body, conn: conn}
}

// endBody records that the whole request has arrived.
func (conn *Conn) endBody() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase == caller.PhaseReading && conn.discardEnd.IsZero() {
		conn.enter(caller.PhaseRunning)
		_ = conn.Conn.SetReadDeadline(time.Time{})
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// NewContext returns a context that holds the connection of a request, if it is guarded.
func NewContext(ctx context.Context, inner net.Conn) context.Context {
	if conn, isGuarded := inner.(*Conn); isGuarded {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// FromContext returns the connection of a request, or nil if it is not guarded.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// Discard stops accounting for the rest of a request that is refused, and bounds the time
// in which that is read. The connection must be closed after the answer. Discard does
// nothing on a nil connection.
func (conn *Conn) Discard() {
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.isInBody = true
	conn.discardEnd = time.Now().Add(discardTime)
	_ = conn.Conn.SetReadDeadline(conn.discardEnd)
}

// SetState follows the states of the server's connection. It is a value for
// http.Server.ConnState.
func SetState(inner net.Conn, state http.ConnState) {
	conn, isGuarded := inner.(*Conn)
	if !isGuarded {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	switch {
	case state == http.StateIdle:
		conn.isInBody = false
		conn.enter(caller.PhaseIdle)
	case state == http.StateActive && conn.phase == caller.PhaseIdle:
		// The request arrived together with the one before.
		conn.enter(caller.PhaseReading)
	}
}

// accountedBody is the body of a request.
type accountedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read reads from the body.
func (accountedbody *accountedBody) Read(buffer []byte) (int, error) {
	count, err := accountedbody.ReadCloser.Read(buffer)
	conn := accountedbody.conn
	if count > 0 && !conn.guard.Grow(conn.holder, int64(count)*bodyBytesFactor) {
		count, err = 0, caller.ErrNoMemory
	}
	switch {
	case err == io.EOF:
		conn.endBody()
	case err != nil:
		conn.Discard()
	}
	return count, err
}
