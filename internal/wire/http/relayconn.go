package http

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

const (
	// relayReadBuffer holds a usual part with its headers, in bytes.
	relayReadBuffer = 2 << 10
	// inlineWrite is the largest request that is written before its answer is
	// read, in bytes; it fits a socket's buffer.
	inlineWrite = 8 << 10
	// mostStrays is how many answers to other requests are read past.
	mostStrays = 3
	// linger is how long a connection is kept for the answer of an attempt
	// whose query was answered without it: most answers come within it, and
	// opening a connection anew costs the replica more.
	linger = 100 * time.Millisecond
)

// relayRequest is a request as it goes to a replica.
type relayRequest struct {
	method   string
	identity string
	// identityName is the header in which the replica echoes identity.
	identityName string
	bytes        []byte
}

// relayConn is one connection to a replica.
type relayConn struct {
	conn   *net.TCPConn
	raw    syscall.RawConn
	reader *bufio.Reader
	// answered is when the last answer was read; zero on a new connection.
	answered time.Time
	// idleUntil is when the replica may close the connection.
	idleUntil time.Time
	// isSpent is set once the connection can carry no further request.
	isSpent bool

	mutex sync.Mutex
	// interrupted is set while a deadline of the socket is set.
	interrupted bool
	// exchanges counts the requests, so that a late interruption does not
	// reach the next one.
	exchanges int
}

func newRelayConn(conn *net.TCPConn) *relayConn {
	relayconn := &relayConn{conn: conn, reader: bufio.NewReaderSize(conn, relayReadBuffer)}
	raw, err := conn.SyscallConn()
	if err != nil {
		relayconn.isSpent = true
		return relayconn
	}
	relayconn.raw = raw
	return relayconn
}

func (relayconn *relayConn) close() { _ = relayconn.conn.Close() }

// isUsable reports whether an idle connection may carry a request. A command
// needs one that has just proved to be alive.
func (relayconn *relayConn) isUsable(isCommand bool) bool {
	now := time.Now()
	if now.After(relayconn.idleUntil) || isCommand && now.Sub(relayconn.answered) > relayFresh {
		return false
	}
	return relayconn.raw != nil && relayconn.reader.Buffered() == 0 && isQuiet(relayconn.raw)
}

// exchange sends a request and reads the answer to it whole.
func (relayconn *relayConn) exchange(ctx context.Context, request relayRequest) (*api.Response, error) {
	relayconn.mutex.Lock()
	relayconn.exchanges++
	number := relayconn.exchanges
	relayconn.mutex.Unlock()
	stop := context.AfterFunc(ctx, func() { relayconn.interrupt(number, context.Cause(ctx)) })
	response, err := relayconn.converse(request)
	stop()
	relayconn.settle()
	if err != nil {
		relayconn.isSpent = true
		return nil, err
	}
	relayconn.answered = time.Now()
	return response, nil
}

// interrupt ends the exchange of the given number: at once, or after linger
// where its query was answered without it.
func (relayconn *relayConn) interrupt(number int, cause error) {
	relayconn.mutex.Lock()
	defer relayconn.mutex.Unlock()
	if number != relayconn.exchanges {
		return
	}
	relayconn.interrupted = true
	deadline := time.Unix(1, 0)
	if errors.Is(cause, api.ErrAnswered) {
		deadline = time.Now().Add(linger)
	}
	_ = relayconn.conn.SetDeadline(deadline)
}

// settle removes the deadline that an interruption set.
func (relayconn *relayConn) settle() {
	relayconn.mutex.Lock()
	defer relayconn.mutex.Unlock()
	relayconn.exchanges++
	if relayconn.interrupted {
		relayconn.interrupted = false
		_ = relayconn.conn.SetDeadline(time.Time{})
	}
}

// converse writes the request and reads the answer. A long request is written
// beside the reading, as a replica may answer before it has read all of it.
func (relayconn *relayConn) converse(request relayRequest) (*api.Response, error) {
	if len(request.bytes) <= inlineWrite {
		if _, err := relayconn.conn.Write(request.bytes); err != nil {
			return nil, errors.Wrap(err, "write request")
		}
		return relayconn.read(request)
	}
	writer := &requestWriter{conn: relayconn.conn, bytes: request.bytes, done: make(chan error, 1)}
	go writer.run()
	response, err := relayconn.read(request)
	select {
	case failure := <-writer.done:
		relayconn.isSpent = relayconn.isSpent || failure != nil
	default:
		// The replica would take other bytes for the rest of this request.
		relayconn.isSpent = true
	}
	return response, err
}

// requestWriter writes a long request.
type requestWriter struct {
	conn  net.Conn
	bytes []byte
	done  chan error
}

func (requestwriter *requestWriter) run() {
	_, err := requestwriter.conn.Write(requestwriter.bytes)
	requestwriter.done <- err
}

// read reads answers until the one to request. Those to other requests may be
// late repeats of the connection's earlier ones.
func (relayconn *relayConn) read(request relayRequest) (*api.Response, error) {
	for range mostStrays + 1 {
		response, err := relayconn.readOne(request.method)
		if err != nil {
			return nil, err
		}
		identity := response.Header[request.identityName]
		if len(identity) == 0 || identity[0] == request.identity {
			return response, nil
		}
		relayconn.isSpent = true
	}
	return nil, errors.New("only answers to other requests were read")
}

// readOne reads one final answer whole.
func (relayconn *relayConn) readOne(method string) (*api.Response, error) {
	for {
		response, err := http.ReadResponse(relayconn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		body, err := readBody(response)
		if err != nil {
			return nil, errors.Wrap(err, "read body of answer")
		}
		relayconn.noteEnd(response)
		return &api.Response{StatusCode: response.StatusCode, Header: response.Header, Body: body}, nil
	}
}

// noteEnd decides from an answer whether and how long the connection may be
// used again.
func (relayconn *relayConn) noteEnd(response *http.Response) {
	if response.Close || relayconn.reader.Buffered() > 0 || response.StatusCode == http.StatusSwitchingProtocols {
		relayconn.isSpent = true
	}
	idle := relayIdle
	if timeout, isSet := keepAliveTimeout(response.Header.Get("Keep-Alive")); isSet {
		idle = timeout - relayIdleMargin
	}
	relayconn.idleUntil = time.Now().Add(idle)
}

func keepAliveTimeout(header string) (time.Duration, bool) {
	for item := range strings.SplitSeq(header, ",") {
		value, isTimeout := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if seconds, err := strconv.Atoi(value); isTimeout && err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

func readBody(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	if response.ContentLength > MaxReplyBytes {
		return nil, errors.Errorf("%d bytes; allowed: %d", response.ContentLength, MaxReplyBytes)
	}
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxReplyBytes+1))
	if len(body) > MaxReplyBytes {
		return nil, errors.Errorf("over %d bytes", MaxReplyBytes)
	}
	return body, err
}
