package http

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// replyMemory is the memory for answers in TestReplyMemory.
const replyMemory = 1 << 20

// newReplyGuard returns a guard with replyMemory for answers.
func newReplyGuard() *caller.Guard {
	limits := caller.MemoryLimits{
		TotalBytes: 4 * replyMemory, LargeBytes: 4 * replyMemory, SmallBytes: replyMemory,
		Parts: map[caller.Part]caller.PartLimits{caller.PartReplies: {MaxBytes: replyMemory, IsShared: true}},
	}
	return caller.NewGuard("test", limits, view.MonotonicNow, metrics.New(), zap.NewNop())
}

// TestReplyMemory lets many replicas answer at once with bytes that stop short or never
// end, so that each holds what it may. It checks that an answer of ordinary size is read
// meanwhile, and that nothing is held once all requests have ended: what the answers hold
// is given back after errors, and with the request after a success.
func TestReplyMemory(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nMimosa-Request: b\r\nMimosa-Signature: s\r\n"
	tests := map[string]string{
		"lengths that stop short":           ok + "Content-Length: 4194304\r\n\r\n" + strings.Repeat("x", 64<<10),
		"lengths that stop short, large":    ok + "Content-Length: 4194304\r\n\r\n" + strings.Repeat("x", 4<<20-10),
		"heads that stop short":             ok + strings.Repeat("x:\r\n", 4_000),
		"bodies without length":             ok + "\r\n" + strings.Repeat("x", 64<<10),
		"chunks that stop short":            ok + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 20_000),
		"trailers that stop short":          ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("x:\r\n", 4_000),
		"interim answers that stop short":   strings.Repeat("HTTP/1.1 103 Early Hints\r\nx:\r\n\r\n", 500),
		"whole answers of more than enough": ok + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000),
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			guard := newReplyGuard()
			account := guard.OpenRequest()
			ctx, cancel := context.WithTimeout(caller.NewContext(t.Context(), account), time.Second)
			defer cancel()
			var requests sync.WaitGroup
			for range 30 {
				link := newLink(startServer(t, func(conn net.Conn) {
					buffer := make([]byte, 4<<10)
					if _, err := conn.Read(buffer); err == nil {
						_, _ = io.WriteString(conn, answer)
						_, _ = conn.Read(buffer)
					}
				}))
				link.guard = guard
				requests.Go(func() { _, _ = link.Send(ctx, newAttempt("b")) })
			}
			time.Sleep(200 * time.Millisecond)
			body := strings.Repeat("y", 8<<10)
			ordinary := newLink(startServer(t, func(conn net.Conn) {
				buffer := make([]byte, 4<<10)
				if _, err := conn.Read(buffer); err == nil {
					_, _ = io.WriteString(conn, answerFor("b", body))
				}
			}))
			ordinary.guard = guard
			reply, err := ordinary.Send(ctx, newAttempt("b"))
			assert.NilError(t, err)
			assert.Equal(t, string(reply.Body), body)
			requests.Wait()
			account.Close()
			assert.Assert(t, guard.Hold(caller.PartReplies, 0, replyMemory), "memory is still held")
		})
	}
}
