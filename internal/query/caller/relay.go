package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Relay answers idempotent requests of the callers' own form: from one replica
// of one upstream, or merged from one replica of each selected shard.
type Relay[A Admission] struct {
	Admission A
	// Run runs an admitted query.
	Run     func(ctx context.Context, request upstream.Request) api.Answer
	Metrics *metrics.Metrics
	// TargetMargin is what a caller sees beyond the time from a request's
	// arrival to its answer, where the request does not tell.
	TargetMargin time.Duration
}

const (
	// answerTime is how long an answer takes from its cut-off to its last byte
	// on an instance with a small share of a processor.
	answerTime = 5 * time.Millisecond
	// mostSpent is the part of the target latency that a caller may have spent
	// before its request was sent. One that spent more has asked before, or
	// waits for another time than the scope's timeout.
	mostSpent = 0.5
)

// TargetOf returns when the answer to call must be ready to reach the caller
// within the scope's target latency; zero where there is none. A caller that
// has set up a connection, or asked for an instance, waits for less than the
// scope's timeout by what that took.
func TargetOf(call view.Call, margin time.Duration) time.Time {
	scope := call.Scope.Scope
	target := scope.TargetLatency.Duration
	if target <= 0 {
		return time.Time{}
	}
	spent := scope.Timeout.Duration - call.Relayed.Deadline
	isTold := call.Relayed.Deadline > 0 && spent >= 0 && float64(spent) <= mostSpent*float64(target)
	if isTold && call.RoundTrip > 0 {
		margin = spent + call.RoundTrip + answerTime
	}
	return call.Start.Add(max(target-margin, target/leastTargetShare))
}

// leastTargetShare is the least time to the target, as one in so many of the
// target latency: a part of the answers is there by then.
const leastTargetShare = 4

// Serve answers an idempotent call.
func (relay *Relay[A]) Serve(ctx context.Context, call view.Call) api.Answer {
	request := upstream.Request{
		View:      call.View,
		Scope:     call.Scope.Scope,
		Selection: selectionOf(call),
		Query:     api.Query{Scope: call.Scope.Scope.Name, Kind: call.Kind},
		Relayed:   call.Relayed,
		Deadline:  call.Deadline,
		Target:    TargetOf(call, relay.TargetMargin),
		Trace:     call.Trace,
	}
	ticket := Ticket{Scope: request.Scope, Selection: request.Selection, Deadline: call.Deadline}
	if refusal := relay.Admission.Admit(ticket); refusal != nil {
		relay.Metrics.Add("queries.refused."+request.Scope.Class, 1)
		call.Trace.Add(trace.Refused, "", "", refusal.Reason)
		return api.Answer{Outcome: api.OutcomeNotRun, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter, IsNotRun: true}
	}
	return relay.Run(ctx, request)
}

// selectionOf returns the shards that a call covers. A relayed scope covers
// one upstream, drawn by the weights of its split.
func selectionOf(call view.Call) view.Selection {
	if call.Scope.Scope.Form != api.FormRelayed {
		return call.Scope.Selections[call.Kind]
	}
	selection := view.Selection{Kind: call.Kind}
	if target, isSet := view.DrawTarget(call.Scope.Targets, rand.Float64()); isSet {
		selection.Shards = []view.Shard{target.Shard}
	}
	return selection
}
