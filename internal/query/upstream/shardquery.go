package upstream

import (
	"context"
	"slices"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// maxAttempts limits the attempts for one shard in one pass.
	maxAttempts = 16
	// minRefusalPause is the wait before the replicas are tried again after all
	// of them refused or could not be reached. It doubles each time up to
	// maxRefusalPause.
	minRefusalPause = 4 * time.Millisecond
	maxRefusalPause = 32 * time.Millisecond
)

// Shares of the retry budget that hedges and retries may use. Hedges leave the
// rest to attempts that replace failed ones.
const (
	hedgeBudgetShare = 0.7
	retryBudgetShare = 1
)

// shardQuery queries the replicas of one shard in one pass.
type shardQuery[C Choice, H Hedge, L Link, P Placement] struct {
	pass  *pass[C, H, L, P]
	ctx   context.Context
	shard view.Shard
	// isRepeat is set if a home may already have sent the query to replicas of
	// the shard.
	isRepeat bool

	attemptResults chan *attemptResult
	// stalledReplicas receives each replica whose connection stalled and was
	// replaced, so that the attempt is sent again.
	stalledReplicas chan *view.Replica
	retryTimer      optionalTimer
	hedgeTimer      optionalTimer
	// hedgeDelay is the time after the first attempt at which the hedge is
	// sent.
	hedgeDelay time.Duration
	// isHedgePostponed is set once the hedge was not allowed at hedgeDelay and
	// waits for twice the delay.
	isHedgePostponed bool
	// isRetryNext is set once the hedge timer starts retries instead of hedges.
	isRetryNext bool
	// triedReplicas holds the names of the replicas that have received an
	// attempt since the last refusal pause.
	triedReplicas   []string
	pendingAttempts int
	startedAttempts int
	// countedAttempts is the number of attempts that count towards the scope's
	// limit, which excludes attempts known not to have run.
	countedAttempts int
	// refusalPauses is the number of pauses after refusals so far.
	refusalPauses int
	// lastFailure is the result of the last failed attempt. If that attempt
	// reported no newer version or has no error response, the one of an earlier
	// attempt is kept.
	lastFailure attemptResult
}

// run sends attempts until a replica answers, no attempt is left to send or the
// context ends.
func (shardquery *shardQuery[C, H, L, P]) run() {
	ctx, cancel := context.WithCancelCause(shardquery.ctx)
	defer cancel(api.ErrAnswered)
	shardquery.attemptResults = make(chan *attemptResult, 1)
	shardquery.stalledReplicas = make(chan *view.Replica, maxAttempts)
	shardquery.lastFailure.reason = api.MissingNoReplica
	fanout := shardquery.pass.fanout
	if !shardquery.startFirst(ctx) {
		shardquery.reportMissing()
		return
	}
	fanout.Hedge.CountFirstAttempt()
	shardquery.startHedgeTimer()
	shardquery.loop(ctx)
	shardquery.hedgeTimer.stop()
	shardquery.retryTimer.stop()
}

// startFirst starts the first attempt and reports whether it did. If a home may
// already have sent the query, the attempt counts as a retry.
func (shardquery *shardQuery[C, H, L, P]) startFirst(ctx context.Context) bool {
	if shardquery.isRepeat {
		shardquery.countedAttempts = 1
		return shardquery.startRetry(ctx)
	}
	shardquery.pass.fanout.Budget.RecordFirst(shardquery.shard.Upstream.Name)
	return shardquery.startAttempt(ctx)
}

// loop handles the attempts' results and starts retries and hedges. It ends
// when a part has been delivered, ctx ends, or no attempt is pending and no
// refusal pause is running.
func (shardquery *shardQuery[C, H, L, P]) loop(ctx context.Context) {
	isPausing := false
	for shardquery.pendingAttempts > 0 || isPausing {
		select {
		case result := <-shardquery.attemptResults:
			shardquery.pendingAttempts--
			if shardquery.handleResult(result) {
				return
			}
			isPausing = shardquery.retry(ctx)
		case replica := <-shardquery.stalledReplicas:
			shardquery.send(ctx, replica)
		case <-shardquery.retryTimer.channel():
			isPausing = false
			shardquery.triedReplicas = nil
			shardquery.startRetry(ctx)
		case <-shardquery.hedgeTimer.channel():
			shardquery.startHedge(ctx)
		case <-ctx.Done():
			return
		}
	}
	shardquery.reportMissing()
}

// handleResult delivers the part of a successful attempt and reports true. If
// the attempt failed it records the failure and reports false.
func (shardquery *shardQuery[C, H, L, P]) handleResult(result *attemptResult) bool {
	if result.reason == "" {
		shardquery.pass.deliver(shardquery.ctx, &shardResult{shard: shardquery.shard.Name, part: result.part})
		return true
	}
	if result.isNotRun {
		shardquery.countedAttempts--
	}
	if !result.newerVersion.isSet {
		result.newerVersion = shardquery.lastFailure.newerVersion
	}
	if result.part.Response == nil {
		result.part = shardquery.lastFailure.part
	}
	shardquery.lastFailure = *result
	return false
}

// reportMissing reports that the shard has no part, with the reason of the last
// failure.
func (shardquery *shardQuery[C, H, L, P]) reportMissing() {
	shardquery.addTrace(trace.ShardOmitted, "", string(shardquery.lastFailure.reason))
	result := &shardResult{shard: shardquery.shard.Name, reason: shardquery.lastFailure.reason, newerVersion: shardquery.lastFailure.newerVersion}
	if wait := view.ReplicaWait(shardquery.shard.Replicas, view.MonotonicNow()); wait != view.NeverAvailable {
		result.retryAfter = wait
		if wait > 0 {
			result.reason = api.MissingRefused
		}
	}
	if shardquery.pass.request.Scope.Form == api.FormRelayed {
		// The caller receives the replica's own error response.
		result.part = shardquery.lastFailure.part
	}
	shardquery.pass.deliver(shardquery.ctx, result)
}

// mayStart reports whether the limits on attempts allow one more.
func (shardquery *shardQuery[C, H, L, P]) mayStart() bool {
	maxCounted := maxAttempts
	if scope := shardquery.pass.request.Scope; scope.MaxAttempts > 0 {
		maxCounted = scope.MaxAttempts
	}
	return shardquery.startedAttempts < maxAttempts && shardquery.countedAttempts < maxCounted
}

// retry starts another attempt after a failed one. If all replicas refused or
// could not be reached, it starts the timer after which they are tried again
// and reports true.
func (shardquery *shardQuery[C, H, L, P]) retry(ctx context.Context) bool {
	if !shardquery.mayStart() {
		return false
	}
	if shardquery.startRetry(ctx) || shardquery.pendingAttempts > 0 || !(shardquery.lastFailure.reason == api.MissingRefused || shardquery.lastFailure.isUnsent) {
		return false
	}
	shardquery.retryTimer.start(min(minRefusalPause<<shardquery.refusalPauses, maxRefusalPause))
	shardquery.refusalPauses++
	return true
}

// startRetry starts an attempt after the first if the limits and the retry
// budget allow it, and reports whether it did. It takes nothing from the budget
// if the last request was never sent.
func (shardquery *shardQuery[C, H, L, P]) startRetry(ctx context.Context) bool {
	if !shardquery.mayStart() || len(shardquery.usableReplicas()) == 0 {
		return false
	}
	if !shardquery.lastFailure.isUnsent && !shardquery.pass.fanout.Budget.Allow(shardquery.shard.Upstream.Name, retryBudgetShare) {
		shardquery.pass.fanout.Metrics.Add("attempts.overBudget", 1)
		shardquery.addTrace(trace.RetryBudgetExhausted, "", "upstream "+shardquery.shard.Upstream.Name)
		return false
	}
	return shardquery.startAttempt(ctx)
}

func (shardquery *shardQuery[C, H, L, P]) addTrace(kind trace.Kind, peer, detail string) {
	shardquery.pass.request.Trace.Add(kind, shardquery.shard.Name, peer, detail)
}

// startHedge sends a second attempt to another replica while the first one is
// waiting. If the hedge policy or the retry budget does not allow it, the hedge
// is tried once more at twice the delay. Further attempts are those of scheduleRetry.
func (shardquery *shardQuery[C, H, L, P]) startHedge(ctx context.Context) {
	replicas := shardquery.usableReplicas()
	if !shardquery.mayStart() || len(replicas) == 0 {
		return
	}
	if shardquery.isRetryNext {
		shardquery.startRetry(ctx)
		shardquery.scheduleRetry()
		return
	}
	fanout := shardquery.pass.fanout
	replica := fanout.Choice.Choose(replicas)
	isAllowed := view.AllowsHedge(shardquery.shard.Replicas, replica) && fanout.Hedge.Allow(replica, shardquery.isHedgePostponed) && fanout.Budget.Allow(shardquery.shard.Upstream.Name, hedgeBudgetShare)
	if !isAllowed {
		shardquery.postponeHedge()
		return
	}
	fanout.Metrics.Add("attempts.hedged", 1)
	shardquery.addTrace(trace.AttemptHedged, replica.Instance.Name, "")
	shardquery.triedReplicas = append(shardquery.triedReplicas, replica.Instance.Name)
	shardquery.send(ctx, replica)
	shardquery.scheduleRetry()
}

// postponeHedge restarts the hedge timer, once.
func (shardquery *shardQuery[C, H, L, P]) postponeHedge() {
	if shardquery.isHedgePostponed {
		shardquery.scheduleRetry()
		return
	}
	shardquery.isHedgePostponed = true
	shardquery.hedgeTimer.start(shardquery.hedgeDelay)
}

const (
	// coverageRetryShare is the share of the time left to the deadline after which a
	// query that aims at coverage asks the next replica of a shard without a part.
	coverageRetryShare = 0.5
	// minCoverageRetryTime is the time left below which it no longer does: an answer
	// takes longer.
	minCoverageRetryTime = 5 * time.Millisecond
)

// scheduleRetry lets the hedge timer start a retry if the scope aims at coverage. A hedge
// spares latency and depends on the policy's credit; without a retry, a replica that
// hangs would cost such a query its part while another replica is idle.
func (shardquery *shardQuery[C, H, L, P]) scheduleRetry() {
	request := &shardquery.pass.request
	timeLeft := time.Until(request.Deadline)
	if request.Scope.Aim != api.AimCoverage || timeLeft < minCoverageRetryTime {
		return
	}
	shardquery.isRetryNext = true
	shardquery.hedgeTimer.start(time.Duration(coverageRetryShare * float64(timeLeft)))
}

// startHedgeTimer starts the hedge timer if the policy asks for a hedge, and else for the
// retry.
func (shardquery *shardQuery[C, H, L, P]) startHedgeTimer() {
	delay, isSet := shardquery.pass.fanout.Hedge.Delay(&shardquery.pass.request, shardquery.shard)
	if !isSet {
		shardquery.scheduleRetry()
		return
	}
	shardquery.hedgeDelay = delay
	shardquery.hedgeTimer.start(delay)
}

// startAttempt sends an attempt to a replica that has not been tried. It
// reports false if there is none.
func (shardquery *shardQuery[C, H, L, P]) startAttempt(ctx context.Context) bool {
	replicas := shardquery.usableReplicas()
	if len(replicas) == 0 {
		return false
	}
	replica := shardquery.pass.fanout.Choice.Choose(replicas)
	kind := trace.AttemptSent
	if shardquery.startedAttempts > 0 || shardquery.isRepeat {
		kind = trace.AttemptRetried
	}
	shardquery.addTrace(kind, replica.Instance.Name, "")
	shardquery.triedReplicas = append(shardquery.triedReplicas, replica.Instance.Name)
	shardquery.send(ctx, replica)
	return true
}

// send starts an attempt on the replica unless maxAttempts is reached.
func (shardquery *shardQuery[C, H, L, P]) send(ctx context.Context, replica *view.Replica) {
	if shardquery.startedAttempts >= maxAttempts {
		return
	}
	shardquery.pendingAttempts++
	shardquery.startedAttempts++
	shardquery.countedAttempts++
	attempt := &attempt[C, H, L, P]{shardQuery: shardquery, ctx: ctx, replica: replica}
	go attempt.run()
}

// usableReplicas returns the replicas that may receive the next attempt.
func (shardquery *shardQuery[C, H, L, P]) usableReplicas() []*view.Replica {
	return view.UsableReplicas(shardquery.shard.Replicas, func(name string) bool { return slices.Contains(shardquery.triedReplicas, name) })
}
