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
	// tracedPerSecond bounds the requests whose decisions are logged, and
	// tracedBurst how many may come at once. Each has up to some dozens of
	// lines.
	tracedPerSecond = 10
	tracedBurst     = 20
	// sampledIn is in how many sound requests one is logged with its decisions.
	sampledIn = 200
	// summaryInterval is the time between two lines that count the requests.
	summaryInterval = 5 * time.Second
)

// requestLog logs the decisions about requests that failed, were refused or
// late, and of a sample of the others. It counts the rest.
type requestLog struct {
	logger *zap.Logger

	mutex   sync.Mutex
	tokens  float64
	filled  time.Time
	summary summary
	since   time.Time
}

// summary counts the requests since the last line that told them.
type summary struct {
	done, late, refused, failed int
	// unlogged counts those that were worth a log line beyond the bound.
	unlogged int
}

func newRequestLog(logger *zap.Logger) *requestLog {
	now := time.Now()
	return &requestLog{logger: logger, tokens: tracedBurst, filled: now, since: now}
}

// take notes an answered call.
func (requestlog *requestLog) take(call view.Call, answer api.Answer) {
	took := time.Since(call.Start)
	target := call.Scope.Scope.TargetLatency.Duration
	isLate := target > 0 && took > target
	isPlain := answer.Outcome == api.OutcomeDone && !isLate && rand.N(sampledIn) > 0
	if !requestlog.count(answer, isLate, isPlain) {
		return
	}
	fields := []zap.Field{
		zap.String("request", call.RelayedRequest.Identity),
		zap.String("scope", call.Scope.Scope.Name),
		zap.String("outcome", string(answer.Outcome)),
		zap.Bool("isLate", isLate),
		zap.Duration("took", took),
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

// takeUnrouted notes a request that no route is for.
func (requestlog *requestLog) takeUnrouted(current *view.View, relayed *api.RelayedRequest) {
	if !requestlog.mayTrace() {
		return
	}
	requestlog.logger.Info("no route for the request", zap.String("request", relayed.Identity),
		zap.String("host", relayed.Host), zap.String("path", relayed.Path), zap.Uint64("view", current.Number),
		zap.Int("routes", len(current.Routes)), zap.Duration("platformAge", ageOf(current.PlatformAnsweredAt)))
}

// takeCell notes a query that was answered for a peer, where a shard of it was
// given up.
func (requestlog *requestLog) takeCell(query api.HomeQuery, decided *trace.Trace) {
	events, _ := decided.Events()
	isGivenUp := slices.ContainsFunc(events, func(event trace.Event) bool { return event.Kind == trace.ShardOmitted })
	if isGivenUp && requestlog.mayTrace() {
		logEvents(requestlog.logger, query.RelayedRequest.Identity, decided)
	}
}

func ageOf(at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return time.Since(at)
}

func logEvents(logger *zap.Logger, identity string, decided *trace.Trace) {
	events, dropped := decided.Events()
	for _, event := range events {
		fields := []zap.Field{zap.String("request", identity), zap.Duration("after", event.Elapsed)}
		for name, text := range map[string]string{"shard": event.Shard, "peer": event.Peer, "detail": event.Detail} {
			if text != "" {
				fields = append(fields, zap.String(name, text))
			}
		}
		logger.Info(string(event.Kind), fields...)
	}
	if dropped > 0 {
		logger.Info("more decisions were taken", zap.String("request", identity), zap.Int("count", dropped))
	}
}

// count counts a request and reports whether its decisions are logged. It
// tells the counts once in summaryInterval.
func (requestlog *requestLog) count(answer api.Answer, isLate, isPlain bool) bool {
	requestlog.mutex.Lock()
	defer requestlog.mutex.Unlock()
	summary := &requestlog.summary
	switch {
	case answer.Outcome == api.OutcomeDone && isLate:
		summary.late++
	case answer.Outcome == api.OutcomeDone:
		summary.done++
	case answer.IsProvenNotRun:
		summary.refused++
	default:
		summary.failed++
	}
	requestlog.tell()
	if isPlain {
		return false
	}
	if !requestlog.spend() {
		summary.unlogged++
		return false
	}
	return true
}

func (requestlog *requestLog) mayTrace() bool {
	requestlog.mutex.Lock()
	defer requestlog.mutex.Unlock()
	return requestlog.spend()
}

// spend takes one token; the caller holds the mutex.
func (requestlog *requestLog) spend() bool {
	now := time.Now()
	requestlog.tokens = min(requestlog.tokens+tracedPerSecond*now.Sub(requestlog.filled).Seconds(), tracedBurst)
	requestlog.filled = now
	if requestlog.tokens < 1 {
		return false
	}
	requestlog.tokens--
	return true
}

// tell logs the counts when they are due; the caller holds the mutex.
func (requestlog *requestLog) tell() {
	now := time.Now()
	if now.Sub(requestlog.since) < summaryInterval {
		return
	}
	counted := requestlog.summary
	requestlog.logger.Info("requests counted",
		zap.Duration("within", now.Sub(requestlog.since)),
		zap.Int("done", counted.done), zap.Int("late", counted.late),
		zap.Int("refused", counted.refused), zap.Int("failed", counted.failed),
		zap.Int("notLogged", counted.unlogged))
	requestlog.summary = summary{}
	requestlog.since = now
}
