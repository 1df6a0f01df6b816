package caller_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
)

// workCrowd is a crowd of callers, each of which sends one query after the other.
type workCrowd struct {
	guard *caller.Guard
	// fanoutBytes and shardCount are those of a query, which takes workTime, and whose
	// answers take replyBytes for each shard.
	fanoutBytes, replyBytes int64
	shardCount              int
	workTime                time.Duration
	// wait is how long a query may wait, and pause how long a caller that was refused
	// does.
	wait, pause time.Duration

	answered, refused, dropped atomic.Int64
}

// workCaller is one caller of a crowd.
type workCaller struct {
	crowd   *workCrowd
	ctx     context.Context
	callers *sync.WaitGroup
}

func (workcaller *workCaller) run() {
	defer workcaller.callers.Done()
	crowd := workcaller.crowd
	for workcaller.ctx.Err() == nil {
		account := crowd.guard.OpenRequest()
		if !account.Begin(workcaller.ctx, crowd.fanoutBytes, crowd.shardCount, crowd.wait) {
			if workcaller.ctx.Err() == nil {
				crowd.refused.Add(1)
			}
			time.Sleep(crowd.pause)
			continue
		}
		time.Sleep(crowd.workTime)
		isDropped := false
		for range crowd.shardCount {
			reply := caller.ReplyAccount{Guard: crowd.guard}
			if crowd.replyBytes > 0 && reply.Grow(crowd.replyBytes) != nil {
				reply.Release()
				isDropped = true
				continue
			}
			reply.MoveTo(account)
		}
		if isDropped {
			crowd.dropped.Add(1)
		} else {
			crowd.answered.Add(1)
		}
		time.Sleep(crowd.workTime / 10)
		account.Close()
	}
}

// workLimits are those of an instance with 284 MB.
func workLimits() caller.MemoryLimits {
	const total, fanout, replies = 85 << 20, 38 << 20, 12 << 20
	return caller.MemoryLimits{
		TotalBytes: total, LargeBytes: total, SmallBytes: 96 << 10, ConnectionBytes: 32 << 10,
		Parts: map[caller.Part]caller.PartLimits{
			caller.PartFanout:   {MaxBytes: fanout},
			caller.PartReplies:  {MaxBytes: replies, IsShared: true},
			caller.PartExpected: {MaxBytes: replies * 3 / 4},
		},
	}
}

// TestWorkOfCrowds guards against queries that are refused although running ones are about
// to end, and against answers of sound replicas that are dropped for lack of memory, so that
// the query fails after all its work. It plays 300 callers of a query over 20 shards, for
// whose queries the memory does not suffice at once.
func TestWorkOfCrowds(t *testing.T) {
	const shards, shardBytes = 20, 20 << 10
	tests := map[string]struct {
		crowd *workCrowd
		// wantAnswered is the least that must be answered in 10 s. The memory of
		// queries suffices for 85 at once.
		wantAnswered int64
		// wantRefused is the most that may be refused.
		wantRefused int64
	}{
		"queries that end soon":               {crowd: &workCrowd{workTime: 70 * time.Millisecond, wait: 500 * time.Millisecond}, wantAnswered: 10_000},
		"queries that take their time":        {crowd: &workCrowd{workTime: time.Second, wait: 500 * time.Millisecond}, wantAnswered: 600, wantRefused: 30_000},
		"queries that may not wait":           {crowd: &workCrowd{workTime: 70 * time.Millisecond}, wantAnswered: 5_000, wantRefused: 30_000},
		"answers that are large":              {crowd: &workCrowd{workTime: 70 * time.Millisecond, wait: 500 * time.Millisecond, replyBytes: 20 << 10}, wantAnswered: 2_000, wantRefused: 30_000},
		"answers larger than the whole of it": {crowd: &workCrowd{workTime: 70 * time.Millisecond, wait: 500 * time.Millisecond, replyBytes: 600 << 10}, wantAnswered: 0, wantRefused: 50_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				crowd := test.crowd
				crowd.guard = caller.NewGuard("callers", workLimits(), func() time.Duration { return time.Since(started) }, metrics.New(), zap.NewNop())
				crowd.fanoutBytes, crowd.shardCount, crowd.pause = shards*shardBytes, shards, 100*time.Millisecond
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				var callers sync.WaitGroup
				for range 300 {
					callers.Add(1)
					go (&workCaller{crowd: crowd, ctx: ctx, callers: &callers}).run()
				}
				time.Sleep(5 * time.Second)
				// A request to one shard is served at once meanwhile.
				ordinary := crowd.guard.OpenRequest()
				assert.Assert(t, ordinary.Begin(ctx, shardBytes, 1, 0))
				ordinary.Close()
				callers.Wait()
				t.Logf("answered %d, refused %d, dropped %d", crowd.answered.Load(), crowd.refused.Load(), crowd.dropped.Load())
				assert.Assert(t, crowd.answered.Load() >= test.wantAnswered)
				assert.Assert(t, crowd.refused.Load() <= test.wantRefused)
				if test.wantAnswered > 0 {
					assert.Assert(t, crowd.dropped.Load() <= test.wantAnswered/100)
				}
			})
		})
	}
}

// TestWorkWaits checks when a query that waits for memory may run, and that it does not
// wait if that is known not to be enough.
func TestWorkWaits(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		// endsAfter is when the running query ends, and workTime how long earlier ones
		// took.
		endsAfter, workTime time.Duration
		wait, cancelAfter   time.Duration
		want                bool
		wantTime            time.Duration
	}{
		"the running query ends":       {endsAfter: 50 * ms, workTime: 50 * ms, wait: 200 * ms, want: true, wantTime: 50 * ms},
		"it ends too late":             {endsAfter: 500 * ms, workTime: 50 * ms, wait: 200 * ms, wantTime: 200 * ms},
		"queries are known to be long": {endsAfter: 500 * ms, workTime: 800 * ms, wait: 200 * ms},
		"the caller leaves":            {endsAfter: 500 * ms, workTime: 50 * ms, wait: 200 * ms, cancelAfter: 20 * ms, wantTime: 20 * ms},
		"no wait":                      {endsAfter: 50 * ms, workTime: 50 * ms},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				limits := caller.MemoryLimits{TotalBytes: 1 << 20, LargeBytes: 1 << 20, Parts: map[caller.Part]caller.PartLimits{caller.PartFanout: {MaxBytes: 1000}, caller.PartExpected: {MaxBytes: 1 << 20}}}
				guard := caller.NewGuard("callers", limits, func() time.Duration { return time.Since(started) }, metrics.New(), zap.NewNop())
				for range 200 {
					earlier := guard.OpenRequest()
					assert.Assert(t, earlier.Begin(t.Context(), 800, 0, 0))
					time.Sleep(test.workTime)
					earlier.Close()
				}
				running, waiting := guard.OpenRequest(), guard.OpenRequest()
				assert.Assert(t, running.Begin(t.Context(), 800, 0, 0))
				time.AfterFunc(test.endsAfter, running.Close)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.cancelAfter > 0 {
					time.AfterFunc(test.cancelAfter, cancel)
				}
				before := time.Now()
				assert.Equal(t, waiting.Begin(ctx, 800, 0, test.wait), test.want)
				assert.Equal(t, time.Since(before), test.wantTime)
				waiting.Close()
				time.Sleep(time.Second)
				// All is released: the whole part can be held.
				assert.Assert(t, guard.Hold(caller.PartFanout, 0, 1000))
			})
		})
	}
}
