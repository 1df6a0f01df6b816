package http

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// endlessReplica answers the first request on each connection, or none if isFirst is
// set, and sends bytes without end in place of the next answer.
type endlessReplica struct {
	isFirst bool
	// start is sent once, and repeated again and again after it until the caller
	// closes the connection, with pause in between.
	start, repeated string
	pause           time.Duration
	// closed receives a value when the caller has closed a connection.
	closed chan struct{}
}

// serve answers on one connection.
func (endlessreplica *endlessReplica) serve(conn net.Conn) {
	buffer := make([]byte, 4<<10)
	if !endlessreplica.isFirst {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answerFor("a", "first"))
	}
	if _, err := conn.Read(buffer); err != nil {
		return
	}
	_, err := io.WriteString(conn, endlessreplica.start)
	for err == nil {
		time.Sleep(endlessreplica.pause)
		_, err = io.WriteString(conn, endlessreplica.repeated)
	}
	endlessreplica.closed <- struct{}{}
}

// TestRelayLinkEndlessBytes sends requests to a replica that answers with bytes
// without end, in a head or a body, fast or drop by drop, on a new connection or on
// one in use again. The request must end by its deadline, with an error, bounded
// memory and a closed connection.
func TestRelayLinkEndlessBytes(t *testing.T) {
	const (
		deadline = 300 * time.Millisecond
		// maxAllocated is several times the largest reply.
		maxAllocated = 8 * MaxReplyBytes
		drop         = 5 * time.Millisecond
	)
	block := strings.Repeat("x", 32<<10)
	ok := "HTTP/1.1 200 OK\r\nMimosa-Request: b\r\nMimosa-Signature: s\r\n"
	tests := map[string]struct {
		start, repeated string
		pause           time.Duration
	}{
		"no line end":                         {repeated: block},
		"no line end, drop by drop":           {repeated: "x", pause: drop},
		"headers":                             {start: ok, repeated: "Header: " + block + "\r\n"},
		"headers, drop by drop":               {start: ok, repeated: "Header: x\r\n", pause: drop},
		"one header":                          {start: ok + "Header: ", repeated: block},
		"interim responses":                   {repeated: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000)},
		"interim responses, drop by drop":     {repeated: "HTTP/1.1 103 Early Hints\r\n\r\n", pause: drop},
		"answers to another request":          {repeated: strings.Repeat(answerFor("z", "stale"), 100)},
		"a body without length":               {start: ok + "\r\n", repeated: block},
		"a body without length, drop by drop": {start: ok + "\r\n", repeated: "x", pause: drop},
		"a chunked body":                      {start: ok + "Transfer-Encoding: chunked\r\n\r\n", repeated: "8000\r\n" + block + "\r\n"},
		"a chunked body of small chunks":      {start: ok + "Transfer-Encoding: chunked\r\n\r\n", repeated: strings.Repeat("1\r\nx\r\n", 1000)},
		"trailers":                            {start: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "Header: " + block + "\r\n"},
		"a stated length beyond the limit":    {start: ok + "Content-Length: 1000000000000\r\n\r\n", repeated: block},
		"a stated length, drop by drop":       {start: ok + "Content-Length: 4000000\r\n\r\n", repeated: "x", pause: drop},
	}
	for name, test := range tests {
		for kind, isFirst := range map[string]bool{"new connection": true, "used connection": false} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				replica := &endlessReplica{isFirst: isFirst, start: test.start, repeated: test.repeated, pause: test.pause, closed: make(chan struct{}, 1)}
				link := newLink(startServer(t, replica.serve))
				if !isFirst {
					_, err := link.Send(t.Context(), newAttempt("a"))
					assert.NilError(t, err)
				}
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				start := time.Now()
				_, err := link.Send(ctx, newAttempt("b"))
				took := time.Since(start)
				runtime.ReadMemStats(&after)
				var senderror *SendError
				assert.Assert(t, err != nil)
				assert.Assert(t, asSendError(err, &senderror) && senderror.MayHaveRun)
				assert.Assert(t, took < 2*deadline, "took %s", took)
				assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxAllocated, "%d bytes", after.TotalAlloc-before.TotalAlloc)
				select {
				case <-replica.closed:
				case <-time.After(time.Second):
					t.Fatal("the connection was not closed")
				}
			})
		}
	}
}

// TestRelayLinkBytesWhileIdle sends bytes without end on an idle connection. The next
// request must use another connection.
func TestRelayLinkBytesWhileIdle(t *testing.T) {
	replica := startReplica(t, func(number int, request *http.Request) (string, bool) {
		answer := answerFor(request.Header.Get("Mimosa-Request"), "own")
		if number == 0 {
			answer += strings.Repeat("x", 256<<10)
		}
		return answer, false
	})
	link := replica.link()
	_, err := link.Send(t.Context(), newAttempt("a"))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		reply, err := link.Send(t.Context(), newAttempt("b"))
		if err != nil || string(reply.Body) != "own" {
			return poll.Error(err)
		}
		return poll.Success()
	})
}
