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
	shedPause     = 4 * time.Millisecond
	mostShedPause = 32 * time.Millisecond
)

// Parts of the retry budget, 0 to 1, that the kinds of extra requests may
// use. Hedges leave a reserve for attempts that failed.
const (
	hedgePart = 0.7
	retryPart = 1
)

// fetch asks one shard in one pass.
type fetch[C Choice, H Hedge, L Link, P Placement] struct {
	pass  *pass[C, H, L, P]
	ctx   context.Context
	shard view.Shard
	// isRepeat is set where a home may have asked the shard already.
	isRepeat bool

	attempts chan attemptResult
	// silent names replicas whose connection was silent and is renewed.
	silent  chan *view.Replica
	again   *time.Timer
	hedging *time.Timer
	// hedgeAfter is the delay of the second attempt.
	hedgeAfter time.Duration
	// isLate is set once the second attempt was put off.
	isLate  bool
	tried   []string
	pending int
	started int
	// counted is how many of the attempts count against the scope's most:
	// those that are not proved not to have run.
	counted int
	rounds  int
	worst   attemptResult
}

// run asks replicas until one answers, none is left or the time is up.
func (fetch *fetch[C, H, L, P]) run() {
	ctx, cancel := context.WithCancelCause(fetch.ctx)
	defer cancel(api.ErrAnswered)
	fetch.attempts = make(chan attemptResult, maxAttempts)
	fetch.silent = make(chan *view.Replica, maxAttempts)
	fetch.worst.reason = api.MissingNoReplica
	fanout := fetch.pass.fanout
	if !fetch.begin(ctx) {
		fetch.miss()
		return
	}
	fanout.Hedge.CountFirstAttempt()
	fetch.armHedge()
	defer fetch.hedging.Stop()
	fetch.again = stoppedTimer()
	defer fetch.again.Stop()
	fetch.loop(ctx)
}

// begin starts the first attempt. One that repeats what a home may have sent
// counts as a further one.
func (fetch *fetch[C, H, L, P]) begin(ctx context.Context) bool {
	if fetch.isRepeat {
		fetch.counted = 1
		return fetch.startAgain(ctx)
	}
	fetch.pass.fanout.Budget.RecordFirst(fetch.shard.Upstream.Name)
	return fetch.start(ctx)
}

// loop takes the attempts' results and starts more attempts as needed.
func (fetch *fetch[C, H, L, P]) loop(ctx context.Context) {
	isWaiting := false
	for fetch.pending > 0 || isWaiting {
		select {
		case result := <-fetch.attempts:
			fetch.pending--
			if fetch.accept(result) {
				return
			}
			isWaiting = fetch.retry(ctx)
		case replica := <-fetch.silent:
			fetch.send(ctx, replica)
		case <-fetch.again.C:
			isWaiting = false
			fetch.tried = nil
			fetch.startAgain(ctx)
		case <-fetch.hedging.C:
			fetch.hedge(ctx)
		case <-ctx.Done():
			return
		}
	}
	fetch.miss()
}

func stoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// accept passes on the part of an answered attempt. It reports false where
// the attempt brought none.
func (fetch *fetch[C, H, L, P]) accept(result attemptResult) bool {
	if result.reason == "" {
		fetch.pass.results <- shardResult{shard: fetch.shard.Name, part: result.part}
		return true
	}
	if result.isNotRun {
		fetch.counted--
	}
	if !result.newer.isSet {
		result.newer = fetch.worst.newer
	}
	if result.part.Response == nil {
		result.part = fetch.worst.part
	}
	fetch.worst = result
	return false
}

func (fetch *fetch[C, H, L, P]) miss() {
	fetch.note(trace.ShardOmitted, "", string(fetch.worst.reason))
	result := shardResult{shard: fetch.shard.Name, reason: fetch.worst.reason, newer: fetch.worst.newer}
	if fetch.pass.request.Scope.Form == api.FormRelayed {
		// The replica's own failure is the answer.
		result.part = fetch.worst.part
	}
	fetch.pass.results <- result
}

// mayStart reports whether the shard may be sent one more attempt.
func (fetch *fetch[C, H, L, P]) mayStart() bool {
	most := maxAttempts
	if scope := fetch.pass.request.Scope; scope.MaxAttempts > 0 {
		most = scope.MaxAttempts
	}
	return fetch.started < maxAttempts && fetch.counted < most
}

// retry starts another attempt after one that brought no part. Where every
// replica refused, or could not be reached, it reports true and asks them again
// after a pause.
func (fetch *fetch[C, H, L, P]) retry(ctx context.Context) bool {
	if !fetch.mayStart() {
		return false
	}
	if fetch.startAgain(ctx) || fetch.pending > 0 || !(fetch.worst.reason == api.MissingRefused || fetch.worst.isUnsent) {
		return false
	}
	fetch.again.Reset(min(shedPause<<fetch.rounds, mostShedPause))
	fetch.rounds++
	return true
}

// startAgain starts an attempt beyond the first, where the budget allows.
func (fetch *fetch[C, H, L, P]) startAgain(ctx context.Context) bool {
	if !fetch.mayStart() || len(fetch.usable()) == 0 {
		return false
	}
	if !fetch.worst.isUnsent && !fetch.pass.fanout.Budget.Allow(fetch.shard.Upstream.Name, retryPart) {
		fetch.pass.fanout.Metrics.Add("attempts.overBudget", 1)
		fetch.note(trace.RetryBudgetExhausted, "", "upstream "+fetch.shard.Upstream.Name)
		return false
	}
	return fetch.start(ctx)
}

func (fetch *fetch[C, H, L, P]) note(kind trace.Kind, peer, detail string) {
	fetch.pass.request.Trace.Add(kind, fetch.shard.Name, peer, detail)
}

// hedge sends a second attempt to another replica, where the budget allows.
// Where it does not, the hedge comes once more after twice the delay.
func (fetch *fetch[C, H, L, P]) hedge(ctx context.Context) {
	replicas := fetch.usable()
	if !fetch.mayStart() || len(replicas) == 0 {
		return
	}
	fanout := fetch.pass.fanout
	replica := fanout.Choice.Choose(replicas)
	isAllowed := fanout.Hedge.Allow(replica, fetch.isLate) && fanout.Budget.Allow(fetch.shard.Upstream.Name, hedgePart)
	if !isAllowed {
		fetch.hedgeLater()
		return
	}
	fanout.Metrics.Add("attempts.hedged", 1)
	fetch.note(trace.AttemptHedged, replica.Instance.Name, "")
	fetch.tried = append(fetch.tried, replica.Instance.Name)
	fetch.send(ctx, replica)
}

// hedgeLater puts the second attempt off once.
func (fetch *fetch[C, H, L, P]) hedgeLater() {
	if fetch.isLate {
		return
	}
	fetch.isLate = true
	fetch.hedging.Reset(fetch.hedgeAfter)
}

// armHedge starts the timer of the second attempt.
func (fetch *fetch[C, H, L, P]) armHedge() {
	fetch.hedging = stoppedTimer()
	after, isSet := fetch.pass.fanout.Hedge.Delay(&fetch.pass.request, fetch.shard)
	if isSet {
		fetch.hedgeAfter = after
		fetch.hedging.Reset(after)
	}
}

// start starts an attempt on a replica that was not tried. It reports false
// where there is none.
func (fetch *fetch[C, H, L, P]) start(ctx context.Context) bool {
	replicas := fetch.usable()
	if len(replicas) == 0 {
		return false
	}
	replica := fetch.pass.fanout.Choice.Choose(replicas)
	kind := trace.AttemptSent
	if fetch.started > 0 || fetch.isRepeat {
		kind = trace.AttemptRetried
	}
	fetch.note(kind, replica.Instance.Name, "")
	fetch.tried = append(fetch.tried, replica.Instance.Name)
	fetch.send(ctx, replica)
	return true
}

func (fetch *fetch[C, H, L, P]) send(ctx context.Context, replica *view.Replica) {
	if fetch.started >= maxAttempts {
		return
	}
	fetch.pending++
	fetch.started++
	fetch.counted++
	attempt := &attempt[C, H, L, P]{fetch: fetch, ctx: ctx, replica: replica}
	go attempt.run()
}

// usable returns the replicas that the next attempt may go to.
func (fetch *fetch[C, H, L, P]) usable() []*view.Replica {
	return view.UsableReplicas(fetch.shard.Replicas, func(name string) bool { return slices.Contains(fetch.tried, name) })
}
