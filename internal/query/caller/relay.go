package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
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
	// arrival to its answer: the ways there and back.
	TargetMargin time.Duration
}

// Serve answers an idempotent call.
func (relay *Relay[A]) Serve(ctx context.Context, call view.Call) api.Answer {
	request := upstream.Request{
		View:      call.View,
		Scope:     call.Scope.Scope,
		Selection: selectionOf(call),
		Query:     api.Query{Scope: call.Scope.Scope.Name, Kind: call.Kind},
		Relayed:   call.Relayed,
		Deadline:  call.Deadline,
	}
	if target := request.Scope.TargetLatency.Duration; target > 0 {
		request.Target = call.Start.Add(max(target-relay.TargetMargin, target/2))
	}
	ticket := Ticket{Scope: request.Scope, Selection: request.Selection, Deadline: call.Deadline}
	if refusal := relay.Admission.Admit(ticket); refusal != nil {
		relay.Metrics.Add("queries.refused."+request.Scope.Class, 1)
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
