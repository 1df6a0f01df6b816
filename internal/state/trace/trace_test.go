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
	noted := trace.New(time.Now())
	noted.Add(trace.AttemptSent, "kiln-desk-01", "i-7f3a", "")
	noted.Add(trace.AttemptFailed, "kiln-desk-01", "i-7f3a", "connection reset")
	events, dropped := noted.Events()
	for _, event := range events {
		fmt.Println(strings.TrimSpace(fmt.Sprint(event.Kind, " ", event.Shard, " ", event.Peer, " ", event.Detail)))
	}
	fmt.Println(dropped, "dropped")
	// Output:
	// attempt sent kiln-desk-01 i-7f3a
	// attempt failed kiln-desk-01 i-7f3a connection reset
	// 0 dropped
}

func TestTraceIsBounded(t *testing.T) {
	noted := trace.New(time.Now())
	var adders sync.WaitGroup
	for range 10 {
		adders.Go(func() {
			for range 100 {
				noted.Add(trace.AttemptSent, "s", "r", "")
			}
		})
	}
	adders.Wait()
	events, dropped := noted.Events()
	assert.Equal(t, len(events)+dropped, 1000)
	assert.Assert(t, dropped > 0)
	var none *trace.Trace
	none.Add(trace.AttemptSent, "s", "r", "")
	events, _ = none.Events()
	assert.Equal(t, len(events), 0)
}
