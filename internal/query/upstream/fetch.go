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
	// maxAttempts bounds the attempts for one shard in one pass.
	maxAttempts = 16
	// shedPause is the wait before replicas that all refused are asked again;
	// it doubles each time up to mostShedPause.
	minRefusalPause = 4 * time.Millisecond
	maxRefusalPause = 32 * time.Millisecond
)

// Parts of the retry budget, 0 to 1, that the kinds of extra requests may
// use. Hedges leave a reserve for attempts that failed.
const (
	hedgeBudgetShare = 0.7
	retryBudgetShare = 1
)

// fetch asks one shard in one pass.
type shardQuery[C Choice, H Hedge, L Link, P Placement] struct {
	pass  *pass[C, H, L, P]
	ctx   context.Context
	shard view.Shard
	// isRepeat is set where a home may have asked the shard already.
	isRepeat bool

	attemptResults chan attemptResult
	// silent names replicas whose connection was silent and is renewed.
	stalledReplicas chan *view.Replica
	retryTimer      *time.Timer
	hedgeTimer      *time.Timer
	// hedgeAfter is the delay of the second attempt.
	hedgeDelay time.Duration
	// isLate is set once the second attempt was put off.
	isHedgePostponed bool
	triedReplicas    []string
	pendingAttempts  int
	startedAttempts  int
	// counted is how many of the attempts count against the scope's most:
	// those that are not proved not to have run.
	countedAttempts int
	refusalPauses   int
	lastFailure     attemptResult
}

// run asks replicas until one answers, none is left or the time is up.
func (shardquery *shardQuery[C, H, L, P]) run() {
	ctx, cancel := context.WithCancelCause(shardquery.ctx)
	defer cancel(api.ErrAnswered)
	shardquery.attemptResults = make(chan attemptResult, maxAttempts)
	shardquery.stalledReplicas = make(chan *view.Replica, maxAttempts)
	shardquery.lastFailure.reason = api.MissingNoReplica
	fanout := shardquery.pass.fanout
	if !shardquery.startFirst(ctx) {
		shardquery.reportMissing()
		return
	}
	fanout.Hedge.CountFirstAttempt()
	shardquery.startHedgeTimer()
	defer shardquery.hedgeTimer.Stop()
	shardquery.retryTimer = stoppedTimer()
	defer shardquery.retryTimer.Stop()
	shardquery.loop(ctx)
}

// begin starts the first attempt. One that repeats what a home may have sent
// counts as a further one.
func (shardquery *shardQuery[C, H, L, P]) startFirst(ctx context.Context) bool {
	if shardquery.isRepeat {
		shardquery.countedAttempts = 1
		return shardquery.startRetry(ctx)
	}
	shardquery.pass.fanout.Budget.First(shardquery.shard.Upstream.Name)
	return shardquery.startAttempt(ctx)
}

// loop takes the attempts' results and starts more attempts as needed.
func (shardquery *shardQuery[C, H, L, P]) loop(ctx context.Context) {
	isWaiting := false
	for shardquery.pendingAttempts > 0 || isWaiting {
		select {
		case result := <-shardquery.attemptResults:
			shardquery.pendingAttempts--
			if shardquery.handleResult(result) {
				return
			}
			isWaiting = shardquery.retry(ctx)
		case replica := <-shardquery.stalledReplicas:
			shardquery.send(ctx, replica)
		case <-shardquery.retryTimer.C:
			isWaiting = false
			shardquery.triedReplicas = nil
			shardquery.startRetry(ctx)
		case <-shardquery.hedgeTimer.C:
			shardquery.startHedge(ctx)
		case <-ctx.Done():
			return
		}
	}
	shardquery.reportMissing()
}

func stoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// accept passes on the part of an answered attempt. It reports false where
// the attempt brought none.
func (shardquery *shardQuery[C, H, L, P]) handleResult(result attemptResult) bool {
	if result.reason == "" {
		shardquery.pass.results <- shardResult{shard: shardquery.shard.Name, part: result.part}
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
	shardquery.lastFailure = result
	return false
}

func (shardquery *shardQuery[C, H, L, P]) reportMissing() {
	shardquery.addTrace(trace.GaveUp, "", string(shardquery.lastFailure.reason))
	result := shardResult{shard: shardquery.shard.Name, reason: shardquery.lastFailure.reason, newerVersion: shardquery.lastFailure.newerVersion}
	if shardquery.pass.request.Scope.Form == api.FormRelayed {
		// The replica's own failure is the answer.
		result.part = shardquery.lastFailure.part
	}
	shardquery.pass.results <- result
}

// mayStart reports whether the shard may be sent one more attempt.
func (shardquery *shardQuery[C, H, L, P]) mayStart() bool {
	maxCounted := maxAttempts
	if scope := shardquery.pass.request.Scope; scope.MaxAttempts > 0 {
		maxCounted = scope.MaxAttempts
	}
	return shardquery.startedAttempts < maxAttempts && shardquery.countedAttempts < maxCounted
}

// retry starts another attempt after one that brought no part. Where every
// replica refused, or could not be reached, it reports true and asks them again
// after a pause.
func (shardquery *shardQuery[C, H, L, P]) retry(ctx context.Context) bool {
	if !shardquery.mayStart() {
		return false
	}
	if shardquery.startRetry(ctx) || shardquery.pendingAttempts > 0 || !(shardquery.lastFailure.reason == api.MissingRefused || shardquery.lastFailure.isUnsent) {
		return false
	}
	shardquery.retryTimer.Reset(min(minRefusalPause<<shardquery.refusalPauses, maxRefusalPause))
	shardquery.refusalPauses++
	return true
}

// startAgain starts an attempt beyond the first, where the budget allows.
func (shardquery *shardQuery[C, H, L, P]) startRetry(ctx context.Context) bool {
	if !shardquery.mayStart() || len(shardquery.usableReplicas()) == 0 {
		return false
	}
	if !shardquery.lastFailure.isUnsent && !shardquery.pass.fanout.Budget.Allow(shardquery.shard.Upstream.Name, retryBudgetShare) {
		shardquery.pass.fanout.Metrics.Add("attempts.overBudget", 1)
		shardquery.addTrace(trace.OverBudget, "", "upstream "+shardquery.shard.Upstream.Name)
		return false
	}
	return shardquery.startAttempt(ctx)
}

func (shardquery *shardQuery[C, H, L, P]) addTrace(kind trace.Kind, peer, detail string) {
	shardquery.pass.request.Trace.Add(kind, shardquery.shard.Name, peer, detail)
}

// hedge sends a second attempt to another replica, where the budget allows.
// Where it does not, the hedge comes once more after twice the delay.
func (shardquery *shardQuery[C, H, L, P]) startHedge(ctx context.Context) {
	replicas := shardquery.usableReplicas()
	if !shardquery.mayStart() || len(replicas) == 0 {
		return
	}
	fanout := shardquery.pass.fanout
	replica := fanout.Choice.Choose(replicas)
	isAllowed := fanout.Hedge.Allow(replica, shardquery.isHedgePostponed) && fanout.Budget.Allow(shardquery.shard.Upstream.Name, hedgeBudgetShare)
	if !isAllowed {
		shardquery.postponeHedge()
		return
	}
	fanout.Metrics.Add("attempts.hedged", 1)
	shardquery.addTrace(trace.Hedged, replica.Instance.Name, "")
	shardquery.triedReplicas = append(shardquery.triedReplicas, replica.Instance.Name)
	shardquery.send(ctx, replica)
}

// hedgeLater puts the second attempt off once.
func (shardquery *shardQuery[C, H, L, P]) postponeHedge() {
	if shardquery.isHedgePostponed {
		return
	}
	shardquery.isHedgePostponed = true
	shardquery.hedgeTimer.Reset(shardquery.hedgeDelay)
}

// armHedge starts the timer of the second attempt.
func (shardquery *shardQuery[C, H, L, P]) startHedgeTimer() {
	shardquery.hedgeTimer = stoppedTimer()
	after, isSet := shardquery.pass.fanout.Hedge.Delay(&shardquery.pass.request, shardquery.shard)
	if isSet {
		shardquery.hedgeDelay = after
		shardquery.hedgeTimer.Reset(after)
	}
}

// start starts an attempt on a replica that was not tried. It reports false
// where there is none.
func (shardquery *shardQuery[C, H, L, P]) startAttempt(ctx context.Context) bool {
	replicas := shardquery.usableReplicas()
	if len(replicas) == 0 {
		return false
	}
	replica := shardquery.pass.fanout.Choice.Choose(replicas)
	kind := trace.Sent
	if shardquery.startedAttempts > 0 || shardquery.isRepeat {
		kind = trace.Repeated
	}
	shardquery.addTrace(kind, replica.Instance.Name, "")
	shardquery.triedReplicas = append(shardquery.triedReplicas, replica.Instance.Name)
	shardquery.send(ctx, replica)
	return true
}

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

// usable returns the replicas that the next attempt may go to.
func (shardquery *shardQuery[C, H, L, P]) usableReplicas() []*view.Replica {
	return view.Usable(shardquery.shard.Replicas, func(name string) bool { return slices.Contains(shardquery.triedReplicas, name) })
}
