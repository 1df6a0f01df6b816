package instance

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

const (
	// defaultTimeout bounds a request that names no deadline on a route that
	// has no timeout. Ten seconds outlasts the longest work of the users.
	defaultTimeout = 10 * time.Second
	// answerMargin is what is kept of a caller's deadline for the way of the
	// answer.
	answerMargin = 15 * time.Millisecond
	// coldRetry is when a caller may come back that met an instance without a
	// configuration.
	coldRetry = 300 * time.Millisecond
)

// serveCall answers one call.
type serveCall func(ctx context.Context, call view.Call) api.Answer

// relay serves requests of the callers' own form: it finds the scope of each
// by host and path and hands it to the query side or the command side.
type relay struct {
	names     *wire.HeaderNames
	published *view.PublishedView
	metrics   *metrics.Metrics
	query     serveCall
	command   serveCall
	log       *requestLog
}

// ServeHTTP answers one request.
func (relay *relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	start := time.Now()
	relayed, err := wire.DecodeRelayedRequest(relay.names, request, relay.published.Load().Limits.MaxBodyBytes)
	if err != nil {
		refuseInvalid(writer, request, err)
		return
	}
	current := relay.published.Current(request.Context())
	if current.Routes == nil {
		wire.WriteRelayedRefusal(writer, http.StatusServiceUnavailable, "no configuration yet", coldRetry)
		return
	}
	target, isKnown := current.Routes.Find(relayed.Host, relayed.Path)
	if !isKnown {
		relay.log.takeUnrouted(current, relayed)
		wire.WriteRelayedRefusal(writer, http.StatusNotFound, "no route for "+relayed.Host+relayed.Path, 0)
		return
	}
	scope := current.Scopes[target.Scope]
	call := view.Call{View: current, Scope: scope, Kind: target.Kind, RelayedRequest: relayed, Start: start}
	call.RoundTrip, _ = request.Context().Value(roundTripKey{}).(time.Duration)
	call.Deadline = start.Add(timeLeft(scope.Scope, relayed))
	call.Trace = trace.New(start)
	call.Trace.Add(trace.RequestRouted, "", "", scope.Scope.Name)
	answer := relay.answer(request.Context(), call)
	if request.Context().Err() != nil {
		call.Trace.Add(trace.CallerDisconnected, "", "", "")
	}
	label := scope.Scope.Tenant + "." + scope.Scope.Class
	relay.metrics.ObserveRequest(label, "relayed", string(answer.Outcome), time.Since(start))
	wire.WriteRelayedAnswer(relay.names, writer, answer)
	relay.log.take(call, answer)
}

func (relay *relay) answer(ctx context.Context, call view.Call) api.Answer {
	if call.Scope.Scope.IsCommand {
		return relay.command(ctx, call)
	}
	return relay.query(ctx, call)
}

// roundTripKey is the key of a connection's round trip time in the context of
// its requests.
type roundTripKey struct{}

// withRoundTrip adds the round trip time of conn to the context of its
// requests.
func withRoundTrip(ctx context.Context, conn net.Conn) context.Context {
	roundTrip, isKnown := wire.RoundTripTime(conn)
	if !isKnown {
		return ctx
	}
	return context.WithValue(ctx, roundTripKey{}, roundTrip)
}

// timeLeft returns how long a request may take: what its caller waits, within
// the scope's timeout.
func timeLeft(scope api.Scope, relayed *api.RelayedRequest) time.Duration {
	left := defaultTimeout
	if scope.Timeout.Duration > 0 {
		left = scope.Timeout.Duration
	}
	if relayed.Deadline > 0 {
		left = min(left, relayed.Deadline-answerMargin)
	}
	return left
}

func refuseInvalid(writer http.ResponseWriter, request *http.Request, err error) {
	var tooLarge *wire.TooLargeError
	var invalid *api.InvalidError
	switch {
	case errors.As(err, &tooLarge):
		wire.WriteRelayedRefusal(writer, http.StatusRequestEntityTooLarge, err.Error(), 0)
	case errors.As(err, &invalid):
		wire.WriteRelayedRefusal(writer, http.StatusBadRequest, err.Error(), 0)
	case request.Context().Err() == nil:
		wire.WriteRelayedRefusal(writer, http.StatusBadRequest, "the body could not be read", 0)
	}
}
