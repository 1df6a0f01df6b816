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

// replyMargin is the part of a query's deadline that is reserved for writing
// the answer.
const replyMargin = 3 * time.Millisecond

// Request is one query with the View, scope and selection of shards that it
// runs on.
type Request struct {
	View      *view.View
	Scope     api.Scope
	Selection view.Selection
	Query     api.Query
	// RelayedRequest is the caller's original HTTP request if the scope
	// forwards it unchanged, otherwise nil.
	RelayedRequest *api.RelayedRequest
	// Deadline is the time by which the answer must have been sent.
	Deadline time.Time
	// TargetTime is the time by which the scope's target latency requires the
	// answer. From then on an incomplete answer with enough coverage is sent. It
	// is zero if the scope has no target latency.
	TargetTime time.Time
	// InstanceLag is by how much answers currently take longer than usual on
	// this instance.
	InstanceLag time.Duration
	// Trace records the decisions about the request. It may be nil.
	Trace *trace.Trace
}

// Fanout sends queries to the replicas of the selected shards. Its type
// parameters are the policies and the type of the connections to replicas.
type Fanout[C Choice, H Hedge, L Link, P Placement] struct {
	Choice      C
	Hedge       H
	Placement   P
	Links       *http.Links[L]
	CurrentView *view.PublishedView
	Mailbox     *mailbox.Mailbox[message.Message]
	Budget      *budget.Budget
	Metrics     *metrics.Metrics
}

// Run runs a query and returns its answer. If a replica reports a newer
// snapshot or epoch than the query uses, the query is restarted once with the
// newest ones.
func (fanout *Fanout[C, H, L, P]) Run(ctx context.Context, request Request) api.Answer {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline.Add(-replyMargin))
	defer cancel()
	snapshot := request.View.Indexes[request.Scope.Index].Snapshot
	firstPass := fanout.newPass(request, snapshot)
	firstPass.mayRestart = true
	answer, newerVersion := firstPass.run(ctx)
	if newerVersion.isSet {
		fanout.Metrics.Add("queries.restarted", 1)
		request, snapshot = fanout.updateRequest(request, snapshot, newerVersion)
		secondPass := fanout.newPass(request, snapshot)
		answer, _ = secondPass.run(ctx)
		answer.SentRequests += int(firstPass.sentAttempts.Load())
		answer.IsProvenNotRun = firstPass.possibleRuns.Close() && answer.IsProvenNotRun
	}
	if answer.Outcome == api.OutcomeNotRun {
		if !answer.IsProvenNotRun {
			answer.Outcome = api.OutcomeUnknown
		}
		return answer
	}
	return setOutcome(request, answer)
}

// newerVersion reports that a snapshot or epoch newer than that of the pass
// exists. The snapshot is 0 if only the epoch is newer.
type newerVersion struct {
	isSet    bool
	snapshot uint64
}

// updateRequest returns the request on the current View, and the newest
// snapshot that the View, a replica or the previous pass has named.
func (fanout *Fanout[C, H, L, P]) updateRequest(request Request, snapshot uint64, newerVersion newerVersion) (Request, uint64) {
	current := fanout.CurrentView.Load()
	scope, isKnown := current.Scopes[request.Scope.Name]
	selection, isSelected := scope.Selections[request.Query.Kind]
	if isKnown && isSelected {
		request.View = current
		request.Scope = scope.Scope
		request.Selection = selection
	}
	return request, max(snapshot, newerVersion.snapshot, request.View.Indexes[request.Scope.Index].Snapshot)
}

// unsentRetryAfter is the wait that is asked of the caller of a query that reached no
// replica, unless the replicas state one. By then a replica that failed is known.
const unsentRetryAfter = 100 * time.Millisecond

// setOutcome sets the outcome of the answer. An answer below the scope's
// minimum coverage has the outcome unknown; its IsProvenNotRun states whether
// the query may have run on a replica.
func setOutcome(request Request, answer api.Answer) api.Answer {
	isEmptyAllowed := request.Scope.MinCoverage == 0 && request.RelayedRequest == nil
	isCovered := answer.Coverage.IncludedCount > 0 && answer.Coverage.Ratio() >= request.Scope.MinCoverage
	if isCovered || isEmptyAllowed {
		answer.Outcome = api.OutcomeDone
		return answer
	}
	answer.Outcome = api.OutcomeUnknown
	if answer.IsProvenNotRun && answer.RetryAfter == 0 {
		answer.RetryAfter = unsentRetryAfter
	}
	answer.Reason = "coverage below the scope's minCoverage"
	answer.Parts = nil
	answer.Records = nil
	return answer
}

// encodeQueryText encodes the query's text as a JSON object, the request body
// of replicas that do not receive relayed requests.
func encodeQueryText(request Request) []byte {
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
