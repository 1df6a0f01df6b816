package upstream

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/budget"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// replyMargin is what a query keeps of its deadline for writing the answer.
const replyMargin = 3 * time.Millisecond

// Request is one query with the scope and selection that it is pinned to.
type Request struct {
	View      *view.View
	Scope     api.Scope
	Selection view.Selection
	Query     api.Query
	// Relayed is the caller's request where it is passed whole.
	Relayed *api.Relayed
	// Deadline is when the answer must be on its way.
	Deadline time.Time
	// Target is when the answer is worth most; zero where the scope has no
	// such time.
	Target time.Time
}

// Fanout runs queries on the replicas, under the given policies and over the
// given kind of link.
type Fanout[C Choice, H Hedge, L Link] struct {
	Choice    C
	Hedge     H
	Links     *http.Links[L]
	Published *view.Published
	Mailbox   *mailbox.Mailbox[message.Message]
	Budget    *budget.Budget
	Metrics   *metrics.Metrics
}

// Run runs a query. Where a shard has moved past the pinned snapshot or
// epoch, it starts once more on the newest.
func (fanout *Fanout[C, H, L]) Run(ctx context.Context, request Request) api.Answer {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline.Add(-replyMargin))
	defer cancel()
	snapshot := request.View.Indexes[request.Scope.Index].Snapshot
	first := fanout.newPass(request, snapshot)
	first.mayRestart = true
	answer, newer := first.run(ctx)
	if newer.isSet {
		fanout.Metrics.Add("queries.restarted", 1)
		request, snapshot = fanout.renew(request, snapshot, newer)
		second := fanout.newPass(request, snapshot)
		answer, _ = second.run(ctx)
		answer.SentRequests += int(first.sent.Load())
	}
	return finish(request, answer)
}

// newer is what a replica said of a snapshot or epoch beyond the pinned one.
type newer struct {
	isSet    bool
	snapshot uint64
}

// renew pins request to the newest View, and to the newest snapshot that
// either the View or a replica named.
func (fanout *Fanout[C, H, L]) renew(request Request, snapshot uint64, newer newer) (Request, uint64) {
	current := fanout.Published.Load()
	scope, isKnown := current.Scopes[request.Scope.Name]
	selection, isSelected := scope.Selections[request.Query.Kind]
	if isKnown && isSelected {
		request.View = current
		request.Scope = scope.Scope
		request.Selection = selection
	}
	return request, max(snapshot, newer.snapshot, request.View.Indexes[request.Scope.Index].Snapshot)
}

// finish gives the answer its outcome. A query that did not reach the scope's
// least coverage ran nowhere only where every attempt proved that.
func finish(request Request, answer api.Answer) api.Answer {
	if answer.Coverage.Included > 0 && answer.Coverage.Share() >= request.Scope.MinCoverage {
		answer.Outcome = api.OutcomeDone
		merge(request.Scope, &answer)
		return answer
	}
	isEmptyAllowed := request.Scope.MinCoverage == 0 && request.Relayed == nil
	if isEmptyAllowed {
		answer.Outcome = api.OutcomeDone
		return answer
	}
	answer.Outcome = api.OutcomeUnknown
	answer.Reason = "coverage below the scope's minCoverage"
	answer.Parts = nil
	return answer
}

// pass is one try to ask every selected shard once under one snapshot.
type pass[C Choice, H Hedge, L Link] struct {
	fanout  *Fanout[C, H, L]
	request Request
	pin     Pin
	body    []byte
	// mayRestart ends the pass when a shard has moved on.
	mayRestart bool
	results    chan shardResult
	// sent counts the attempts that were sent.
	sent atomic.Int64
	// unproved counts the attempts that were sent and are not proved not to
	// have run.
	unproved atomic.Int64
	// failed is a replica's own failure of a relayed request.
	failed *api.Response
}

func (fanout *Fanout[C, H, L]) newPass(request Request, snapshot uint64) *pass[C, H, L] {
	shards := request.Selection.Shards
	return &pass[C, H, L]{
		fanout:  fanout,
		request: request,
		pin:     newPin(request.Scope, snapshot, shards),
		body:    encodeText(request),
		results: make(chan shardResult, len(shards)),
	}
}

// run asks every shard and gathers the parts until all have answered, or the
// answer is worth more now than with the parts that are missing.
func (pass *pass[C, H, L]) run(ctx context.Context) (api.Answer, newer) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(api.ErrAnswered)
	for _, shard := range pass.request.Selection.Shards {
		fetch := &fetch[C, H, L]{pass: pass, ctx: ctx, shard: shard}
		go fetch.run()
	}
	gather := NewGather(pass.pin)
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
		case <-ctx.Done():
			answer := pass.answer(gather)
			answer.IsLate = true
			return answer, newer{}
		}
	}
	return pass.answer(gather), newer{}
}

// cutOffTimer fires when an answer with the least coverage is worth more than
// a whole one later.
func (pass *pass[C, H, L]) cutOffTimer() *time.Timer {
	if pass.request.Target.IsZero() || pass.request.Scope.Form == api.FormRelayed {
		return stoppedTimer()
	}
	return time.NewTimer(time.Until(pass.request.Target))
}

func (pass *pass[C, H, L]) isEnough(gather *Gather) bool {
	coverage := gather.Share()
	return coverage > 0 && coverage >= pass.request.Scope.MinCoverage
}

func newPin(scope api.Scope, snapshot uint64, shards []view.Shard) Pin {
	pin := Pin{Form: scope.Form, Snapshot: snapshot, Epochs: make(map[string]uint64, len(shards))}
	for _, shard := range shards {
		pin.Epochs[shard.Name] = shard.Epoch
	}
	return pin
}

func (pass *pass[C, H, L]) take(gather *Gather, result shardResult) {
	if result.reason != "" {
		gather.Miss(result.shard, result.reason)
		pass.failed = result.part.Response
		return
	}
	if err := gather.Add(result.part); err != nil {
		pass.fanout.Metrics.Add("parts.foreign", 1)
		gather.Miss(result.shard, api.MissingFailed)
	}
}

func (pass *pass[C, H, L]) answer(gather *Gather) api.Answer {
	return api.Answer{
		Snapshot:     pass.pin.Snapshot,
		Coverage:     gather.Coverage(),
		Parts:        gather.Parts(),
		SentRequests: int(pass.sent.Load()),
		IsNotRun:     pass.unproved.Load() == 0,
		Response:     pass.failed,
	}
}

// encodeText writes a query's text as replicas of the own protocol read it.
func encodeText(request Request) []byte {
	if request.Relayed != nil {
		return nil
	}
	text := request.Query.Text
	encoded, err := json.Marshal(map[string]string{"text": text})
	if err != nil {
		return []byte(strconv.Quote(text))
	}
	return encoded
}
