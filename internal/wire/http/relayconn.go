package http

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

const (
	// relayReadBufferBytes is large enough for a typical part with its headers.
	relayReadBufferBytes = 2 << 10
	// maxInlineWriteBytes is the largest request that is written before its answer
	// is read. It fits into a socket's send buffer.
	maxInlineWriteBytes = 8 << 10
	// maxUnrelatedAnswers is how many answers to other requests are skipped.
	maxUnrelatedAnswers = 3
	// maxReplyHeadBytes bounds the head of an answer, together with the interim
	// responses before it.
	maxReplyHeadBytes = 64 << 10
	// maxReplyFramingBytes bounds the bytes of a chunked body that frame its chunks,
	// and the trailers.
	maxReplyFramingBytes = 64 << 10
	// replyHeadBytesFactor is the memory that a byte of a head takes once it is decoded
	// into headers, and replyBodyBytesFactor that of a byte of a body, which is read into
	// a buffer that doubles.
	replyHeadBytesFactor = 16
	replyBodyBytesFactor = 2
	// freeReplyBytes is how much of an answer is not accounted for. Usual answers are not
	// longer.
	freeReplyBytes = relayReadBufferBytes
	// lateAnswerWait is how long a connection waits for the answer to an attempt
	// whose query was answered without it. It is longer than a pause of the replica's
	// process, after which the answer arrives. Opening a new connection costs the
	// replica more than an answer that nobody needs.
	lateAnswerWait = 300 * time.Millisecond
)

// encodedRequest is a request in the form in which it is sent to a replica.
type encodedRequest struct {
	method   string
	identity string
	// identityHeader names the header in which the replica echoes identity.
	identityHeader string
	// isCheck is set on a check of the replica's health, which has no identity.
	isCheck bool
	// responderHeader names the header that the answer to a check has, and no other
	// answer without an identity.
	responderHeader string
	// encoded holds the head and the body, or only the head if longBody is set.
	encoded  []byte
	longBody []byte
}

// socket is a connection with a file descriptor, such as *net.TCPConn.
type socket interface {
	net.Conn
	syscall.Conn
}

// relayConn is one connection to a replica. It carries one request at a time.
type relayConn struct {
	conn    socket
	rawConn syscall.RawConn
	// limit bounds what reader reads for one answer.
	limit  *limitedReader
	reader *bufio.Reader
	// openedAt is when the connection was opened.
	openedAt time.Time
	// lastAnswer is the time at which the last answer was read. It is zero on a
	// new connection.
	lastAnswer time.Time
	// reusableUntil is the time after which the replica may close the idle
	// connection.
	reusableUntil time.Time
	// mustClose is set if the connection cannot carry another request.
	mustClose bool
	// hasCarriedCheck is set once the connection has carried a check of the replica's
	// health.
	hasCarriedCheck bool
	// undone holds the identities of the requests that the replica answered on this
	// connection without doing them.
	undone identitySet

	// mutex guards the fields below.
	mutex sync.Mutex
	// isDeadlineSet is set while the socket has a deadline.
	isDeadlineSet bool
	// exchangeNumber changes when an exchange starts and when it ends, so that a
	// late interruption does not affect the next exchange.
	exchangeNumber int
}

func newRelayConn(conn socket) *relayConn {
	limit := &limitedReader{reader: conn, bytesFactor: replyHeadBytesFactor}
	relayconn := &relayConn{conn: conn, limit: limit, reader: bufio.NewReaderSize(limit, relayReadBufferBytes), openedAt: time.Now()}
	rawConn, err := conn.SyscallConn()
	if err != nil {
		relayconn.mustClose = true
		return relayconn
	}
	relayconn.rawConn = rawConn
	return relayconn
}

func (relayconn *relayConn) close() { _ = relayconn.conn.Close() }

// isResetWithin waits for the given time and reports whether the replica closes the
// connection meanwhile, or sends bytes that nothing asked for. Nothing has been sent on
// the connection yet.
func (relayconn *relayConn) isResetWithin(wait time.Duration) bool {
	if wait <= 0 {
		return false
	}
	_ = relayconn.conn.SetReadDeadline(time.Now().Add(wait))
	defer func() { _ = relayconn.conn.SetReadDeadline(time.Time{}) }()
	relayconn.limit.remaining = maxReplyHeadBytes
	defer relayconn.limit.account.Release()
	_, err := relayconn.reader.Peek(1)
	return err == nil || isReset(err) || errors.Is(err, io.EOF)
}

// isReset reports whether err says that the replica reset the connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// isUsable reports whether an idle connection may carry attempt. A command needs a
// connection that received an answer within relayCommandReuse.
func (relayconn *relayConn) isUsable(attempt api.Attempt) bool {
	now := time.Now()
	if now.After(relayconn.reusableUntil) || attempt.IsCommand && now.Sub(relayconn.lastAnswer) > relayCommandReuse {
		return false
	}
	return relayconn.mayCarry(attempt) && relayconn.rawConn != nil && relayconn.reader.Buffered() == 0 && isOpenAndDrained(relayconn.rawConn)
}

// mayCarry reports whether the connection may carry attempt's request, unless the replica
// answered it here before without doing it. A late second copy of that answer could not
// be told from the answer to attempt: both bear the identity of the request.
func (relayconn *relayConn) mayCarry(attempt api.Attempt) bool {
	return !relayconn.undone.contains(attempt.RelayedRequest.Identity)
}

// recordUndone records that attempt was answered without having been done.
func (relayconn *relayConn) recordUndone(attempt api.Attempt) {
	relayconn.undone.add(attempt.RelayedRequest.Identity)
	relayconn.mustClose = relayconn.mustClose || relayconn.undone.isFull()
}

// exchange sends a request and reads the complete answer to it. If ctx is done
// before the answer arrives, it returns an error, after a further lateAnswerWait at
// the latest.
func (relayconn *relayConn) exchange(ctx context.Context, request encodedRequest) (*api.Response, error) {
	relayconn.mutex.Lock()
	relayconn.exchangeNumber++
	number := relayconn.exchangeNumber
	relayconn.mutex.Unlock()
	relayconn.limit.free = freeReplyBytes
	stop := context.AfterFunc(ctx, func() { relayconn.interrupt(number, context.Cause(ctx)) })
	response, err := relayconn.sendAndRead(request)
	stop()
	relayconn.endExchange()
	if err != nil {
		relayconn.mustClose = true
		relayconn.limit.account.Release()
		return nil, err
	}
	relayconn.limit.account.MoveTo(caller.AccountFrom(ctx))
	relayconn.lastAnswer = time.Now()
	return response, nil
}

// exchangeName returns the name of the last exchange, which has ended (see
// api.Reply.Exchange). Each exchange changed exchangeNumber twice.
func (relayconn *relayConn) exchangeName() string {
	relayconn.mutex.Lock()
	defer relayconn.mutex.Unlock()
	return relayconn.conn.LocalAddr().String() + "/" + strconv.Itoa(relayconn.exchangeNumber/2)
}

// interrupt ends the exchange with the given number: after lateAnswerWait if its
// query was answered without it, and immediately otherwise. It does nothing if the
// exchange has already ended.
func (relayconn *relayConn) interrupt(number int, cause error) {
	relayconn.mutex.Lock()
	defer relayconn.mutex.Unlock()
	if number != relayconn.exchangeNumber {
		return
	}
	relayconn.isDeadlineSet = true
	// A deadline in the past ends reads and writes immediately.
	deadline := time.Unix(1, 0)
	if errors.Is(cause, api.ErrAnswered) {
		deadline = time.Now().Add(lateAnswerWait)
	}
	_ = relayconn.conn.SetDeadline(deadline)
}

// endExchange invalidates the exchange number and removes the deadline that
// interrupt may have set.
func (relayconn *relayConn) endExchange() {
	relayconn.mutex.Lock()
	defer relayconn.mutex.Unlock()
	relayconn.exchangeNumber++
	if relayconn.isDeadlineSet {
		relayconn.isDeadlineSet = false
		_ = relayconn.conn.SetDeadline(time.Time{})
	}
}

// sendAndRead writes the request and reads the answer. It writes a long request in
// a goroutine of its own, because a replica may answer before it has read all of
// the request.
func (relayconn *relayConn) sendAndRead(request encodedRequest) (*api.Response, error) {
	if len(request.longBody) == 0 && len(request.encoded) <= maxInlineWriteBytes {
		if count, err := relayconn.conn.Write(request.encoded); err != nil {
			return nil, &writeError{isUnsent: count == 0 && isReset(err), cause: err}
		}
		return relayconn.readAnswer(request)
	}
	writer := &requestWriter{conn: relayconn.conn, encoded: request.encoded, longBody: request.longBody, result: make(chan error, 1)}
	go writer.run()
	response, err := relayconn.readAnswer(request)
	select {
	case writeErr := <-writer.result:
		relayconn.mustClose = relayconn.mustClose || writeErr != nil
	default:
		// Part of the request is still unsent. The replica would read the bytes
		// of another request as the rest of this one.
		relayconn.mustClose = true
	}
	return response, err
}

// writeError reports that a request could not be written.
type writeError struct {
	// isUnsent is set if the connection was closed before the first byte.
	isUnsent bool
	cause    error
}

// Error returns a message with the cause.
func (writeerror *writeError) Error() string { return "write request: " + writeerror.cause.Error() }

// Unwrap returns the cause.
func (writeerror *writeError) Unwrap() error { return writeerror.cause }

// requestWriter writes a long request and sends the result of the write.
type requestWriter struct {
	conn net.Conn
	// encoded and longBody are those of an encodedRequest.
	encoded  []byte
	longBody []byte
	result   chan error
}

func (requestwriter *requestWriter) run() {
	_, err := requestwriter.conn.Write(requestwriter.encoded)
	if err == nil {
		_, err = requestwriter.conn.Write(requestwriter.longBody)
	}
	requestwriter.result <- err
}

// errNoIdentity reports an answer without an identity on a connection that has
// already carried another request. It may be the answer to that one.
var errNoIdentity = errors.New("answer without an identity on a connection in use again")

// readAnswer reads answers until it finds the one to request, and skips up to
// maxUnrelatedAnswers others. These may be delayed duplicates of answers to earlier
// requests on the connection. An answer without an identity counts as the one to
// request only if the connection has carried no other. That to a check of the replica's
// health is known by its responder instead. A copy of it that comes late is a success:
// after another one, the connection carries no further request.
func (relayconn *relayConn) readAnswer(request encodedRequest) (*api.Response, error) {
	for range maxUnrelatedAnswers + 1 {
		response, err := relayconn.readFinalResponse(request.method)
		if err != nil {
			return nil, err
		}
		identity := response.Header[request.identityHeader]
		isOfCheck := len(identity) == 0 && len(response.Header[request.responderHeader]) > 0
		switch {
		case isOfCheck && request.isCheck:
			return response, nil
		case isOfCheck && relayconn.hasCarriedCheck && isSuccess(response.StatusCode):
			// It is a delayed duplicate.
		case len(identity) == 0 && !relayconn.lastAnswer.IsZero():
			return nil, errNoIdentity
		case len(identity) == 0 || identity[0] == request.identity:
			return response, nil
		}
		relayconn.mustClose = true
	}
	return nil, errors.New("only answers to other requests were read")
}

// readFinalResponse reads the next complete response and skips interim responses
// (1xx). It returns an error if a status is not valid, if an interim response states a
// body, or if the response exceeds maxReplyHeadBytes or MaxReplyBytes.
func (relayconn *relayConn) readFinalResponse(method string) (*api.Response, error) {
	relayconn.limit.remaining, relayconn.limit.bytesFactor = maxReplyHeadBytes, replyHeadBytesFactor
	for {
		response, err := http.ReadResponse(relayconn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if err := checkStatus(response.StatusCode); err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if response.StatusCode < http.StatusOK {
			if err := checkInterim(response.StatusCode, textproto.MIMEHeader(response.Header)); err != nil {
				return nil, errors.Wrap(err, "read answer")
			}
			continue
		}
		relayconn.limit.remaining, relayconn.limit.bytesFactor = MaxReplyBytes+maxReplyFramingBytes, replyBodyBytesFactor
		body, err := readBody(response)
		if err != nil {
			return nil, errors.Wrap(err, "read body of answer")
		}
		relayconn.updateReuse(response)
		return &api.Response{StatusCode: response.StatusCode, Header: response.Header, Body: body}, nil
	}
}

// updateReuse determines from a response whether and for how long the connection
// may be reused.
func (relayconn *relayConn) updateReuse(response *http.Response) {
	if response.Close || relayconn.reader.Buffered() > 0 {
		relayconn.mustClose = true
	}
	idleTimeout := relayIdleTimeout
	if timeout, isSet := parseKeepAliveTimeout(response.Header.Get("Keep-Alive")); isSet {
		idleTimeout = timeout - relayIdleMargin
	}
	relayconn.reusableUntil = time.Now().Add(idleTimeout)
}

// parseKeepAliveTimeout returns the timeout of a Keep-Alive header, and whether the
// header has one.
func parseKeepAliveTimeout(header string) (time.Duration, bool) {
	for item := range strings.SplitSeq(header, ",") {
		value, isTimeout := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if seconds, err := strconv.Atoi(value); isTimeout && err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// readBody reads a complete body of at most MaxReplyBytes. A stated length alone takes no
// memory.
func readBody(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	if response.ContentLength > MaxReplyBytes {
		return nil, errors.Errorf("%d bytes; allowed: %d", response.ContentLength, MaxReplyBytes)
	}
	body, err := readGrowing(response.Body, response.ContentLength, MaxReplyBytes)
	if err == nil && int64(len(body)) < response.ContentLength {
		return nil, io.ErrUnexpectedEOF
	}
	if err == nil && len(body) > MaxReplyBytes {
		return nil, errors.Errorf("over %d bytes", MaxReplyBytes)
	}
	return body, err
}
