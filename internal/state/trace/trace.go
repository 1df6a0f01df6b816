// Package trace records the decisions made while a request is handled, so that
// they can be logged later if the outcome warrants it.
package trace

import (
	"sync"
	"time"
)

// maxEvents is the maximum number of events kept for one request.
const maxEvents = 96

// Kind is the type of a decision. Its value is the message that is logged.
type Kind string

// The kinds of decisions about a request.
const (
	// RequestRouted records the scope selected by the request's host and path.
	RequestRouted Kind = "routed"
	// RequestRefused records why the request was not admitted.
	RequestRefused Kind = "refused"
	// HomeQueried records that a home instance was sent a query for some shards.
	HomeQueried Kind = "home asked"
	// HomeFailed records that a home instance failed to answer, and why.
	HomeFailed Kind = "home passed over"
	// AttemptSent records the replica to which an attempt was sent.
	AttemptSent Kind = "attempt sent"
	// AttemptQueued records how long an attempt waited for a connection to the replica,
	// and behind how many others.
	AttemptQueued Kind = "attempt waited"
	// AttemptHedged records the replica to which a second attempt was sent while
	// the first was still in flight.
	AttemptHedged Kind = "attempt hedged"
	// AttemptRetried records the replica to which an attempt was sent after
	// another attempt had failed.
	AttemptRetried Kind = "attempt repeated"
	// RetryBudgetExhausted records that the retry budget did not allow a further
	// attempt.
	RetryBudgetExhausted Kind = "retry budget spent"
	// AttemptFailed records the replica whose attempt gave no usable response,
	// and why.
	AttemptFailed Kind = "attempt failed"
	// ShardOmitted records a shard that is missing from the answer, and why.
	ShardOmitted Kind = "shard given up"
	// CallerDisconnected records that the caller closed its connection before it
	// got an answer.
	CallerDisconnected Kind = "caller left"
	// AnswerIncomplete records that the answer was due and was sent without the
	// shards that were still missing.
	AnswerIncomplete Kind = "answer cut off"
)

// Event is one decision about a request.
type Event struct {
	Kind Kind
	// Elapsed is the time from the request's arrival to the decision.
	Elapsed time.Duration
	// Shard names the shard concerned, or is empty.
	Shard string
	// Peer names the replica or instance concerned, or is empty.
	Peer string
	// Detail gives the reason or other particulars, or is empty.
	Detail string
}

// Trace records the decisions about one request. It is safe for concurrent use.
// The methods of a nil Trace do nothing.
type Trace struct {
	start time.Time
	// mutex guards events and dropped.
	mutex  sync.Mutex
	events []Event
	// dropped counts the events beyond maxEvents.
	dropped int
}

// New returns an empty trace of a request that arrived at start.
func New(start time.Time) *Trace { return &Trace{start: start} }

// Add records a decision with the current time. Once the trace holds maxEvents
// events, further ones are only counted.
func (trace *Trace) Add(kind Kind, shard, peer, detail string) {
	if trace == nil {
		return
	}
	elapsed := time.Since(trace.start)
	trace.mutex.Lock()
	defer trace.mutex.Unlock()
	if len(trace.events) >= maxEvents {
		trace.dropped++
		return
	}
	trace.events = append(trace.events, Event{Kind: kind, Elapsed: elapsed, Shard: shard, Peer: peer, Detail: detail})
}

// Events returns a copy of the recorded events in the order in which they were
// added, and the number of events that were dropped.
func (trace *Trace) Events() ([]Event, int) {
	if trace == nil {
		return nil, 0
	}
	trace.mutex.Lock()
	defer trace.mutex.Unlock()
	return append([]Event(nil), trace.events...), trace.dropped
}
