package upstream

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/budget"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
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
	// RelayedRequest is the caller's request where it is passed whole.
	RelayedRequest *api.RelayedRequest
	// Deadline is when the answer must be on its way.
	Deadline time.Time
	// Target is when the answer is worth most; zero where the scope has no
	// such time.
	Target time.Time
	// InstanceLag is how much longer than usual answers take on this instance at the
	// moment.
	InstanceLag time.Duration
	// Trace takes the decisions about the request; nil takes none.
	Trace *trace.Trace
}

// Fanout runs queries on the replicas, under the given policies and over the
// given kind of link.
type Fanout[C Choice, H Hedge, L Link, P Placement] struct {
	Choice    C
	Hedge     H
	Placement P
	Links     *http.Links[L]
	Published *view.PublishedView
	Mailbox   *mailbox.Mailbox[message.Message]
	Budget    *budget.Budget
	Metrics   *metrics.Metrics
}

// Run runs a query. Where a shard has moved past the pinned snapshot or
// epoch, it starts once more on the newest.
func (fanout *Fanout[C, H, L, P]) Run(ctx context.Context, request Request) api.Answer {
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
func (fanout *Fanout[C, H, L, P]) renew(request Request, snapshot uint64, newer newer) (Request, uint64) {
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
	isEmptyAllowed := request.Scope.MinCoverage == 0 && request.RelayedRequest == nil
	isCovered := answer.Coverage.Included > 0 && answer.Coverage.Ratio() >= request.Scope.MinCoverage
	if isCovered || isEmptyAllowed {
		answer.Outcome = api.OutcomeDone
		return answer
	}
	answer.Outcome = api.OutcomeUnknown
	answer.Reason = "coverage below the scope's minCoverage"
	answer.Parts = nil
	answer.Records = nil
	return answer
}

// encodeText writes a query's text as replicas of the own protocol read it.
func encodeText(request Request) []byte {
	if request.RelayedRequest != nil {
		return nil
	}
	text := request.Query.Text
	encoded, err := json.Marshal(map[string]string{"text": text})
	if err != nil {
		return []byte(strconv.Quote(text))
	}
	return encoded
}
