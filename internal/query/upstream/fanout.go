package upstream

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
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
	// Deadline is when the answer must be on its way.
	Deadline time.Time
}

// Fanout runs queries on the replicas, under the given policies.
type Fanout[C Choice, H Hedge] struct {
	Choice    C
	Hedge     H
	Published *view.Published
	Mailbox   *mailbox.Mailbox[message.Message]
	Links     *http.Links
	Metrics   *metrics.Metrics
}

// Run runs a query. Where a shard has moved past the pinned snapshot or
// epoch, it starts once more on the newest.
func (fanout *Fanout[C, H]) Run(ctx context.Context, request Request) api.Answer {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline.Add(-replyMargin))
	defer cancel()
	var sent atomic.Int64
	snapshot := request.View.Indexes[request.Scope.Index].Snapshot
	answer, newer := fanout.pass(ctx, request, snapshot, true, &sent)
	if newer.isSet {
		fanout.Metrics.Add("queries.restarted", 1)
		request, snapshot = fanout.renew(request, snapshot, newer)
		answer, _ = fanout.pass(ctx, request, snapshot, false, &sent)
	}
	answer.SentRequests = int(sent.Load())
	return finish(request, answer)
}

// newer is what a replica said of a snapshot or epoch beyond the pinned one.
type newer struct {
	isSet    bool
	snapshot uint64
}

// renew pins request to the newest View, and to the newest snapshot that
// either the View or a replica named.
func (fanout *Fanout[C, H]) renew(request Request, snapshot uint64, newer newer) (Request, uint64) {
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
// least coverage may have run on some replicas.
func finish(request Request, answer api.Answer) api.Answer {
	answer.Outcome = api.OutcomeDone
	if answer.Coverage.Share() < request.Scope.MinCoverage {
		answer.Outcome = api.OutcomeUnknown
		answer.Reason = "coverage below the scope's minCoverage"
		answer.Parts = nil
	}
	return answer
}

// pass asks every selected shard once under one snapshot. With mayRestart it
// ends early when a shard has moved on.
func (fanout *Fanout[C, H]) pass(ctx context.Context, request Request, snapshot uint64, mayRestart bool, sent *atomic.Int64) (api.Answer, newer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	shards := request.Selection.Shards
	pin := newPin(snapshot, shards)
	results := make(chan shardResult, len(shards))
	body := encodeText(request.Query.Text)
	for _, shard := range shards {
		fetch := &fetch[C, H]{fanout: fanout, ctx: ctx, request: request, shard: shard, pin: pin, body: body, sent: sent, results: results}
		go fetch.run()
	}
	gather := NewGather(pin)
	for !gather.IsComplete() {
		select {
		case result := <-results:
			if mayRestart && result.newer.isSet {
				return api.Answer{}, result.newer
			}
			fanout.take(gather, result)
		case <-ctx.Done():
			return answerOf(gather, snapshot), newer{}
		}
	}
	return answerOf(gather, snapshot), newer{}
}

func newPin(snapshot uint64, shards []view.Shard) Pin {
	pin := Pin{Snapshot: snapshot, Epochs: make(map[string]uint64, len(shards))}
	for _, shard := range shards {
		pin.Epochs[shard.Name] = shard.Epoch
	}
	return pin
}

func (fanout *Fanout[C, H]) take(gather *Gather, result shardResult) {
	if result.reason != "" {
		gather.Miss(result.shard, result.reason)
		return
	}
	if err := gather.Add(result.part); err != nil {
		fanout.Metrics.Add("parts.foreign", 1)
		gather.Miss(result.shard, api.MissingFailed)
	}
}

func answerOf(gather *Gather, snapshot uint64) api.Answer {
	return api.Answer{Snapshot: snapshot, Coverage: gather.Coverage(), Parts: gather.Parts()}
}

func encodeText(text string) []byte {
	encoded, err := json.Marshal(map[string]string{"text": text})
	if err != nil {
		return []byte(strconv.Quote(text))
	}
	return encoded
}
