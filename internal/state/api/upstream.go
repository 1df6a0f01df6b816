package api

import (
	"time"

	"github.com/pkg/errors"
)

// ErrAnswered cancels the attempts that a query was answered without.
var ErrAnswered = errors.New("the query was answered without this attempt")

// The protocols that replicas speak.
const (
	ProtocolHTTP2 = "http2"
	ProtocolHTTP1 = "http1"
	// ProtocolRelay passes a caller's request whole, over HTTP/1.1.
	ProtocolRelay = "relay"
)

// Attempt is one request to one replica.
type Attempt struct {
	// Identity is unique to the attempt; replies are matched by it.
	Identity  string
	Shard     string
	Kind      string
	IsCommand bool
	Snapshot  uint64
	Epoch     uint64
	// Deadline is when the caller gives up, as the sender knows it.
	Deadline time.Time
	// TargetTime is when the answer is worth most; zero where there is no such
	// time. Attempts past it wait behind others.
	TargetTime time.Time
	// Rank orders attempts that wait where too many do. It is the same for all
	// shards of a query.
	Rank uint32
	// Timeout is what was left until then when the attempt was sent, as the
	// replica reads it.
	Timeout time.Duration
	Body    []byte
	// RelayedRequest is the caller's request where it is passed whole.
	RelayedRequest *RelayedRequest
	// Replica names the replica that may run the attempt; another one at the
	// same address refuses it.
	Replica string
}

// ReplyStatus is a replica's verdict on an attempt.
type ReplyStatus string

// The verdicts of a replica.
const (
	ReplyDone         ReplyStatus = "done"
	ReplyShed         ReplyStatus = "shed"
	ReplyLeaving      ReplyStatus = "leaving"
	ReplyCold         ReplyStatus = "cold"
	ReplySnapshotGone ReplyStatus = "snapshotGone"
	ReplyMoved        ReplyStatus = "moved"
	// ReplyWrongReplica says that another replica has the address.
	ReplyWrongReplica ReplyStatus = "elsewhere"
	ReplyFailed       ReplyStatus = "failed"
)

// IsNotRun reports whether the verdict proves that the attempt did not run.
func (replystatus ReplyStatus) IsNotRun() bool {
	switch replystatus {
	case ReplyShed, ReplyLeaving, ReplyCold, ReplySnapshotGone, ReplyMoved, ReplyWrongReplica:
		return true
	}
	return false
}

// Reply is what a replica answers to an attempt.
type Reply struct {
	Status   ReplyStatus
	Identity string
	Snapshot uint64
	Epoch    uint64
	// HeldSnapshots lists the snapshots that the replica holds.
	HeldSnapshots []uint64
	// IsLeaving is set when the replica is draining.
	IsLeaving bool
	// Load is the replica's count of running and queued requests.
	Load int
	// Slowdown is how long work takes at the replica at this moment, as a multiple
	// of the usual; 0 where the reply does not say.
	Slowdown float64
	// IsLoadKnown is set where the reply states Load.
	IsLoadKnown bool
	Body        []byte
	// Signature proves which replica gave a relayed answer.
	Signature string
	// Response is the replica's answer to a relayed request as it was read.
	Response *Response
}

// ReplicaHealth is what a replica's health endpoint reports. It lags.
type ReplicaHealth struct {
	IsLeaving     bool     `json:"leaving"`
	IsCold        bool     `json:"cold"`
	InFlight      int      `json:"inFlight"`
	Queued        int      `json:"queued"`
	HeldSnapshots []uint64 `json:"held"`
}
