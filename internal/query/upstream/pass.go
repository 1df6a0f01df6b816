package upstream

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// blocksOfHome bounds the blocks that one home sends.
const maxBlocksPerHome = 8

// pass is one try to ask every selected shard once under one snapshot.
type pass[C Choice, H Hedge, L Link, P Placement] struct {
	fanout   *Fanout[C, H, L, P]
	request  Request
	partSpec PartSpec
	body     []byte
	// rank orders the attempts where too many wait.
	rank uint32
	// mayRestart ends the pass when a shard has moved on.
	mayRestart bool
	results    chan shardResult
	// sent counts the attempts that were sent.
	sentAttempts atomic.Int64
	// unproved counts the attempts, and queries to homes, that were sent and
	// are not proved not to have run.
	mayHaveRun atomic.Int64
	// homes is how many homes were asked; isHomeHeard is set once one of them
	// has sent a block.
	homeCount        int
	hasHomeResponded atomic.Bool
	// failed is a replica's own failure of a relayed request.
	failedResponse *api.Response
}

// shardResult is what one shard, or a block of several, adds to an answer:
// parts, or the reason for which one is missing.
type shardResult struct {
	// shard names the missing shard.
	shard        string
	reason       api.MissingReason
	newerVersion newerVersion
	part         api.Part
	// block holds the parts whose records were merged into records.
	blockParts   []api.Part
	blockRecords []byte
}

func (fanout *Fanout[C, H, L, P]) newPass(request Request, snapshot uint64) *pass[C, H, L, P] {
	shards := request.Selection.Shards
	return &pass[C, H, L, P]{
		rank:     requestRank(request),
		fanout:   fanout,
		request:  request,
		partSpec: newPartSpec(request.Scope, snapshot, shards),
		body:     encodeQueryText(request),
		results:  make(chan shardResult, maxBlocksPerHome*len(shards)),
	}
}

// rankOf draws a rank from a request's identity, which its homes share.
func requestRank(request Request) uint32 {
	if request.RelayedRequest == nil {
		return 0
	}
	return uint32(xxhash.Sum64String(request.RelayedRequest.Identity))
}

func newPartSpec(scope api.Scope, snapshot uint64, shards []view.Shard) PartSpec {
	partspec := PartSpec{Form: scope.Form, Snapshot: snapshot, Epochs: make(map[string]uint64, len(shards))}
	for _, shard := range shards {
		partspec.Epochs[shard.Name] = shard.Epoch
	}
	return partspec
}

// launch asks all shards: those of this instance at their replicas, the others
// at their homes.
func (pass *pass[C, H, L, P]) start(ctx context.Context) {
	local, groups := pass.fanout.Placement.Place(&pass.request)
	pass.homeCount = len(groups)
	for _, group := range groups {
		query := &homeQuery[C, H, L, P]{pass: pass, ctx: ctx, group: group}
		go query.run()
	}
	for _, shard := range local {
		shardquery := &shardQuery[C, H, L, P]{pass: pass, ctx: ctx, shard: shard}
		go shardquery.run()
	}
}

// homesToJudge is from how many homes on their common silence is laid to this
// instance: so many do not fail in the same moment.
const minSilentHomes = 3

// isNoHomeHeard reports whether several homes were asked and none has sent
// anything.
func (pass *pass[C, H, L, P]) areAllHomesSilent() bool {
	return pass.homeCount >= minSilentHomes && !pass.hasHomeResponded.Load()
}

// run asks every shard and gathers the parts until all have answered, or the
// answer is worth more now than with the parts that are missing.
func (pass *pass[C, H, L, P]) run(ctx context.Context) (api.Answer, newerVersion) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(api.ErrAnswered)
	pass.start(ctx)
	collector := NewCollector(pass.partSpec)
	targetTimer := pass.targetTimer()
	defer targetTimer.Stop()
	isLate := false
	for !collector.IsComplete() && !(isLate && pass.hasMinCoverage(collector)) {
		select {
		case result := <-pass.results:
			if pass.mayRestart && result.newerVersion.isSet {
				return api.Answer{}, result.newerVersion
			}
			pass.addResult(collector, result)
		case <-targetTimer.C:
			isLate = true
			pass.request.Trace.Add(trace.CutOff, "", "", coverageText(collector))
		case <-ctx.Done():
			answer := pass.answer(collector)
			answer.IsLate = true
			return answer, newerVersion{}
		}
	}
	return pass.answer(collector), newerVersion{}
}

// cutOffTimer fires when an answer with the least coverage is worth more than
// a whole one later.
func (pass *pass[C, H, L, P]) targetTimer() *time.Timer {
	if pass.request.Target.IsZero() || pass.request.Scope.Form == api.FormRelayed {
		return stoppedTimer()
	}
	return time.NewTimer(time.Until(pass.request.Target))
}

func coverageText(collector *Collector) string {
	coverage := collector.Coverage()
	return strconv.Itoa(coverage.Included) + " of " + strconv.Itoa(coverage.Selected) + " shards"
}

func (pass *pass[C, H, L, P]) hasMinCoverage(collector *Collector) bool {
	coverage := collector.CoverageShare()
	return coverage > 0 && coverage >= pass.request.Scope.MinCoverage
}

func (pass *pass[C, H, L, P]) addResult(collector *Collector, result shardResult) {
	switch {
	case len(result.blockParts) > 0:
		if err := collector.AddBlock(result.blockParts, result.blockRecords); err != nil {
			pass.fanout.Metrics.Add("blocks.foreign", 1)
		}
	case result.reason != "":
		collector.AddMissing(result.shard, result.reason)
		pass.failedResponse = result.part.Response
	default:
		if err := collector.Add(result.part); err != nil {
			pass.fanout.Metrics.Add("parts.foreign", 1)
			collector.AddMissing(result.shard, api.MissingFailed)
		}
	}
}

func (pass *pass[C, H, L, P]) answer(collector *Collector) api.Answer {
	answer := api.Answer{
		Snapshot:     pass.partSpec.Snapshot,
		Coverage:     collector.Coverage(),
		SentRequests: int(pass.sentAttempts.Load()),
		IsNotRun:     pass.mayHaveRun.Load() == 0,
		Response:     pass.failedResponse,
	}
	fillAnswer(&answer, pass.request.Scope, collector)
	return answer
}
