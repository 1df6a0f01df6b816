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
const blocksOfHome = 8

// pass is one try to ask every selected shard once under one snapshot.
type pass[C Choice, H Hedge, L Link, P Placement] struct {
	fanout  *Fanout[C, H, L, P]
	request Request
	pin     PartSpec
	body    []byte
	// rank orders the attempts where too many wait.
	rank uint32
	// mayRestart ends the pass when a shard has moved on.
	mayRestart bool
	results    chan shardResult
	// sent counts the attempts that were sent.
	sent atomic.Int64
	// unproved counts the attempts, and queries to homes, that were sent and
	// are not proved not to have run.
	unproved atomic.Int64
	// homes is how many homes were asked; isHomeHeard is set once one of them
	// has sent a block.
	homes       int
	isHomeHeard atomic.Bool
	// failed is a replica's own failure of a relayed request.
	failed *api.Response
}

// shardResult is what one shard, or a block of several, adds to an answer:
// parts, or the reason for which one is missing.
type shardResult struct {
	// shard names the missing shard.
	shard  string
	reason api.MissingReason
	newer  newer
	part   api.Part
	// block holds the parts whose records were merged into records.
	block   []api.Part
	records []byte
}

func (fanout *Fanout[C, H, L, P]) newPass(request Request, snapshot uint64) *pass[C, H, L, P] {
	shards := request.Selection.Shards
	return &pass[C, H, L, P]{
		rank:    rankOf(request),
		fanout:  fanout,
		request: request,
		pin:     newPin(request.Scope, snapshot, shards),
		body:    encodeText(request),
		results: make(chan shardResult, blocksOfHome*len(shards)),
	}
}

// rankOf draws a rank from a request's identity, which its homes share.
func rankOf(request Request) uint32 {
	if request.RelayedRequest == nil {
		return 0
	}
	return uint32(xxhash.Sum64String(request.RelayedRequest.Identity))
}

func newPin(scope api.Scope, snapshot uint64, shards []view.Shard) PartSpec {
	pin := PartSpec{Form: scope.Form, Snapshot: snapshot, Epochs: make(map[string]uint64, len(shards))}
	for _, shard := range shards {
		pin.Epochs[shard.Name] = shard.Epoch
	}
	return pin
}

// launch asks all shards: those of this instance at their replicas, the others
// at their homes.
func (pass *pass[C, H, L, P]) launch(ctx context.Context) {
	local, groups := pass.fanout.Placement.Place(&pass.request)
	pass.homes = len(groups)
	for _, group := range groups {
		query := &homeQuery[C, H, L, P]{pass: pass, ctx: ctx, group: group}
		go query.run()
	}
	for _, shard := range local {
		fetch := &fetch[C, H, L, P]{pass: pass, ctx: ctx, shard: shard}
		go fetch.run()
	}
}

// homesToJudge is from how many homes on their common silence is laid to this
// instance: so many do not fail in the same moment.
const homesToJudge = 3

// isNoHomeHeard reports whether several homes were asked and none has sent
// anything.
func (pass *pass[C, H, L, P]) isNoHomeHeard() bool {
	return pass.homes >= homesToJudge && !pass.isHomeHeard.Load()
}

// run asks every shard and gathers the parts until all have answered, or the
// answer is worth more now than with the parts that are missing.
func (pass *pass[C, H, L, P]) run(ctx context.Context) (api.Answer, newer) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(api.ErrAnswered)
	pass.launch(ctx)
	gather := NewCollector(pass.pin)
	cutOff := pass.cutOffTimer()
	defer cutOff.Stop()
	isLate := false
	for !gather.IsComplete() && !(isLate && pass.isEnough(gather)) {
		select {
		case result := <-pass.results:
			if pass.mayRestart && result.newer.isSet {
				return api.Answer{}, result.newer
			}
			pass.take(gather, result)
		case <-cutOff.C:
			isLate = true
			pass.request.Trace.Add(trace.AnswerIncomplete, "", "", coverageText(gather))
		case <-ctx.Done():
			answer := pass.answer(gather)
			answer.IsDeadlineExceeded = true
			return answer, newer{}
		}
	}
	return pass.answer(gather), newer{}
}

// cutOffTimer fires when an answer with the least coverage is worth more than
// a whole one later.
func (pass *pass[C, H, L, P]) cutOffTimer() *time.Timer {
	if pass.request.Target.IsZero() || pass.request.Scope.Form == api.FormRelayed {
		return stoppedTimer()
	}
	return time.NewTimer(time.Until(pass.request.Target))
}

func coverageText(gather *Collector) string {
	coverage := gather.Coverage()
	return strconv.Itoa(coverage.Included) + " of " + strconv.Itoa(coverage.Selected) + " shards"
}

func (pass *pass[C, H, L, P]) isEnough(gather *Collector) bool {
	coverage := gather.CoverageShare()
	return coverage > 0 && coverage >= pass.request.Scope.MinCoverage
}

func (pass *pass[C, H, L, P]) take(gather *Collector, result shardResult) {
	switch {
	case len(result.block) > 0:
		if err := gather.AddBlock(result.block, result.records); err != nil {
			pass.fanout.Metrics.Add("blocks.foreign", 1)
		}
	case result.reason != "":
		gather.AddMissing(result.shard, result.reason)
		pass.failed = result.part.Response
	default:
		if err := gather.Add(result.part); err != nil {
			pass.fanout.Metrics.Add("parts.foreign", 1)
			gather.AddMissing(result.shard, api.MissingFailed)
		}
	}
}

func (pass *pass[C, H, L, P]) answer(gather *Collector) api.Answer {
	answer := api.Answer{
		Snapshot:       pass.pin.Snapshot,
		Coverage:       gather.Coverage(),
		SentRequests:   int(pass.sent.Load()),
		IsProvenNotRun: pass.unproved.Load() == 0,
		Response:       pass.failed,
	}
	fill(&answer, pass.request.Scope, gather)
	return answer
}
