package instance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// maxTracesPerSecond and maxTraceBurst are the rate and the size of the token
	// bucket that limits how many requests are logged with their decisions. Each of
	// these requests takes up to a few dozen lines.
	maxTracesPerSecond = 10
	maxTraceBurst      = 20
	// samplingInterval is the average number of requests answered in time for each
	// one that is logged with its decisions.
	samplingInterval = 200
	// summaryInterval is the minimum time between two lines with request counts.
	summaryInterval = 5 * time.Second
)

// requestLog logs the decisions about requests that failed, were refused or were
// late, and about a sample of the others. It counts all requests and logs the
// counts periodically. It is safe for concurrent use.
type requestLog struct {
	logger *zap.Logger

	// mutex guards the fields below.
	mutex sync.Mutex
	// tokens is the number of requests that may be logged now with their
	// decisions, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// summary counts the requests since summaryStart.
	summary      summary
	summaryStart time.Time
}

// summary counts the requests since the last line with counts.
type summary struct {
	doneCount, lateCount, refusedCount, failedCount int
	// unloggedCount counts the requests that were to be logged with their
	// decisions but exceeded the rate limit.
	unloggedCount int
}

func newRequestLog(logger *zap.Logger) *requestLog {
	now := time.Now()
	return &requestLog{logger: logger, tokens: maxTraceBurst, refilledAt: now, summaryStart: now}
}

// logAnswer counts an answered call. If the call failed, was refused, was late or is
// sampled, it also logs the call with its decisions, as far as the rate limit allows.
func (requestlog *requestLog) logAnswer(call view.Call, answer api.Answer) {
	duration := time.Since(call.Start)
	targetLatency := call.Scope.Scope.TargetLatency.Duration
	isLate := targetLatency > 0 && duration > targetLatency
	isUnremarkable := answer.Outcome == api.OutcomeDone && !isLate && rand.N(samplingInterval) > 0
	if !requestlog.countRequest(answer, isLate, isUnremarkable) {
		return
	}
	fields := []zap.Field{
		zap.String("request", call.RelayedRequest.Identity),
		zap.String("scope", call.Scope.Scope.Name),
		zap.String("outcome", string(answer.Outcome)),
		zap.Bool("isLate", isLate),
		zap.Duration("took", duration),
		zap.Duration("callerTime", call.RelayedRequest.Deadline),
		zap.Int("included", answer.Coverage.IncludedCount),
		zap.Int("selected", answer.Coverage.SelectedCount),
		zap.Int("attempts", answer.SentRequests),
		zap.Uint64("view", call.View.Number),
		zap.Duration("platformAge", ageOf(call.View.PlatformAnsweredAt)),
	}
	if answer.Reason != "" {
		fields = append(fields, zap.String("reason", answer.Reason))
	}
	if answer.Response != nil {
		fields = append(fields, zap.Int("replicaStatus", answer.Response.StatusCode))
	}
	logEvents(requestlog.logger, call.RelayedRequest.Identity, call.Trace)
	requestlog.logger.Info("request answered", fields...)
}

// logUnrouted logs a request that no route matches, if the rate limit allows it.
func (requestlog *requestLog) logUnrouted(current *view.View, relayedRequest *api.RelayedRequest) {
	if !requestlog.allowTrace() {
		return
	}
	requestlog.logger.Info("no route for the request", zap.String("request", relayedRequest.Identity),
		zap.String("host", relayedRequest.Host), zap.String("path", relayedRequest.Path), zap.Uint64("view", current.Number),
		zap.Int("routes", len(current.Routes)), zap.Duration("platformAge", ageOf(current.PlatformAnsweredAt)))
}

// logPeerQuery logs the decisions about a peer's query that this instance answered,
// if a shard is missing from the answer and the rate limit allows it.
func (requestlog *requestLog) logPeerQuery(query api.HomeQuery, requestTrace *trace.Trace) {
	events, _ := requestTrace.Events()
	hasOmission := slices.ContainsFunc(events, func(event trace.Event) bool { return event.Kind == trace.ShardOmitted })
	if hasOmission && requestlog.allowTrace() {
		logEvents(requestlog.logger, query.RelayedRequest.Identity, requestTrace)
	}
}

// ageOf returns the time since at, or -1 ns if at is zero.
func ageOf(at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return time.Since(at)
}

// logEvents logs one line for each decision of requestTrace.
func logEvents(logger *zap.Logger, identity string, requestTrace *trace.Trace) {
	events, droppedCount := requestTrace.Events()
	for _, event := range events {
		fields := []zap.Field{zap.String("request", identity), zap.Duration("after", event.Elapsed)}
		for name, text := range map[string]string{"shard": event.Shard, "peer": event.Peer, "detail": event.Detail} {
			if text != "" {
				fields = append(fields, zap.String(name, text))
			}
		}
		logger.Info(string(event.Kind), fields...)
	}
	if droppedCount > 0 {
		logger.Info("more decisions were taken", zap.String("request", identity), zap.Int("count", droppedCount))
	}
}

// countRequest counts a request and reports whether to log it with its decisions. It
// also logs the counts if summaryInterval has passed since the last time.
func (requestlog *requestLog) countRequest(answer api.Answer, isLate, isUnremarkable bool) bool {
	requestlog.mutex.Lock()
	defer requestlog.mutex.Unlock()
	summary := &requestlog.summary
	switch {
	case answer.Outcome == api.OutcomeDone && isLate:
		summary.lateCount++
	case answer.Outcome == api.OutcomeDone:
		summary.doneCount++
	case answer.IsProvenNotRun:
		summary.refusedCount++
	default:
		summary.failedCount++
	}
	requestlog.logSummary()
	if isUnremarkable {
		return false
	}
	if !requestlog.takeToken() {
		summary.unloggedCount++
		return false
	}
	return true
}

// allowTrace takes a token and reports whether there was one.
func (requestlog *requestLog) allowTrace() bool {
	requestlog.mutex.Lock()
	defer requestlog.mutex.Unlock()
	return requestlog.takeToken()
}

// takeToken refills the token bucket, takes one token and reports whether there
// was one. The caller holds the mutex.
func (requestlog *requestLog) takeToken() bool {
	now := time.Now()
	requestlog.tokens = min(requestlog.tokens+maxTracesPerSecond*now.Sub(requestlog.refilledAt).Seconds(), maxTraceBurst)
	requestlog.refilledAt = now
	if requestlog.tokens < 1 {
		return false
	}
	requestlog.tokens--
	return true
}

// logSummary logs the counts and resets them, if summaryInterval has passed since it
// last did so. The caller holds the mutex.
func (requestlog *requestLog) logSummary() {
	now := time.Now()
	if now.Sub(requestlog.summaryStart) < summaryInterval {
		return
	}
	counts := requestlog.summary
	requestlog.logger.Info("requests counted",
		zap.Duration("within", now.Sub(requestlog.summaryStart)),
		zap.Int("done", counts.doneCount), zap.Int("late", counts.lateCount),
		zap.Int("refused", counts.refusedCount), zap.Int("failed", counts.failedCount),
		zap.Int("notLogged", counts.unloggedCount))
	requestlog.summary = summary{}
	requestlog.summaryStart = now
}
