package http

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// lateAnswers answers attempts and health checks over HTTP/1.1, and sends one of its
// answers a second time, directly before the next one on the connection.
type lateAnswers struct {
	// repeated is the number of the answer that is sent twice, counted from 0 on the
	// first connection.
	repeated int
	answers  atomic.Int64
}

// serve answers the requests on one connection.
func (lateanswers *lateAnswers) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	lateCopy := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer := nativeAnswer(request)
		_, _ = io.WriteString(conn, lateCopy)
		// The copy is read before the answer is there.
		time.Sleep(time.Duration(len(lateCopy)) * lateAnswerDelayPerByte)
		_, _ = io.WriteString(conn, answer)
		lateCopy = ""
		if int(lateanswers.answers.Add(1)) == lateanswers.repeated+1 {
			lateCopy = answer
		}
	}
}

// lateAnswerDelayPerByte makes an answer come some 20 ms after the copy before it.
const lateAnswerDelayPerByte = 100 * time.Microsecond

// nativeAnswer returns the answer to an attempt or a health check.
func nativeAnswer(request *http.Request) string {
	if request.URL.Path == HealthPath {
		body := `{"leaving":false,"inFlight":1,"queued":0,"held":[7]}`
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	identity := request.Header.Get(headerAttempt)
	body := `{"answer":"` + identity + `","leaving":true,"held":[1]}`
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: done\r\n%s: 7\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s",
		headerAttempt, identity, headerStatus, headerSnapshot, headerEpoch, len(body), body)
}

// TestLinkLateCopy guards against a late second copy of an answer that shifts all later
// answers on an HTTP/1.1 connection, so that each is read for the request after its own.
func TestLinkLateCopy(t *testing.T) {
	tests := map[string]struct {
		// steps are the requests in order: the identities of attempts, or "health".
		steps []string
		// repeated is the number of the step whose answer is sent twice.
		repeated int
	}{
		"an attempt after an attempt":           {steps: []string{"a", "b", "c", "d"}},
		"a health check after an attempt":       {steps: []string{"a", "health", "b", "health"}},
		"an attempt after a health check":       {steps: []string{"health", "a", "b", "c"}},
		"a health check after a health check":   {steps: []string{"health", "health", "a", "health"}},
		"attempts and health checks in between": {steps: []string{"a", "b", "health", "c", "health"}, repeated: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			listener := startServer(t, (&lateAnswers{repeated: test.repeated}).serve)
			link := NewLink(listener.Addr().String(), api.Upstream{Protocol: api.ProtocolHTTP1, ConnectionLimit: 26}, 8)
			failures := 0
			for _, step := range test.steps {
				if step == "health" {
					health, err := link.Health(t.Context())
					if err != nil {
						failures++
						continue
					}
					assert.Check(t, !health.IsLeaving)
					assert.Check(t, health.InFlight == 1)
					continue
				}
				reply, err := link.Send(t.Context(), api.Attempt{Identity: step, Shard: "s", Kind: "k", Deadline: time.Now().Add(time.Second)})
				if err != nil {
					failures++
					continue
				}
				assert.Check(t, strings.Contains(string(reply.Body), `"answer":"`+step+`"`), "%s: %s", step, reply.Body)
			}
			assert.Check(t, failures <= 1, "%d of %d requests failed", failures, len(test.steps))
		})
	}
}
