package caller

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
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

	lag lag
}

// lag is how much later than their cut-off answers are ready: what waits for
// the processor then goes before them. It follows the later answers.
type lag struct{ nanoseconds atomic.Int64 }

const (
	// Weights of an answer that is later, and one that is sooner, than the lag,
	// as one in two to this power.
	laterShift  = 2
	soonerShift = 5
	// mostLag bounds the lag, so that a pause of this process does not make
	// answers incomplete after it.
	mostLag = 30 * time.Millisecond
)

func (lag *lag) get() time.Duration { return time.Duration(lag.nanoseconds.Load()) }

// observe folds in an answer that was cut off and ready so long after it. Two
// observations at once may lose one.
func (lag *lag) observe(after time.Duration) {
	known := lag.get()
	distance := min(after, mostLag) - known
	shift := laterShift
	if distance < 0 {
		shift = soonerShift
	}
	lag.nanoseconds.Store(int64(known + distance>>shift))
}

const (
	// answerTime is how long an answer takes from when it is ready to its last
	// byte on an instance with a small share of a processor.
	answerTime = 4 * time.Millisecond
	// mostSpent is the part of the target latency that a caller may have spent
	// before its request was sent. One that spent more has asked before, or
	// waits for another time than the scope's timeout.
	mostSpent = 0.5
)

// AnswerTarget returns when the answer to call must be ready to reach the caller
// within the scope's target latency; zero where there is none. A caller that
// has set up a connection, or asked for an instance, waits for less than the
// scope's timeout by what that took.
func AnswerTarget(call view.Call, margin time.Duration) time.Time {
	scope := call.Scope.Scope
	target := scope.TargetLatency.Duration
	if target <= 0 {
		return time.Time{}
	}
	spent := scope.Timeout.Duration - call.RelayedRequest.Deadline
	isTold := call.RelayedRequest.Deadline > 0 && spent >= 0 && float64(spent) <= mostSpent*float64(target)
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
		View:           call.View,
		Scope:          call.Scope.Scope,
		Selection:      selectionOf(call),
		Query:          api.Query{Scope: call.Scope.Scope.Name, Kind: call.Kind},
		RelayedRequest: call.RelayedRequest,
		Deadline:       call.Deadline,
		Target:         AnswerTarget(call, relay.TargetMargin),
		Trace:          call.Trace,
		InstanceLag:    relay.lag.get(),
	}
	if !request.Target.IsZero() {
		request.Target = request.Target.Add(-request.InstanceLag)
	}
	ticket := AdmissionRequest{Scope: request.Scope, Selection: request.Selection, Deadline: call.Deadline}
	if refusal := relay.Admission.Admit(ticket); refusal != nil {
		relay.Metrics.Add("queries.refused."+request.Scope.Class, 1)
		call.Trace.Add(trace.RequestRefused, "", "", refusal.Reason)
		return api.Answer{Outcome: api.OutcomeNotRun, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter, IsProvenNotRun: true}
	}
	answer := relay.Run(ctx, request)
	isCut := answer.Outcome == api.OutcomeDone && answer.Coverage.Included < answer.Coverage.Selected
	if after := time.Since(request.Target); isCut && !request.Target.IsZero() && after >= 0 {
		relay.lag.observe(after)
	}
	return answer
}

// selectionOf returns the shards that a call covers. A relayed scope covers
// one upstream, drawn by the weights of its split.
func selectionOf(call view.Call) view.Selection {
	if call.Scope.Scope.Form != api.FormRelayed {
		return call.Scope.Selections[call.Kind]
	}
	selection := view.Selection{Kind: call.Kind}
	if target, isSet := view.PickUpstream(call.Scope.WeightedUpstreams, rand.Float64()); isSet {
		selection.Shards = []view.Shard{target.Shard}
	}
	return selection
}
