package http

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// repeatingReplica gives the first answers to every request without doing it, and does
// the request afterwards. It sends each first answer a second time, as late as it can be
// mistaken: directly before the next answer to the same request on the same connection.
type repeatingReplica struct {
	// firstAnswer is the head of the first answers, without the identity.
	firstAnswer string
	// firstAnswers is the number of first answers to each request.
	firstAnswers int

	// mutex guards the fields below.
	mutex sync.Mutex
	// received counts the requests by identity, and connections the connections.
	received    map[string]int
	connections int
}

// serve answers the requests on one connection.
func (repeatingreplica *repeatingReplica) serve(conn net.Conn) {
	repeatingreplica.mutex.Lock()
	repeatingreplica.connections++
	repeatingreplica.mutex.Unlock()
	reader := bufio.NewReader(conn)
	lateCopies := make(map[string]string)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		identity := request.Header.Get(DefaultHeaderNames.Identity)
		answer, isDone := repeatingreplica.answer(identity)
		_, _ = io.WriteString(conn, lateCopies[identity]+answer)
		delete(lateCopies, identity)
		if !isDone {
			lateCopies[identity] = answer
		}
	}
}

// answer returns the answer to a request, and whether the replica did the request.
func (repeatingreplica *repeatingReplica) answer(identity string) (string, bool) {
	repeatingreplica.mutex.Lock()
	defer repeatingreplica.mutex.Unlock()
	repeatingreplica.received[identity]++
	if repeatingreplica.received[identity] > repeatingreplica.firstAnswers {
		return answerFor(identity, "the answer to "+identity), true
	}
	return repeatingreplica.firstAnswer + "Mimosa-Request: " + identity + "\r\nContent-Length: 0\r\n\r\n", false
}

// connectionCount returns the number of connections so far.
func (repeatingreplica *repeatingReplica) connectionCount() int {
	repeatingreplica.mutex.Lock()
	defer repeatingreplica.mutex.Unlock()
	return repeatingreplica.connections
}

// startRepeatingReplica starts a repeatingReplica that stops with the test, and returns
// it with a link that may open the given number of connections to it.
func startRepeatingReplica(t *testing.T, firstAnswer string, firstAnswers, connections int) (*repeatingReplica, *RelayLink) {
	t.Helper()
	replica := &repeatingReplica{firstAnswer: firstAnswer, firstAnswers: firstAnswers, received: make(map[string]int)}
	link := newLink(startServer(t, replica.serve))
	link.maxConnections = connections
	return replica, link
}

// shedAnswer is the head of a refusal without its identity.
const shedAnswer = "HTTP/1.1 503 Service Unavailable\r\nMimosa-Not-Run: 1\r\n"

// TestRelayLinkLateCopy guards against a late second copy of an answer that is taken for
// the answer to the same request sent again on the same connection.
func TestRelayLinkLateCopy(t *testing.T) {
	tests := map[string]struct {
		firstAnswer string
		isCommand   bool
		wantFirst   api.ReplyStatus
	}{
		"a command is refused":                {firstAnswer: shedAnswer, isCommand: true, wantFirst: api.ReplyShed},
		"a command is refused by the rate":    {firstAnswer: "HTTP/1.1 429 Too Many Requests\r\nMimosa-Not-Run: 1\r\n", isCommand: true, wantFirst: api.ReplyShed},
		"a command reached another replica":   {firstAnswer: "HTTP/1.1 421 Misdirected Request\r\n", isCommand: true, wantFirst: api.ReplyWrongReplica},
		"a query is refused":                  {firstAnswer: shedAnswer, wantFirst: api.ReplyShed},
		"a query fails":                       {firstAnswer: "HTTP/1.1 500 Internal Server Error\r\n", wantFirst: api.ReplyFailed},
		"a query fails with 503":              {firstAnswer: "HTTP/1.1 503 Service Unavailable\r\n", wantFirst: api.ReplyFailed},
		"a query succeeds without signature":  {firstAnswer: "HTTP/1.1 200 OK\r\n", wantFirst: api.ReplyFailed},
		"a query is answered with an interim": {firstAnswer: "HTTP/1.1 103 Early Hints\r\n\r\n" + shedAnswer, wantFirst: api.ReplyShed},
	}
	for name, test := range tests {
		for _, connections := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d connections", name, connections), func(t *testing.T) {
				const firstAnswers = 3
				_, link := startRepeatingReplica(t, test.firstAnswer, firstAnswers, connections)
				attempt := newAttempt("a")
				attempt.IsCommand = test.isCommand
				for range firstAnswers {
					reply, err := link.Send(t.Context(), attempt)
					assert.NilError(t, err)
					assert.Equal(t, reply.Status, test.wantFirst)
				}
				reply, err := link.Send(t.Context(), attempt)
				assert.NilError(t, err)
				assert.Equal(t, reply.Status, api.ReplyDone)
				assert.Equal(t, string(reply.Body), "the answer to a")
			})
		}
	}
}

// TestRelayLinkLateCopyAfterOthers guards against a late second copy of an answer that
// comes after the answers to other requests on the connection.
func TestRelayLinkLateCopyAfterOthers(t *testing.T) {
	tests := map[string]struct {
		// identities are those of the requests, in order.
		identities      []string
		connections     int
		wantConnections int
	}{
		"another request in between":              {identities: []string{"a", "b", "a"}, connections: 1, wantConnections: 2},
		"many requests in between":                {identities: []string{"a", "b", "c", "d", "e", "a"}, connections: 1, wantConnections: 2},
		"other requests use the connection again": {identities: []string{"a", "b", "c", "d"}, connections: 1, wantConnections: 1},
		"a second connection carries the request": {identities: []string{"a", "a", "b", "b"}, connections: 2, wantConnections: 2},
		"two requests refused on one connection":  {identities: []string{"a", "b", "a", "b"}, connections: 1, wantConnections: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replica, link := startRepeatingReplica(t, shedAnswer, 1, test.connections)
			sent := make(map[string]bool)
			for _, identity := range test.identities {
				reply, err := link.Send(t.Context(), newAttempt(identity))
				assert.NilError(t, err)
				if !sent[identity] {
					assert.Equal(t, reply.Status, api.ReplyShed)
				} else {
					assert.Equal(t, string(reply.Body), "the answer to "+identity)
				}
				sent[identity] = true
			}
			assert.Equal(t, replica.connectionCount(), test.wantConnections)
		})
	}
}

// TestRelayLinkLateCopyForWaiter guards against a waiting request that receives the very
// connection on which it was refused.
func TestRelayLinkLateCopyForWaiter(t *testing.T) {
	replica, link := startRepeatingReplica(t, shedAnswer, 1, 1)
	_, err := link.Send(t.Context(), newAttempt("a"))
	assert.NilError(t, err)
	conn, err := link.acquire(t.Context(), newAttempt("b"))
	assert.NilError(t, err)
	results := make(chan error, 1)
	waiting := &testSender{link: link, ctx: t.Context(), attempt: newAttempt("a"), results: results}
	go waiting.run()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		link.mutex.Lock()
		defer link.mutex.Unlock()
		if link.waiters.Len() == 1 {
			return poll.Success()
		}
		return poll.Continue("the second attempt does not wait yet")
	}, poll.WithDelay(time.Millisecond))
	link.release(conn)
	assert.NilError(t, <-results)
	assert.Equal(t, replica.connectionCount(), 2)
	assert.Equal(t, link.openCount, 1)
}

// TestRelayLinkUndoneIsBounded checks that a connection is closed before it remembers
// more than maxIdentities refused requests.
func TestRelayLinkUndoneIsBounded(t *testing.T) {
	replica, link := startRepeatingReplica(t, shedAnswer, 1, 1)
	for number := range 2*maxIdentities + 1 {
		_, err := link.Send(t.Context(), newAttempt(fmt.Sprintf("request-%d", number)))
		assert.NilError(t, err)
	}
	assert.Equal(t, replica.connectionCount(), 3)
}
