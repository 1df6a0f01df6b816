package api

import (
	"time"

	"github.com/pkg/errors"
)

// ErrAnswered is the cancellation cause of attempts that are still running when
// their query is answered without them.
var ErrAnswered = errors.New("the query was answered without this attempt")

// The protocols that replicas speak.
const (
	ProtocolHTTP2 = "http2"
	ProtocolHTTP1 = "http1"
	// ProtocolRelay forwards a caller's request unchanged over HTTP/1.1.
	ProtocolRelay = "relay"
)

// Attempt is one request to one replica.
type Attempt struct {
	// Identity is unique to the attempt. A reply repeats it, so that the reply
	// can be matched to the attempt.
	Identity  string
	Shard     string
	Kind      string
	IsCommand bool
	Snapshot  uint64
	Epoch     uint64
	// Deadline is when the caller gives up, by the sender's clock.
	Deadline time.Time
	// TargetTime is the time by which the answer is wanted (see
	// Scope.TargetLatency); zero if the scope sets none. Attempts past their
	// target time wait behind the others.
	TargetTime time.Time
	// Priority is that of the request's scope. Attempts of a higher one may wait in
	// front of the others.
	Priority int
	// Rank orders the attempts that wait for a connection to the replica, lowest
	// first. It is the same for all shards of a query.
	Rank uint32
	// Timeout is the time that was left until Deadline when the attempt was
	// sent, as the replica reads it from the request.
	Timeout time.Duration
	Body    []byte
	// RelayedRequest is the caller's request if it is forwarded unchanged, and
	// nil otherwise.
	RelayedRequest *RelayedRequest
	// Replica names the replica that may execute the attempt; another one at
	// the same address refuses it.
	Replica string
	// Run counts the attempt among those that may have run. A link that knows when
	// the attempt is not sent yet removes it until it is.
	Run *AttemptRun
}

// ReplyStatus states what a replica did with an attempt.
type ReplyStatus string

// The statuses of a reply.
const (
	ReplyDone    ReplyStatus = "done"
	ReplyShed    ReplyStatus = "shed"
	ReplyLeaving ReplyStatus = "leaving"
	ReplyCold    ReplyStatus = "cold"
	// ReplySnapshotGone means that the replica does not hold Attempt.Snapshot.
	ReplySnapshotGone ReplyStatus = "snapshotGone"
	// ReplyMoved means that the replica does not serve Attempt.Shard in
	// Attempt.Epoch.
	ReplyMoved ReplyStatus = "moved"
	// ReplyWrongReplica means that the attempt reached a replica other than
	// Attempt.Replica, because the address was reassigned.
	ReplyWrongReplica ReplyStatus = "elsewhere"
	ReplyFailed       ReplyStatus = "failed"
)

// IsNotRun reports whether the status proves that the replica did not execute
// the attempt.
func (replystatus ReplyStatus) IsNotRun() bool {
	switch replystatus {
	case ReplyShed, ReplyLeaving, ReplyCold, ReplySnapshotGone, ReplyMoved, ReplyWrongReplica:
		return true
	}
	return false
}

// Reply is a replica's answer to an attempt.
type Reply struct {
	Status   ReplyStatus
	Identity string
	Snapshot uint64
	Epoch    uint64
	// HeldSnapshots lists the snapshots that the replica holds.
	HeldSnapshots []uint64
	// IsLeaving is set if the replica is draining.
	IsLeaving bool
	// RetryAfter is how long the replica asks this instance to send it nothing; 0
	// if it does not ask.
	RetryAfter time.Duration
	// ColdTimeLeft is how much longer the replica says that it is cold; 0 if it does
	// not say so.
	ColdTimeLeft time.Duration
	// Load is the number of requests that the replica runs or queues.
	Load int
	// Slowdown is how long the replica's work takes now, as a multiple of the
	// usual time; 0 if the reply does not state it.
	Slowdown float64
	// IsLoadKnown is set if the reply states Load.
	IsLoadKnown bool
	Body        []byte
	// Signature proves which replica gave a relayed answer.
	Signature string
	// Response is the replica's answer to a relayed request as it was read.
	Response *Response
	// Exchange names the exchange of a relayed attempt that was not done: the local
	// address of its connection, a slash and the number of the exchange on it.
	Exchange string
}

// Summary describes the reply for logs.
func (reply Reply) Summary() string {
	if reply.Exchange == "" {
		return "the replica answered " + string(reply.Status)
	}
	return "the replica answered " + string(reply.Status) + " (" + reply.Exchange + ")"
}

// ReplicaHealth is what a replica's health endpoint reports. The report lags
// behind the replica's actual state.
type ReplicaHealth struct {
	IsLeaving     bool     `json:"leaving"`
	IsCold        bool     `json:"cold"`
	InFlight      int      `json:"inFlight"`
	Queued        int      `json:"queued"`
	HeldSnapshots []uint64 `json:"held"`
}
