package trace_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/trace"
)

func Example() {
	requestTrace := trace.New(time.Now())
	requestTrace.Add(trace.AttemptSent, "kiln-desk-01", "i-7f3a", "")
	requestTrace.Add(trace.AttemptFailed, "kiln-desk-01", "i-7f3a", "connection reset")
	events, dropped := requestTrace.Events()
	for _, event := range events {
		fmt.Println(strings.TrimSpace(fmt.Sprint(event.Kind, " ", event.Shard, " ", event.Peer, " ", event.Detail)))
	}
	fmt.Println(dropped, "dropped")
	// Output:
	// attempt sent kiln-desk-01 i-7f3a
	// attempt failed kiln-desk-01 i-7f3a connection reset
	// 0 dropped
}

// TestTraceIsBounded checks that a trace that is written concurrently counts the
// events that it drops, and that a nil trace ignores all events.
func TestTraceIsBounded(t *testing.T) {
	requestTrace := trace.New(time.Now())
	var group sync.WaitGroup
	for range 10 {
		group.Go(func() {
			for range 100 {
				requestTrace.Add(trace.AttemptSent, "s", "r", "")
			}
		})
	}
	group.Wait()
	events, dropped := requestTrace.Events()
	assert.Equal(t, len(events)+dropped, 1000)
	assert.Assert(t, dropped > 0)
	var disabled *trace.Trace
	disabled.Add(trace.AttemptSent, "s", "r", "")
	events, _ = disabled.Events()
	assert.Equal(t, len(events), 0)
}
