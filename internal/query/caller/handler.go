// Package caller serves queries from callers and lists the instances that they
// should connect to.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Handler serves queries and the list of instances to callers over HTTP.
type Handler[A Admission] struct {
	Admission   A
	CurrentView *view.PublishedView
	// Run runs an admitted query.
	Run     func(ctx context.Context, request upstream.Request) api.Answer
	Metrics *metrics.Metrics
	// KeepTime is how long callers may cache the list of instances.
	KeepTime time.Duration
}

// Register adds the handler's routes to mux.
func (handler *Handler[A]) Register(mux chi.Router) {
	mux.Get("/v1/instances", handler.getInstances)
	mux.Post("/v1/scopes/{scope}/queries", handler.postQuery)
}

func (handler *Handler[A]) postQuery(writer http.ResponseWriter, httpRequest *http.Request) {
	start := time.Now()
	query, err := wire.DecodeQuery(chi.URLParam(httpRequest, "scope"), httpRequest)
	if err != nil {
		wire.WriteInvalid(writer, err)
		return
	}
	current := handler.CurrentView.Current(httpRequest.Context())
	if reason := current.UnreadyReason(); reason != "" {
		wire.WriteRefusal(writer, http.StatusServiceUnavailable, reason, api.UnreadyRetryAfter)
		return
	}
	request, err := NewRequest(current, query, start)
	if err != nil {
		wire.WriteInvalid(writer, err)
		return
	}
	answer := handler.answer(httpRequest.Context(), request)
	label := request.Scope.Tenant + "." + request.Scope.Class
	handler.Metrics.ObserveRequest(label, "query", string(answer.Outcome), time.Since(start))
	wire.WriteAnswer(writer, answer)
}

// NewRequest returns the request that runs query on the scope and selection that
// current has for it. It returns an *api.InvalidError if the scope does not exist
// or the kind is not configured for queries. The deadline is relative to start.
func NewRequest(current *view.View, query api.Query, start time.Time) (upstream.Request, error) {
	scope, isKnown := current.Scopes[query.Scope]
	if !isKnown {
		return upstream.Request{}, &api.InvalidError{Field: "scope", Value: query.Scope, Allowed: "a configured scope"}
	}
	selection, isKnown := scope.Selections[query.Kind]
	if !isKnown || selection.IsCommand {
		return upstream.Request{}, &api.InvalidError{Field: "kind", Value: query.Kind, Allowed: "a kind that the scope configures for queries"}
	}
	return upstream.Request{
		View:      current,
		Scope:     scope.Scope,
		Selection: selection,
		Query:     query,
		Deadline:  start.Add(query.Deadline),
	}, nil
}

// answer runs a request that covers any shard and is admitted. Otherwise it
// returns an empty answer or the refusal.
func (handler *Handler[A]) answer(ctx context.Context, request upstream.Request) api.Answer {
	if len(request.Selection.Shards) == 0 {
		return emptyAnswer(request)
	}
	admissionrequest := AdmissionRequest{Scope: request.Scope, Selection: request.Selection, Deadline: request.Deadline}
	if refusal := handler.Admission.Admit(admissionrequest); refusal != nil {
		handler.Metrics.AddLabelled("queries.refused.", request.Scope.Class, 1)
		return api.Answer{Outcome: api.OutcomeNotRun, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
	}
	return handler.Run(ctx, request)
}

// emptyAnswer returns the answer to a request that covers no shard.
func emptyAnswer(request upstream.Request) api.Answer {
	coverage := api.Coverage{Note: "the selector of kind " + request.Query.Kind + " covers no shard"}
	return api.Answer{Outcome: api.OutcomeDone, Coverage: coverage}
}

func (handler *Handler[A]) getInstances(writer http.ResponseWriter, _ *http.Request) {
	current := handler.CurrentView.Load()
	wire.WriteJSON(writer, http.StatusOK, Locate(current, handler.KeepTime))
}
