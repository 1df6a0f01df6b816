package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/command/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// refuseShare is the part of a scope's target latency after which a command
// that no replica took is refused, so that the caller may still be served in
// time by coming back.
const refuseShare = 0.25

// Relay answers non-idempotent requests of the callers' own form.
type Relay struct {
	// Send runs a command on one replica at most.
	Send func(ctx context.Context, command upstream.Command) api.Answer
}

// Serve answers a non-idempotent call.
func (relay *Relay) Serve(ctx context.Context, call view.Call) api.Answer {
	scope := call.Scope.Scope
	target, isSet := view.PickUpstream(call.Scope.WeightedUpstreams, rand.Float64())
	if !isSet {
		return api.Answer{Outcome: api.OutcomeNotRun, Reason: "scope " + scope.Name + " has no upstream", IsProvenNotRun: true}
	}
	refuseAfter := time.Duration(refuseShare * float64(scope.TargetLatency.Duration))
	return relay.Send(ctx, upstream.Command{
		View:     call.View,
		Shard:    target.Shard,
		Relayed:  call.RelayedRequest,
		Deadline: call.Deadline,
		RefuseAt: call.Start.Add(refuseAfter),
		Trace:    call.Trace,
	})
}
