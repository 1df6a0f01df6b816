// Package caller is a stand-in for the users' callers: an open-loop load that
// asks the system which instances to use and checks every answer.
package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Load sends requests at planned times, whether or not earlier ones have
// been answered.
type Load struct {
	// Entries are addresses of instances to ask first.
	Entries  []string
	Scope    string
	Kind     string
	Deadline time.Duration
	// Rate gives the requests a second at a time since the start.
	Rate     func(since time.Duration) float64
	Duration time.Duration
	// Delay is the one-way latency between callers and instances.
	Delay time.Duration
	Seed  uint64
	// Shard makes the requests commands to this shard.
	Shard string
	// Check returns an error where an answer breaks a promise.
	Check func(query api.Query, answer api.Answer) error
}

const callerConnections = 256

// Run sends the load and reports how it went.
func (load Load) Run(ctx context.Context) (*Report, error) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: callerConnections,
		DialContext:         (&net.Dialer{Timeout: load.Deadline}).DialContext,
	}
	defer transport.CloseIdleConnections()
	locator := &locator{entries: load.Entries, client: &http.Client{Transport: transport}}
	if err := locator.refresh(ctx); err != nil {
		return nil, err
	}
	report := newReport()
	random := rand.New(rand.NewPCG(load.Seed, load.Seed))
	start := time.Now()
	var calls sync.WaitGroup
	for planned := time.Duration(0); planned < load.Duration && ctx.Err() == nil; {
		time.Sleep(time.Until(start.Add(planned)))
		report.Planned++
		call := &call{load: load, locator: locator, report: report, planned: start.Add(planned), number: report.Planned, done: calls.Done}
		calls.Add(1)
		go call.run(ctx)
		planned += time.Duration(random.ExpFloat64() / load.Rate(planned) * float64(time.Second))
	}
	calls.Wait()
	return report, nil
}

// Constant is a rate that does not change.
func Constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// call is one request of the load.
type call struct {
	load    Load
	locator *locator
	report  *Report
	planned time.Time
	number  int
	done    func()
}

func (call *call) run(ctx context.Context) {
	defer call.done()
	ctx, cancel := context.WithDeadline(ctx, call.planned.Add(call.load.Deadline+callSlack))
	defer cancel()
	entry, err := call.locator.pick(ctx)
	if err != nil {
		call.report.cut(err)
		return
	}
	time.Sleep(call.load.Delay)
	if call.load.Shard != "" {
		call.command(ctx, entry)
		return
	}
	call.query(ctx, entry)
}

// callSlack is how much longer than its deadline a call waits, so that a late
// answer is seen as late and not as cut.
const callSlack = time.Second

func (call *call) query(ctx context.Context, entry wire.InstanceClient) {
	left := time.Until(call.planned.Add(call.load.Deadline)) - call.load.Delay
	query := api.Query{
		Scope:    call.load.Scope,
		Kind:     call.load.Kind,
		Text:     fmt.Sprintf("%s %d", call.load.Scope, call.number),
		Deadline: max(left, time.Millisecond),
	}
	answer, err := entry.Query(ctx, query)
	time.Sleep(call.load.Delay)
	latency := time.Since(call.planned)
	if err != nil {
		call.report.cut(err)
		return
	}
	if call.load.Check != nil {
		call.report.check(call.load.Check(query, answer))
	}
	call.report.answer(answer, latency, call.load.Deadline)
}

func (call *call) command(ctx context.Context, entry wire.InstanceClient) {
	left := time.Until(call.planned.Add(call.load.Deadline)) - call.load.Delay
	command := api.Command{
		Scope:    call.load.Scope,
		Kind:     call.load.Kind,
		Shard:    call.load.Shard,
		Body:     fmt.Appendf(nil, `{"number":%d}`, call.number),
		Deadline: max(left, time.Millisecond),
	}
	result, err := entry.Command(ctx, command)
	time.Sleep(call.load.Delay)
	if err != nil {
		call.report.cut(err)
		return
	}
	answer := api.Answer{Outcome: result.Outcome, Reason: result.Reason}
	call.report.answer(answer, time.Since(call.planned), call.load.Deadline)
}
