package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/command/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// retryShare is the share of a scope's target latency during which a command
// that no replica has accepted is offered again. It is then refused, so that a
// retry of the caller may still be answered within the target latency.
const retryShare = 0.25

// Relay answers non-idempotent requests of the relay protocol, which passes a
// caller's HTTP request whole to a replica.
type Relay struct {
	// Send runs a command on at most one replica.
	Send func(ctx context.Context, command upstream.RelayedCommand) api.Answer
}

// Serve draws one of the targets of the call's scope and sends the call there. A
// scope without targets gives an answer that says that nothing ran.
func (relay *Relay) Serve(ctx context.Context, call view.Call) api.Answer {
	scope := call.Scope.Scope
	weightedupstream, isFound := view.PickUpstream(call.Scope.WeightedUpstreams, rand.Float64())
	if !isFound {
		return api.Answer{Outcome: api.OutcomeNotRun, Reason: "scope " + scope.Name + " has no upstream", IsProvenNotRun: true}
	}
	retryTime := time.Duration(retryShare * float64(scope.TargetLatency.Duration))
	return relay.Send(ctx, upstream.RelayedCommand{
		View:           call.View,
		Shard:          weightedupstream.Shard,
		RelayedRequest: call.RelayedRequest,
		Deadline:       call.Deadline,
		RetryUntil:     call.Start.Add(retryTime),
		Trace:          call.Trace,
	})
}
