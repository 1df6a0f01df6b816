// Package caller simulates the users' callers: it sends an open-loop load to the
// instances that the system names, and checks every answer.
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

// Load sends requests at planned times, whether or not earlier ones have been
// answered.
type Load struct {
	// EntryAddresses are the addresses of instances to ask first for the list of
	// instances.
	EntryAddresses []string
	Scope          string
	Kind           string
	// Deadline is the time from the planned time of a request to its deadline.
	Deadline time.Duration
	// Rate returns the number of requests a second at a time since the start.
	Rate     func(sinceStart time.Duration) float64
	Duration time.Duration
	// NetworkDelay is the one-way latency between callers and instances.
	NetworkDelay time.Duration
	Seed         uint64
	// Shard, if set, makes the requests commands to this shard.
	Shard string
	// CheckAnswer, if set, returns an error if an answer is wrong.
	CheckAnswer func(query api.Query, answer api.Answer) error
}

const maxIdleConnections = 256

// Run sends the load, waits for the answers and reports the outcomes. It fails if
// no instance can be located at the start, and sends no more requests once ctx
// ends.
func (load Load) Run(ctx context.Context) (*Report, error) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		DialContext:         (&net.Dialer{Timeout: load.Deadline}).DialContext,
	}
	defer transport.CloseIdleConnections()
	locator := &locator{entryAddresses: load.EntryAddresses, client: &http.Client{Transport: transport}}
	if err := locator.refresh(ctx); err != nil {
		return nil, err
	}
	report := newReport()
	random := rand.New(rand.NewPCG(load.Seed, load.Seed))
	start := time.Now()
	var calls sync.WaitGroup
	for sinceStart := time.Duration(0); sinceStart < load.Duration && ctx.Err() == nil; {
		plannedTime := start.Add(sinceStart)
		time.Sleep(time.Until(plannedTime))
		report.PlannedRequests++
		call := &call{load: load, locator: locator, report: report, plannedTime: plannedTime, number: report.PlannedRequests, done: calls.Done}
		calls.Add(1)
		go call.run(ctx)
		sinceStart += time.Duration(random.ExpFloat64() / load.Rate(sinceStart) * float64(time.Second))
	}
	calls.Wait()
	return report, nil
}

// ConstantRate returns a Load.Rate of rate requests a second.
func ConstantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// call is one request of the load.
type call struct {
	load        Load
	locator     *locator
	report      *Report
	plannedTime time.Time
	number      int
	done        func()
}

func (call *call) run(ctx context.Context) {
	defer call.done()
	ctx, cancel := context.WithDeadline(ctx, call.plannedTime.Add(call.load.Deadline+lateAnswerTime))
	defer cancel()
	client, err := call.locator.pick(ctx)
	if err != nil {
		call.report.recordUnanswered(err)
		return
	}
	time.Sleep(call.load.NetworkDelay)
	if call.load.Shard != "" {
		call.sendCommand(ctx, client)
		return
	}
	call.sendQuery(ctx, client)
}

// lateAnswerTime is how long after its deadline a call still waits, so that a late
// answer counts as late and not as unanswered.
const lateAnswerTime = time.Second

// remainingTime returns the time until the deadline, less the network delay, and
// at least 1 ms.
func (call *call) remainingTime() time.Duration {
	remaining := time.Until(call.plannedTime.Add(call.load.Deadline)) - call.load.NetworkDelay
	return max(remaining, time.Millisecond)
}

func (call *call) sendQuery(ctx context.Context, client wire.InstanceClient) {
	query := api.Query{
		Scope:    call.load.Scope,
		Kind:     call.load.Kind,
		Text:     fmt.Sprintf("%s %d", call.load.Scope, call.number),
		Deadline: call.remainingTime(),
	}
	answer, err := client.Query(ctx, query)
	time.Sleep(call.load.NetworkDelay)
	latency := time.Since(call.plannedTime)
	if err != nil {
		call.report.recordUnanswered(err)
		return
	}
	if call.load.CheckAnswer != nil {
		call.report.recordCheck(call.load.CheckAnswer(query, answer))
	}
	call.report.recordAnswer(answer, latency, call.load.Deadline)
}

func (call *call) sendCommand(ctx context.Context, client wire.InstanceClient) {
	command := api.Command{
		Scope:    call.load.Scope,
		Kind:     call.load.Kind,
		Shard:    call.load.Shard,
		Body:     fmt.Appendf(nil, `{"number":%d}`, call.number),
		Deadline: call.remainingTime(),
	}
	result, err := client.Command(ctx, command)
	time.Sleep(call.load.NetworkDelay)
	if err != nil {
		call.report.recordUnanswered(err)
		return
	}
	answer := api.Answer{Outcome: result.Outcome, Reason: result.Reason}
	call.report.recordAnswer(answer, time.Since(call.plannedTime), call.load.Deadline)
}
