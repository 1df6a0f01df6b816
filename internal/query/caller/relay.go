package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	schedule "github.com/mimosaspring/mimosaspring/internal/schedule/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/estimate"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Relay answers idempotent requests that it forwards in the callers' own format.
// The answer comes from one replica of one upstream, or is merged from one replica
// of each selected shard.
type Relay[A Admission] struct {
	Admission A
	// Run runs an admitted query.
	Run     func(ctx context.Context, request upstream.Request) api.Answer
	Metrics *metrics.Metrics
	// TargetMargin is the part of the latency seen by a caller that lies outside
	// the time between a request's arrival and its answer. It is used for requests
	// from which this part cannot be determined.
	TargetMargin time.Duration

	// lag estimates how long after their target time incomplete answers are ready. The
	// delay comes from other work that is queued for the processor at that time.
	lag estimate.Upper[time.Duration]
}

// maxLag limits Relay.lag, so that a pause of this process does not make the answers after
// it incomplete.
const maxLag = 30 * time.Millisecond

const (
	// sendTime is the time from when an answer is ready until its last byte is
	// sent, on an instance with a small share of a processor.
	sendTime = 4 * time.Millisecond
	// maxSpentShare is the maximum fraction of the target latency that a caller
	// plausibly spends before it sends its request. If more is missing from its
	// deadline, the request is a retry or the caller's timeout is not the scope's.
	maxSpentShare = 0.5
)

// minTargetDivisor gives the minimum time from a request's arrival to its target
// time: a fourth of the target latency. Some of the parts have arrived by then.
const minTargetDivisor = 4

// AnswerTarget returns the time at which the answer to call must be ready to reach
// the caller within the scope's target latency, or the zero time if the scope has
// none. It uses margin for the time outside this instance unless the call allows a
// better estimate: the caller's deadline is shorter than the scope's timeout by
// the time that the caller has spent on connecting or on looking up an instance.
func AnswerTarget(call view.Call, margin time.Duration) time.Time {
	scope := call.Scope.Scope
	targetLatency := scope.TargetLatency.Duration
	if targetLatency <= 0 {
		return time.Time{}
	}
	spent, isSpentKnown := timeSpent(call)
	if isSpentKnown && !isReturning(call) && call.RoundTrip > 0 {
		margin = spent + call.RoundTrip + sendTime
	}
	return call.Start.Add(max(targetLatency-margin, targetLatency/minTargetDivisor))
}

// timeSpent returns how much of the scope's timeout the caller had spent when it sent
// its request, and whether its deadline tells.
func timeSpent(call view.Call) (time.Duration, bool) {
	spent := call.Scope.Scope.Timeout.Duration - call.RelayedRequest.Deadline
	return spent, call.RelayedRequest.Deadline > 0 && spent >= 0
}

// isReturning reports whether the caller has spent more than it plausibly needs
// before it sends its first request.
func isReturning(call view.Call) bool {
	spent, isSpentKnown := timeSpent(call)
	return isSpentKnown && float64(spent) > maxSpentShare*float64(call.Scope.Scope.TargetLatency.Duration)
}

// Serve answers an idempotent call, or refuses it if it is not admitted.
func (relay *Relay[A]) Serve(ctx context.Context, call view.Call) api.Answer {
	request := upstream.Request{
		View:           call.View,
		Scope:          call.Scope.Scope,
		Selection:      selectionOf(call),
		Query:          api.Query{Scope: call.Scope.Scope.Name, Kind: call.Kind},
		RelayedRequest: call.RelayedRequest,
		Deadline:       call.Deadline,
		TargetTime:     AnswerTarget(call, relay.TargetMargin),
		Trace:          call.Trace,
		InstanceLag:    relay.lag.Get(),
	}
	admissionrequest := AdmissionRequest{
		Scope:       request.Scope,
		Selection:   request.Selection,
		Deadline:    call.Deadline,
		TargetTime:  request.TargetTime,
		Rank:        schedule.Rank(call.RelayedRequest),
		IsReturning: isReturning(call),
	}
	if view.IsCoverageEvacuated(request.Selection.Shards, request.Scope.MinCoverage) {
		relay.Metrics.Add("queries.refusedByEvacuation", 1)
		return relay.refuse(call, Refusal{Reason: "too many replicas are evacuated", RetryAfter: view.EvacuationWait})
	}
	if wait := replicaWait(request); wait > 0 {
		return relay.refuse(call, Refusal{Reason: "no replica takes a request now", RetryAfter: wait})
	}
	if !request.TargetTime.IsZero() {
		request.TargetTime = request.TargetTime.Add(-request.InstanceLag)
	}
	if refusal := relay.Admission.Admit(admissionrequest); refusal != nil {
		return relay.refuse(call, *refusal)
	}
	answer := relay.Run(ctx, request)
	if ctx.Err() == nil && answer.Outcome != api.OutcomeNotRun {
		// An answer to a caller that left says nothing about the load, nor does one
		// that failed before its target time.
		relay.Admission.Observe(admissionrequest, time.Since(admissionrequest.TargetTime) > sendTime)
	}
	isIncomplete := answer.Outcome == api.OutcomeDone && answer.Coverage.IncludedCount < answer.Coverage.SelectedCount
	if delay := time.Since(request.TargetTime); isIncomplete && !request.TargetTime.IsZero() && delay >= 0 {
		relay.lag.Observe(min(delay, maxLag))
	}
	return answer
}

// refuse returns the answer to a call that was refused before anything was sent.
func (relay *Relay[A]) refuse(call view.Call, refusal Refusal) api.Answer {
	relay.Metrics.AddLabelled("queries.refused.", call.Scope.Scope.Class, 1)
	call.Trace.Add(trace.RequestRefused, "", "", refusal.Reason)
	return api.Answer{Outcome: api.OutcomeNotRun, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter, IsProvenNotRun: true}
}

// replicaWait returns how long all replicas of a request to a single upstream want
// nothing from this instance. It is 0 for a merged request: most of its shards are
// queried by their homes, to which the wait does not apply.
func replicaWait(request upstream.Request) time.Duration {
	if request.Scope.Form != api.FormRelayed {
		return 0
	}
	return view.CoverageWait(request.Selection.Shards, request.Scope.MinCoverage, view.MonotonicNow())
}

// selectionOf returns the shards that a call covers. For a scope whose requests are
// relayed to a single upstream, it selects the upstream at random by the weights of
// the scope's traffic split.
func selectionOf(call view.Call) view.Selection {
	if call.Scope.Scope.Form != api.FormRelayed {
		return call.Scope.Selections[call.Kind]
	}
	selection := view.Selection{Kind: call.Kind}
	if weightedupstream, isPicked := view.PickUpstream(call.Scope.WeightedUpstreams, rand.Float64()); isPicked {
		selection.Shards = []view.Shard{weightedupstream.Shard}
	}
	return selection
}
