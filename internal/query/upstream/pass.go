package upstream

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	schedule "github.com/mimosaspring/mimosaspring/internal/schedule/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// pass queries every selected shard once at one snapshot.
type pass[C Choice, H Hedge, L Link, P Placement] struct {
	fanout   *Fanout[C, H, L, P]
	request  Request
	partSpec PartSpec
	body     []byte
	// rank orders the attempts that wait at an overloaded replica. It is 0 for
	// a query that is not relayed.
	rank uint32
	// mayRestart lets the pass end as soon as a replica reports a newer
	// snapshot or epoch.
	mayRestart bool
	results    chan *shardResult
	// sentAttempts counts the requests sent to replicas by this instance.
	sentAttempts atomic.Int64
	// possibleRuns counts the requests to replicas and homes that may have run
	// the query.
	possibleRuns api.PossibleRuns
	// homeCount is the number of homes that were asked. hasHomeResponded is set
	// once one of them has sent a partial answer.
	homeCount        int
	hasHomeResponded atomic.Bool
	// failedResponse is the replica's error response to a relayed request.
	failedResponse *api.Response
	// refusalWaits holds, for each shard that is missing because all of its
	// replicas asked to wait, how long that is.
	refusalWaits []time.Duration
}

// shardResult is the result of one shard, or of several shards in a partial
// answer: the parts, or the reason why the shard is missing.
type shardResult struct {
	// shard names the shard of part, or the missing shard.
	shard        string
	reason       api.MissingReason
	retryAfter   time.Duration
	newerVersion newerVersion
	part         api.Part
	// mergedParts holds the parts whose records are merged into mergedRecords.
	mergedParts   []api.Part
	mergedRecords []byte
}

func (fanout *Fanout[C, H, L, P]) newPass(request Request, snapshot uint64) *pass[C, H, L, P] {
	shards := request.Selection.Shards
	return &pass[C, H, L, P]{
		rank:     schedule.Rank(request.RelayedRequest),
		fanout:   fanout,
		request:  request,
		partSpec: newPartSpec(request.Scope, snapshot, shards),
		body:     encodeQueryText(request),
		results:  make(chan *shardResult, len(shards)),
	}
}

// deliver passes a result to the pass unless ctx, the context of the query, ends
// before the pass takes it.
func (pass *pass[C, H, L, P]) deliver(ctx context.Context, result *shardResult) {
	select {
	case pass.results <- result:
	case <-ctx.Done():
	}
}

func newPartSpec(scope api.Scope, snapshot uint64, shards []view.Shard) PartSpec {
	partspec := PartSpec{Form: scope.Form, Snapshot: snapshot, Epochs: make(map[string]uint64, len(shards))}
	for _, shard := range shards {
		partspec.Epochs[shard.Name] = shard.Epoch
	}
	return partspec
}

// Memory that a running query holds while it waits, as the account of its request counts
// it: mostly the stacks of two goroutines for each shard that is queried here, and of one
// for each home.
const (
	shardQueryBytes = 20 << 10
	homeQueryBytes  = 16 << 10
)

// A query may wait for memory for one in targetWaitDivisor of the time to its target time,
// or, without one, for one in deadlineWaitDivisor of the time to its deadline. The rest is
// for the query itself.
const (
	targetWaitDivisor   = 4
	deadlineWaitDivisor = 3
)

// memoryWait returns how long the query may wait for memory.
func (pass *pass[C, H, L, P]) memoryWait() time.Duration {
	if target := pass.request.TargetTime; !target.IsZero() {
		return time.Until(target) / targetWaitDivisor
	}
	return time.Until(pass.request.Deadline) / deadlineWaitDivisor
}

// start starts querying all shards: those placed on this instance at their
// replicas, the others at their homes. It starts nothing and reports false if there is
// no memory for it within memoryWait.
func (pass *pass[C, H, L, P]) start(ctx context.Context, memoryWait time.Duration) bool {
	localShards, groups := pass.fanout.Placement.Place(&pass.request)
	fanoutBytes := int64(len(localShards)*shardQueryBytes + len(groups)*homeQueryBytes)
	if !caller.AccountFrom(ctx).Begin(ctx, fanoutBytes, len(localShards), memoryWait) {
		pass.fanout.Metrics.Add("queries.refusedForMemory", 1)
		pass.request.Trace.Add(trace.RequestRefused, "", "", reasonNoMemory)
		return false
	}
	pass.homeCount = len(groups)
	for _, group := range groups {
		homequery := &homeQuery[C, H, L, P]{pass: pass, ctx: ctx, group: group}
		go homequery.run()
	}
	for _, shard := range localShards {
		shardquery := &shardQuery[C, H, L, P]{pass: pass, ctx: ctx, shard: shard}
		go shardquery.run()
	}
	return true
}

// Refusal of a query for which there is no memory. Most running queries end within the
// wait.
const (
	reasonNoMemory     = "no memory left for the query"
	noMemoryRetryAfter = 200 * time.Millisecond
)

// refuse returns the answer of a pass that was not started.
func (pass *pass[C, H, L, P]) refuse() api.Answer {
	return api.Answer{Outcome: api.OutcomeNotRun, Reason: reasonNoMemory, RetryAfter: noMemoryRetryAfter, IsProvenNotRun: pass.possibleRuns.Close()}
}

// minSilentHomes is the number of homes that must have been asked before the
// silence of all of them is attributed to this instance. That many homes rarely
// fail at the same moment.
const minSilentHomes = 3

// areAllHomesSilent reports whether at least minSilentHomes homes were asked
// and none has sent a partial answer.
func (pass *pass[C, H, L, P]) areAllHomesSilent() bool {
	return pass.homeCount >= minSilentHomes && !pass.hasHomeResponded.Load()
}

// run queries every shard and collects the parts. It returns when all shards
// have a result, when the target time has passed and the minimum coverage is
// reached, or when ctx ends. If the pass may restart and a newer version
// exists, it returns the version and no answer.
func (pass *pass[C, H, L, P]) run(ctx context.Context) (api.Answer, newerVersion) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(api.ErrAnswered)
	if !pass.start(ctx, pass.memoryWait()) {
		return pass.refuse(), newerVersion{}
	}
	collector := NewCollector(pass.partSpec)
	targetTimer := pass.targetTimer()
	defer targetTimer.stop()
	isPastTarget := false
	for !collector.IsComplete() && !(isPastTarget && pass.hasMinCoverage(collector)) {
		select {
		case result := <-pass.results:
			if pass.mayRestart && result.newerVersion.isSet {
				return api.Answer{}, result.newerVersion
			}
			pass.addResult(collector, result)
		case <-targetTimer.channel():
			isPastTarget = true
			pass.request.Trace.Add(trace.AnswerIncomplete, "", "", coverageText(collector))
		case <-ctx.Done():
			answer := pass.answer(collector)
			answer.IsDeadlineExceeded = true
			return answer, newerVersion{}
		}
	}
	return pass.answer(collector), newerVersion{}
}

// targetTimer returns the timer that fires at the target time. From then on an
// incomplete answer with the minimum coverage is worth more than a complete one
// later. The timer never fires for a query without a target time or with a
// relayed answer, which has only one part.
func (pass *pass[C, H, L, P]) targetTimer() optionalTimer {
	var timer optionalTimer
	if !pass.request.TargetTime.IsZero() && pass.request.Scope.Form != api.FormRelayed {
		timer.start(time.Until(pass.request.TargetTime))
	}
	return timer
}

func coverageText(collector *Collector) string {
	coverage := collector.Coverage()
	return strconv.Itoa(coverage.IncludedCount) + " of " + strconv.Itoa(coverage.SelectedCount) + " shards"
}

func (pass *pass[C, H, L, P]) hasMinCoverage(collector *Collector) bool {
	coverage := collector.CoverageShare()
	return coverage > 0 && coverage >= pass.request.Scope.MinCoverage
}

// addResult adds a result to the collector. A part or partial answer that does
// not match the pass is counted and dropped.
func (pass *pass[C, H, L, P]) addResult(collector *Collector, result *shardResult) {
	switch {
	case len(result.mergedParts) > 0:
		if err := collector.AddPartialAnswer(result.mergedParts, result.mergedRecords); err != nil {
			pass.fanout.Metrics.Add("blocks.foreign", 1)
		}
	case result.reason != "":
		collector.AddMissing(result.shard, result.reason)
		if result.retryAfter > 0 {
			pass.refusalWaits = append(pass.refusalWaits, result.retryAfter)
		}
		pass.failedResponse = result.part.Response
	default:
		if err := collector.Add(result.part); err != nil {
			pass.fanout.Metrics.Add("parts.foreign", 1)
			collector.AddMissing(result.shard, api.MissingFailed)
		}
	}
}

// answer returns the answer from the parts collected so far, without its
// outcome.
func (pass *pass[C, H, L, P]) answer(collector *Collector) api.Answer {
	answer := api.Answer{
		Snapshot:       pass.partSpec.Snapshot,
		Coverage:       collector.Coverage(),
		SentRequests:   int(pass.sentAttempts.Load()),
		IsProvenNotRun: pass.possibleRuns.Close(),
		Response:       pass.failedResponse,
	}
	lacking := view.RequiredCount(answer.Coverage.SelectedCount, pass.request.Scope.MinCoverage) - answer.Coverage.IncludedCount
	answer.RetryAfter = view.NthWait(pass.refusalWaits, lacking)
	fillAnswer(&answer, pass.request.Scope, collector)
	return answer
}
