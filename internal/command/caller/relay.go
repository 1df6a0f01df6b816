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
// that no replica has accepted is offered again. After that time it is refused, so
// that a retry of the caller may still be answered within the target latency.
const retryShare = 0.25

// Relay answers non-idempotent requests of the relay protocol, which passes a
// caller's HTTP request whole to a replica.
type Relay struct {
	// Send runs a command on at most one replica.
	Send func(ctx context.Context, command upstream.RelayedCommand) api.Answer
	// IsOrdered is set if commands that wait for a replica have their scope's target.
	// Otherwise they are never late, and wait in front of all queries.
	IsOrdered bool
}

// Serve picks one of the upstreams of the call's scope at random, by their
// weights, and sends the call there. If the scope has no upstream, the answer says
// that the call did not run.
func (relay *Relay) Serve(ctx context.Context, call view.Call) api.Answer {
	scope := call.Scope.Scope
	weightedupstream, isFound := view.PickUpstream(call.Scope.WeightedUpstreams, rand.Float64())
	if !isFound {
		return api.Answer{Outcome: api.OutcomeNotRun, Reason: "scope " + scope.Name + " has no upstream", IsProvenNotRun: true}
	}
	retryTime := time.Duration(retryShare * float64(scope.TargetLatency.Duration))
	command := upstream.RelayedCommand{
		View:           call.View,
		Shard:          weightedupstream.Shard,
		RelayedRequest: call.RelayedRequest,
		Deadline:       call.Deadline,
		RetryUntil:     call.Start.Add(retryTime),
		Trace:          call.Trace,
		Priority:       scope.Priority,
	}
	if relay.IsOrdered && scope.TargetLatency.Duration > 0 {
		command.TargetTime = call.Start.Add(scope.TargetLatency.Duration)
	}
	return relay.Send(ctx, command)
}
