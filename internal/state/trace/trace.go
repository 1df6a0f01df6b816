// Package trace collects the decisions that a request meets on its way, so
// that they can be logged once it is known to be worth it.
package trace

import (
	"sync"
	"time"
)

// mostEvents bounds the events of one request.
const mostEvents = 96

// Kind says what was decided.
type Kind string

// The decisions about a request.
const (
	// RequestRouted names the scope that the request's host and path led to.
	RequestRouted Kind = "routed"
	// RequestRefused says why the request was not taken.
	RequestRefused Kind = "refused"
	// HomeQueried names the home that was asked for some shards.
	HomeQueried Kind = "home asked"
	// HomeFailed names a home that failed, and why.
	HomeFailed Kind = "home passed over"
	// AttemptSent names the replica of an attempt.
	AttemptSent Kind = "attempt sent"
	// AttemptHedged names the replica of a second attempt beside one that waits.
	AttemptHedged Kind = "attempt hedged"
	// AttemptRetried names the replica of an attempt after one that failed.
	AttemptRetried Kind = "attempt repeated"
	// RetryBudgetExhausted says that the retry budget allowed no further attempt.
	RetryBudgetExhausted Kind = "retry budget spent"
	// AttemptFailed names the replica of an attempt that brought nothing, and why.
	AttemptFailed Kind = "attempt failed"
	// ShardOmitted names a shard that is missing, and why.
	ShardOmitted Kind = "shard given up"
	// CallerDisconnected says that the caller closed its connection before the answer.
	CallerDisconnected Kind = "caller left"
	// AnswerIncomplete says that the answer was due without the shards that are missing.
	AnswerIncomplete Kind = "answer cut off"
)

// Event is one decision.
type Event struct {
	Kind Kind
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	Shard   string
	// Peer names the replica or instance that the decision is about.
	Peer   string
	Detail string
}

// Trace holds the decisions about one request. It is safe for concurrent use;
// a nil Trace takes nothing.
type Trace struct {
	start   time.Time
	mutex   sync.Mutex
	events  []Event
	dropped int
}

// New returns an empty trace of a request that arrived at start.
func New(start time.Time) *Trace { return &Trace{start: start} }

// Add notes a decision that was taken now.
func (trace *Trace) Add(kind Kind, shard, peer, detail string) {
	if trace == nil {
		return
	}
	after := time.Since(trace.start)
	trace.mutex.Lock()
	defer trace.mutex.Unlock()
	if len(trace.events) >= mostEvents {
		trace.dropped++
		return
	}
	trace.events = append(trace.events, Event{Kind: kind, Elapsed: after, Shard: shard, Peer: peer, Detail: detail})
}

// Events returns the decisions in their order, and how many more there were.
func (trace *Trace) Events() ([]Event, int) {
	if trace == nil {
		return nil, 0
	}
	trace.mutex.Lock()
	defer trace.mutex.Unlock()
	return append([]Event(nil), trace.events...), trace.dropped
}
