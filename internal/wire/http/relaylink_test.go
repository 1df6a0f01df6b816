package http

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// scriptedReplica answers each request on a connection with the next of its
// scripts. A script may hold more than one answer, or a part of one.
type scriptedReplica struct {
	listener net.Listener
	// script returns the bytes to answer the request of a number with, and
	// whether the connection ends after them.
	script func(number int, request *http.Request) (string, bool)
	// readsBody is unset where the replica answers before it reads a body.
	leavesBody bool
	requests   chan *http.Request
	// count is how many requests came.
	count atomic.Int64
}

func startReplica(t *testing.T, script func(number int, request *http.Request) (string, bool)) *scriptedReplica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	scriptedreplica := &scriptedReplica{listener: listener, script: script, requests: make(chan *http.Request, 64)}
	t.Cleanup(func() { _ = listener.Close() })
	go scriptedreplica.run()
	return scriptedreplica
}

func (scriptedreplica *scriptedReplica) run() {
	for {
		conn, err := scriptedreplica.listener.Accept()
		if err != nil {
			return
		}
		go (&scriptedConn{replica: scriptedreplica, conn: conn}).run()
	}
}

// scriptedConn is one connection to a scripted replica.
type scriptedConn struct {
	replica *scriptedReplica
	conn    net.Conn
}

func (scriptedconn *scriptedConn) run() {
	defer scriptedconn.conn.Close()
	replica := scriptedconn.replica
	reader := bufio.NewReader(scriptedconn.conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !replica.leavesBody {
			body, _ := io.ReadAll(request.Body)
			request.Body = io.NopCloser(strings.NewReader(string(body)))
		}
		replica.requests <- request
		answer, isLast := replica.script(int(replica.count.Add(1))-1, request)
		_, _ = io.WriteString(scriptedconn.conn, answer)
		if isLast {
			return
		}
	}
}

func (scriptedreplica *scriptedReplica) link() *RelayLink {
	instance := api.Instance{Name: "i-1", Address: scriptedreplica.listener.Addr().String()}
	replica := &view.Replica{Instance: instance, Upstream: api.Upstream{ConnectionLimit: 26}, Stats: &view.ReplicaStats{}}
	return OpenRelayLink(&OwnNames)(replica, 8)
}

func answerTo(identity, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nMimosa-Request: %s\r\nMimosa-Signature: s-%s\r\nContent-Length: %d\r\n\r\n%s", identity, identity, len(body), body)
}

func attemptOf(identity string) api.Attempt {
	relayed := &api.RelayedRequest{
		Identity:      identity,
		Method:        http.MethodGet,
		Host:          "trials.example",
		RequestTarget: "/burn/7?x=%2f",
		Header:        []byte("Accept: */*\r\nMimosa-Request: " + identity + "\r\n"),
	}
	return api.Attempt{Shard: "s", RelayedRequest: relayed, Replica: "i-1", Deadline: time.Now().Add(time.Second)}
}

// TestRelayLinkAnswers checks, answer by answer, what a link makes of bytes
// that a sound or faulty replica sends for the second of two requests.
func TestRelayLinkAnswers(t *testing.T) {
	tests := map[string]struct {
		// first is sent after the first answer, second for the second request.
		first, second string
		isLast        bool
		status        api.ReplyStatus
		body          string
		fails         bool
	}{
		"a whole answer":                    {second: answerTo("b", "records"), status: api.ReplyDone, body: "records"},
		"a late repeat of the first answer": {second: answerTo("a", "stale") + answerTo("b", "fresh"), status: api.ReplyDone, body: "fresh"},
		"only the late repeat":              {second: answerTo("a", "stale"), isLast: true, fails: true},
		"a body that is cut short":          {second: answerTo("b", "records")[:80], isLast: true, fails: true},
		"bytes that are no answer":          {second: "\x00\x01garbage\r\n\r\n", isLast: true, fails: true},
		"a body that ends with the connection": {
			second: "HTTP/1.1 200 OK\r\nMimosa-Request: b\r\nMimosa-Signature: s\r\n\r\nuntil the end", isLast: true,
			status: api.ReplyDone, body: "until the end",
		},
		"a success without a signature": {second: "HTTP/1.1 200 OK\r\nMimosa-Request: b\r\nContent-Length: 2\r\n\r\nok", status: api.ReplyFailed, body: "ok"},
		"an encoded body": {
			second: "HTTP/1.1 200 OK\r\nMimosa-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
			status: api.ReplyFailed, body: "ok",
		},
		"a refusal":                  {second: "HTTP/1.1 503 Service Unavailable\r\nMimosa-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status: api.ReplyShed},
		"a failure of the replica":   {second: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", status: api.ReplyFailed},
		"another replica's address":  {second: "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", status: api.ReplyWrongReplica},
		"an interim answer first":    {second: "HTTP/1.1 103 Early Hints\r\n\r\n" + answerTo("b", "records"), status: api.ReplyDone, body: "records"},
		"a chunked body":             {second: "HTTP/1.1 200 OK\r\nMimosa-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", status: api.ReplyDone, body: "abc"},
		"a chunked body cut short":   {second: "HTTP/1.1 200 OK\r\nMimosa-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab", isLast: true, fails: true},
		"an early repeat, read late": {first: answerTo("a", "stale"), second: answerTo("b", "fresh"), status: api.ReplyDone, body: "fresh"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scripted := startReplica(t, func(number int, request *http.Request) (string, bool) {
				if request.Header.Get("Mimosa-Request") == "a" {
					return answerTo("a", "first") + test.first, false
				}
				return test.second, test.isLast
			})
			link := scripted.link()
			reply, err := link.Send(t.Context(), attemptOf("a"))
			assert.NilError(t, err)
			assert.Equal(t, string(reply.Body), "first")
			reply, err = link.Send(t.Context(), attemptOf("b"))
			if test.fails {
				var senderror *SendError
				assert.Assert(t, err != nil)
				assert.Assert(t, asSendError(err, &senderror) && senderror.MayHaveRun)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, reply.Status, test.status)
			assert.Equal(t, string(reply.Body), test.body)
		})
	}
}

func asSendError(err error, target **SendError) bool {
	senderror, isSend := err.(*SendError)
	*target = senderror
	return isSend
}

// TestRelayLinkPassesRequest checks that a request reaches the replica
// unchanged but for the headers of one connection and of the system.
func TestRelayLinkPassesRequest(t *testing.T) {
	scripted := startReplica(t, func(_ int, request *http.Request) (string, bool) {
		return answerTo(request.Header.Get("Mimosa-Request"), ""), false
	})
	attempt := attemptOf("a")
	attempt.RelayedRequest.Method = http.MethodPost
	attempt.RelayedRequest.Body = []byte(strings.Repeat("sample", 5_000))
	_, err := scripted.link().Send(t.Context(), attempt)
	assert.NilError(t, err)
	got := <-scripted.requests
	body, err := io.ReadAll(got.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), string(attempt.RelayedRequest.Body))
	assert.Equal(t, got.RequestURI, "/burn/7?x=%2f")
	assert.Equal(t, got.Method, http.MethodPost)
	assert.Equal(t, got.Host, "trials.example")
	left, err := strconv.Atoi(got.Header.Get("Mimosa-Deadline-Millis"))
	assert.NilError(t, err)
	assert.Assert(t, left > 500 && left <= 1000, "%d", left)
	assert.DeepEqual(t, got.Header["Mimosa-Replica"], []string{"i-1"})
	assert.DeepEqual(t, got.Header["Accept"], []string{"*/*"})
}

// TestRelayLinkEarlyAnswer checks that a connection on which the replica
// answered before it had read a long body carries no further request.
func TestRelayLinkEarlyAnswer(t *testing.T) {
	scripted := startReplica(t, func(_ int, request *http.Request) (string, bool) {
		return answerTo(request.Header.Get("Mimosa-Request"), "early"), false
	})
	scripted.leavesBody = true
	link := scripted.link()
	attempt := attemptOf("a")
	attempt.RelayedRequest.Method = http.MethodPost
	attempt.RelayedRequest.Body = make([]byte, 64<<20)
	reply, err := link.Send(t.Context(), attempt)
	assert.NilError(t, err)
	assert.Equal(t, string(reply.Body), "early")
	assert.Equal(t, len(link.idle), 0)
	assert.Equal(t, link.open, 0)
}

// TestRelayLinkLimit checks that a link opens no more connections than its
// share, and that those who wait get one in turn or leave with their context.
func TestRelayLinkLimit(t *testing.T) {
	release := make(chan struct{})
	scripted := startReplica(t, func(_ int, request *http.Request) (string, bool) {
		<-release
		return answerTo(request.Header.Get("Mimosa-Request"), ""), false
	})
	link := scripted.link()
	link.most = 1
	results := make(chan error, 2)
	for _, identity := range []string{"a", "b"} {
		sender := &testSender{link: link, ctx: t.Context(), attempt: attemptOf(identity), results: results}
		go sender.run()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		link.mutex.Lock()
		defer link.mutex.Unlock()
		if link.open == 1 && link.waiting.Len() == 1 {
			return poll.Success()
		}
		return poll.Continue("one sends, %d wait", link.waiting.Len())
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := link.Send(ctx, attemptOf("c"))
	var senderror *SendError
	assert.Assert(t, asSendError(err, &senderror) && !senderror.MayHaveRun)
	close(release)
	assert.NilError(t, <-results)
	assert.NilError(t, <-results)
	assert.Equal(t, link.open, 1)
}

// TestRelayLinkTellsTimeLeft checks that a request which waited for a
// connection states what is left of its time when it is sent.
func TestRelayLinkTellsTimeLeft(t *testing.T) {
	const wait = 200 * time.Millisecond
	scripted := startReplica(t, func(number int, request *http.Request) (string, bool) {
		if number == 0 {
			time.Sleep(wait)
		}
		return answerTo(request.Header.Get("Mimosa-Request"), ""), false
	})
	link := scripted.link()
	link.most = 1
	results := make(chan error, 1)
	go (&testSender{link: link, ctx: t.Context(), attempt: attemptOf("a"), results: results}).run()
	<-scripted.requests
	_, err := link.Send(t.Context(), attemptOf("b"))
	assert.NilError(t, err)
	assert.NilError(t, <-results)
	left, err := strconv.Atoi((<-scripted.requests).Header.Get("Mimosa-Deadline-Millis"))
	assert.NilError(t, err)
	assert.Assert(t, left <= 1000-150, "%d ms left", left)
}

type testSender struct {
	link    *RelayLink
	ctx     context.Context
	attempt api.Attempt
	results chan error
}

func (testsender *testSender) run() {
	_, err := testsender.link.Send(testsender.ctx, testsender.attempt)
	testsender.results <- err
}

// TestRelayLinkCancel checks what becomes of a connection whose attempt is no
// longer wanted: it is closed at once when the caller left, and kept for the
// answer when the query was answered without it.
func TestRelayLinkCancel(t *testing.T) {
	tests := map[string]struct {
		cause  error
		idle   int
		fails  bool
		within time.Duration
	}{
		"the caller left":     {cause: context.Canceled, fails: true, within: 30 * time.Millisecond},
		"answered without it": {cause: api.ErrAnswered, idle: 1, within: linger},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scripted := startReplica(t, func(_ int, request *http.Request) (string, bool) {
				time.Sleep(50 * time.Millisecond)
				return answerTo(request.Header.Get("Mimosa-Request"), ""), false
			})
			link := scripted.link()
			ctx, cancel := context.WithCancelCause(t.Context())
			time.AfterFunc(10*time.Millisecond, func() { cancel(test.cause) })
			start := time.Now()
			_, err := link.Send(ctx, attemptOf("a"))
			assert.Equal(t, err != nil, test.fails)
			assert.Assert(t, time.Since(start) < test.within+20*time.Millisecond)
			assert.Equal(t, len(link.idle), test.idle)
		})
	}
}

func BenchmarkRelayLink(b *testing.B) {
	replica := startBenchReplica(b)
	link := replica.link()
	attempt := attemptOf("a")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := link.Send(b.Context(), attempt); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkTransport(b *testing.B) {
	replica := startBenchReplica(b)
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+replica.listener.Addr().String()+"/burn/7", nil)
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("Mimosa-Request", "a")
		response, err := transport.RoundTrip(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
}

// startBenchReplica starts a replica that costs little beside the link.
func startBenchReplica(b *testing.B) *scriptedReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	go (&benchReplica{listener: listener}).run()
	return &scriptedReplica{listener: listener}
}

type benchReplica struct{ listener net.Listener }

func (benchreplica *benchReplica) run() {
	answer := []byte(answerTo("a", strings.Repeat("r", 1_000)))
	for {
		conn, err := benchreplica.listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 4096)
		for {
			if _, err := conn.Read(buffer); err != nil {
				break
			}
			_, _ = conn.Write(answer)
		}
	}
}

// TestRelayLinkShare checks how many connections a link may open.
func TestRelayLinkShare(t *testing.T) {
	tests := map[string]struct {
		limit, slots, instances int
		isHome                  bool
		want                    int
	}{
		"a home, few instances":     {limit: 26, slots: 2, instances: 1, isHome: true, want: 4},
		"a home, eight instances":   {limit: 26, slots: 2, instances: 8, isHome: true, want: 3},
		"many instances, no homes":  {limit: 62, slots: 2, instances: 80, isHome: true, want: 1},
		"a home beside two others":  {limit: 62, slots: 2, instances: 3, isHome: true, want: 4},
		"no home":                   {limit: 26, slots: 2, instances: 1, want: 1},
		"a replica with many slots": {limit: 110, slots: 3, instances: 8, isHome: true, want: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			upstream := api.Upstream{ConnectionLimit: test.limit, Slots: test.slots}
			link := OpenRelayLink(&OwnNames)(&view.Replica{Upstream: upstream}, test.instances)
			assert.Equal(t, link.most, 1, "until it is known who the homes are")
			link.Share(test.instances, test.isHome)
			assert.Equal(t, link.most, test.want)
		})
	}
}

// TestRelayLinkWarms checks that a link opens as many connections ahead as the
// replica has slots, and that requests use them.
func TestRelayLinkWarms(t *testing.T) {
	scripted := startReplica(t, func(_ int, request *http.Request) (string, bool) {
		return answerTo(request.Header.Get("Mimosa-Request"), ""), false
	})
	link := scripted.link()
	link.upstream.Slots = 2
	link.Share(3, true)
	count := func() (int, int) {
		link.mutex.Lock()
		defer link.mutex.Unlock()
		return link.open, len(link.idle)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		link.Warm()
		if open, idle := count(); open == 2 && idle == 2 {
			return poll.Success()
		}
		return poll.Continue("connections are opened")
	})
	link.Warm()
	_, err := link.Send(t.Context(), attemptOf("a"))
	assert.NilError(t, err)
	open, idle := count()
	assert.Equal(t, open, 2)
	assert.Equal(t, idle, 2)
}
