package instance

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
	"github.com/mimosaspring/mimosaspring/internal/wire/tcp"
)

const (
	// defaultTimeout bounds a request without a deadline whose scope has no timeout.
	// It is longer than the longest request of any user.
	defaultTimeout = 10 * time.Second
	// answerMargin is the part of a caller's deadline that is reserved for sending
	// the answer back.
	answerMargin = 15 * time.Millisecond
)

// serveCall answers one request of the relay protocol.
type serveCall func(ctx context.Context, call view.Call) api.Answer

// relay serves requests of the relay protocol, which are in the callers' own format.
// It selects a request's scope by the host and path, and passes the request to the
// query side or the command side.
type relay struct {
	headers       *wire.HeaderNames
	publishedView *view.PublishedView
	metrics       *metrics.Metrics
	serveQuery    serveCall
	serveCommand  serveCall
	requestLog    *requestLog
	// drainEnd returns when a stopping instance cancels its requests, or nil.
	drainEnd func() *time.Time
}

// ServeHTTP answers one request of a caller.
func (relay *relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	start := time.Now()
	relayedRequest, err := wire.DecodeRelayedRequest(relay.headers, request, relay.publishedView.Load().Limits.MaxBodyBytes)
	if err != nil {
		wire.WriteRelayedInvalid(writer, request, err)
		return
	}
	current := relay.publishedView.Current(request.Context())
	if reason := current.UnreadyReason(); reason != "" || current.Routes == nil {
		reason = cmp.Or(reason, api.ReasonUnconfigured)
		wire.WriteRelayedRefusal(writer, http.StatusServiceUnavailable, reason, api.UnreadyRetryAfter)
		return
	}
	routeTarget, isKnown := current.Routes.Find(relayedRequest.Host, relayedRequest.Path)
	if !isKnown {
		relay.requestLog.logUnrouted(current, relayedRequest)
		wire.WriteRelayedRefusal(writer, http.StatusNotFound, "no route for "+relayedRequest.Host+relayedRequest.Path, 0)
		return
	}
	scope := current.Scopes[routeTarget.Scope]
	call := view.Call{View: current, Scope: scope, Kind: routeTarget.Kind, RelayedRequest: relayedRequest, Start: start}
	call.RoundTrip, _ = request.Context().Value(roundTripKey{}).(time.Duration)
	call.Deadline = start.Add(requestTimeout(scope.Scope, relayedRequest))
	call.Trace = trace.New(start)
	call.Trace.Add(trace.RequestRouted, "", "", scope.Scope.Name)
	answer := relay.answerBefore(request.Context(), call, relay.drainEnd())
	if request.Context().Err() != nil {
		call.Trace.Add(trace.CallerDisconnected, "", "", "")
	}
	label := scope.Scope.Tenant + "." + scope.Scope.Class
	relay.metrics.ObserveRequest(label, "relayed", string(answer.Outcome), time.Since(start))
	wire.WriteRelayedAnswer(relay.headers, writer, answer)
	relay.requestLog.logAnswer(call, answer)
}

const (
	// stoppingRetryAfter is the wait that a stopping instance asks of the callers
	// that it refuses. The other instances can serve them at once.
	stoppingRetryAfter = 10 * time.Millisecond
	// drainTargets is how many times the target latency of an idempotent request
	// must be left until the end of the drain for the request to be taken.
	drainTargets = 2
)

// answerBefore answers call, or refuses it if the instance stops and the answer may
// not be ready at drainEnd. A nil drainEnd is never reached.
func (relay *relay) answerBefore(ctx context.Context, call view.Call, drainEnd *time.Time) api.Answer {
	if drainEnd == nil {
		return relay.answer(ctx, call)
	}
	end := drainEnd.Add(-answerMargin)
	if call.Start.Add(longestRun(call)).After(end) {
		reason := "the instance stops"
		call.Trace.Add(trace.RequestRefused, "", "", reason)
		return api.Answer{Outcome: api.OutcomeNotRun, Reason: reason, RetryAfter: stoppingRetryAfter, IsProvenNotRun: true}
	}
	if end.Before(call.Deadline) {
		call.Deadline = end
	}
	return relay.answer(ctx, call)
}

// longestRun returns how long a call may run. A command may take all of its time,
// because its outcome would be unknown if it was cancelled.
func longestRun(call view.Call) time.Duration {
	timeout := call.Deadline.Sub(call.Start)
	targetLatency := call.Scope.Scope.TargetLatency.Duration
	if call.Scope.Scope.IsCommand || targetLatency <= 0 {
		return timeout
	}
	return min(timeout, drainTargets*targetLatency)
}

// answer runs call on the command side or the query side of its scope.
func (relay *relay) answer(ctx context.Context, call view.Call) api.Answer {
	if call.Scope.Scope.IsCommand {
		return relay.serveCommand(ctx, call)
	}
	return relay.serveQuery(ctx, call)
}

// roundTripKey is the context key for the round-trip time of a request's
// connection.
type roundTripKey struct{}

// withConn adds conn, if it is guarded, and its round-trip time, if it is known, to ctx,
// the base context of the connection's requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	ctx = tcp.NewContext(ctx, conn)
	if guarded := tcp.FromContext(ctx); guarded != nil {
		conn = guarded.Inner()
	}
	roundTrip, isKnown := wire.RoundTripTime(conn)
	if !isKnown {
		return ctx
	}
	return context.WithValue(ctx, roundTripKey{}, roundTrip)
}

// requestTimeout returns how long a request may take: the scope's timeout, or
// defaultTimeout if it has none, but not longer than the caller's deadline less
// answerMargin. It is negative if the caller's deadline is shorter than answerMargin.
func requestTimeout(scope api.Scope, relayedRequest *api.RelayedRequest) time.Duration {
	timeout := defaultTimeout
	if scope.Timeout.Duration > 0 {
		timeout = scope.Timeout.Duration
	}
	if relayedRequest.Deadline > 0 {
		timeout = min(timeout, relayedRequest.Deadline-answerMargin)
	}
	return timeout
}
