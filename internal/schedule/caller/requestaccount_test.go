package caller_test

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
)

// requestLimits returns limits for a total of 100 bytes, of which running requests may hold
// 50, and large answers 40.
func requestLimits() caller.MemoryLimits {
	return caller.MemoryLimits{
		TotalBytes: 100, LargeBytes: 100, SmallBytes: 100, ConnectionBytes: 10,
		Parts: map[caller.Part]caller.PartLimits{
			caller.PartFanout:  {MaxBytes: 50},
			caller.PartReplies: {MaxBytes: 40, IsShared: true},
		},
	}
}

// TestRequestsOfCrowds plays crowds whose requests run at the same time, or whose replicas send
// answers without end. Each grows as far as it may.
func TestRequestsOfCrowds(t *testing.T) {
	tests := map[string]struct {
		part     caller.Part
		requests int
		// step is by how much each request grows, again and again.
		step int64
		// idleConns are open and give way; runningConns do not.
		idleConns, runningConns int
		wantHeld                int64
		// wantFree is the least that one more request may hold afterwards.
		wantFree int64
		// wantEvicted is the number of connections that gave way.
		wantEvicted int
	}{
		"queries up to their part":            {part: caller.PartFanout, requests: 20, step: 10, wantHeld: 50},
		"queries beside idle connections":     {part: caller.PartFanout, requests: 20, step: 10, idleConns: 8, wantHeld: 50, wantEvicted: 3},
		"queries beside running requests":     {part: caller.PartFanout, requests: 20, step: 10, runningConns: 8, wantHeld: 20},
		"one answer without end":              {part: caller.PartReplies, requests: 1, step: 1, wantHeld: 20, wantFree: 20},
		"three answers without end":           {part: caller.PartReplies, requests: 3, step: 1, wantHeld: 30, wantFree: 10},
		"many answers without end, at once":   {part: caller.PartReplies, requests: 19, step: 1, wantHeld: 38, wantFree: 2},
		"answers without end and connections": {part: caller.PartReplies, requests: 3, step: 1, runningConns: 9, wantHeld: 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			memory := caller.NewMemory[int](requestLimits())
			for number := range test.idleConns + test.runningConns {
				holder, _ := memory.Open(number, "caller", 0)
				if number >= test.idleConns {
					memory.Enter(holder, caller.PhaseRunning, 0)
				}
			}
			held := make([]int64, test.requests)
			evicted := 0
			for range 100 {
				for number := range held {
					isGranted, victims := memory.HoldPart(test.part, held[number], test.step, time.Second)
					if isGranted {
						held[number] += test.step
					}
					evicted += len(victims)
				}
			}
			assert.Equal(t, memory.PartBytes[test.part], test.wantHeld)
			assert.Equal(t, evicted, test.wantEvicted)
			assert.Assert(t, memory.HeldBytes <= 100)
			if test.wantFree > 0 {
				isGranted, _ := memory.HoldPart(test.part, 0, test.wantFree, time.Second)
				assert.Assert(t, isGranted)
				memory.ReleasePart(test.part, test.wantFree)
			}
			for _, bytes := range held {
				memory.ReleasePart(test.part, bytes)
			}
			assert.Equal(t, memory.PartBytes[test.part], int64(0))
		})
	}
}

// TestRequestAccountCloses checks that the account of a request releases what it holds when it is closed,
// and what it takes over after that.
func TestRequestAccountCloses(t *testing.T) {
	guard := caller.NewGuard("callers", requestLimits(), func() time.Duration { return 0 }, metrics.New(), zap.NewNop())
	account := guard.OpenRequest()
	assert.Assert(t, account.Hold(caller.PartFanout, 30))
	assert.Assert(t, !account.Hold(caller.PartFanout, 30))
	assert.Assert(t, guard.Hold(caller.PartReplies, 0, 15))
	account.Adopt(caller.PartReplies, 15)
	account.Close()
	assert.Assert(t, guard.Hold(caller.PartFanout, 0, 50))
	guard.Release(caller.PartFanout, 50)
	assert.Assert(t, guard.Hold(caller.PartReplies, 0, 20))
	account.Adopt(caller.PartReplies, 20)
	assert.Assert(t, guard.Hold(caller.PartReplies, 0, 20))
}
