package api

import (
	"encoding/json"
	"time"
)

// Limits of a caller's request.
const (
	MaxRequestBytes = 64 << 10
	MaxDeadline     = 60 * time.Second
)

// Outcome states whether a request was executed.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeDone means that the request was executed and the answer is complete.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no replica executed the request.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that a replica may have executed the request.
	OutcomeUnknown Outcome = "unknown"
)

// The refusal of a request by an instance that has not received the whole
// configuration yet and cannot tell an unknown scope from one that it lacks.
const (
	ReasonUnconfigured = "no configuration yet"
	UnreadyRetryAfter  = 300 * time.Millisecond
)

// Query is an idempotent request that is sent to every selected shard.
type Query struct {
	Scope    string
	Kind     string
	Text     string
	Deadline time.Duration
}

// Command is a non-idempotent request to one shard.
type Command struct {
	Scope string `cbor:"1,keyasint"`
	Kind  string `cbor:"2,keyasint"`
	Shard string `cbor:"3,keyasint,omitempty"`
	// Key is the idempotency key; empty where the caller sends none.
	Key      string        `cbor:"4,keyasint,omitempty"`
	Body     []byte        `cbor:"5,keyasint,omitempty"`
	Deadline time.Duration `cbor:"6,keyasint"`
}

// MissingReason states why an answer does not include a selected shard.
type MissingReason string

// The reasons for which a shard may be missing.
const (
	MissingNoReplica    MissingReason = "noReplica"
	MissingDeadline     MissingReason = "deadline"
	MissingRefused      MissingReason = "refused"
	MissingFailed       MissingReason = "failed"
	MissingSnapshotGone MissingReason = "snapshotGone"
	MissingMoved        MissingReason = "moved"
)

// MissingShard names a selected shard that an answer does not include.
type MissingShard struct {
	Shard  string        `json:"shard"`
	Reason MissingReason `json:"reason"`
	// RetryAfter is how long all replicas of the shard want no requests; 0 if that
	// is not the reason why the shard is missing.
	RetryAfter time.Duration `json:"-" cbor:"RetryAfter,omitempty"`
}

// Coverage states how many of the selected shards an answer includes, and
// which it does not.
type Coverage struct {
	SelectedCount int            `json:"selected"`
	IncludedCount int            `json:"included"`
	MissingShards []MissingShard `json:"missing,omitempty"`
	// Note explains the numbers where they could be misread; otherwise empty.
	Note string `json:"note,omitempty"`
}

// Ratio returns the fraction of the selected shards that the answer includes,
// 0 to 1. It returns 0 if no shard is selected.
func (coverage Coverage) Ratio() float64 {
	if coverage.SelectedCount == 0 {
		return 0
	}
	return float64(coverage.IncludedCount) / float64(coverage.SelectedCount)
}

// Part is the contribution of one shard to an answer.
type Part struct {
	Shard    string          `json:"shard"`
	Snapshot uint64          `json:"-"`
	Epoch    uint64          `json:"-"`
	Body     json.RawMessage `json:"body"`
	// Signature proves which replica returned the part.
	Signature string `json:"-"`
	// Response is the replica's answer to a relayed request, which has a single
	// part.
	Response *Response `json:"-"`
}

// Answer is the reply to a query.
type Answer struct {
	Outcome  Outcome  `json:"outcome"`
	Reason   string   `json:"reason,omitempty"`
	Snapshot uint64   `json:"snapshot"`
	Coverage Coverage `json:"coverage"`
	Parts    []Part   `json:"parts,omitempty"`
	// Records holds the greatest records of a merged answer in descending order.
	Records []byte `json:"records,omitempty"`
	// Signatures holds the signatures of the parts that Records was merged from.
	Signatures []string `json:"signatures,omitempty"`
	// Response is the replica's answer to a relayed request.
	Response *Response `json:"-"`
	// SentRequests is the number of requests that the query sent to replicas.
	SentRequests int `json:"sentRequests"`
	// IsProvenNotRun is set if it is proven for every attempt that no replica
	// executed it.
	IsProvenNotRun bool `json:"-"`
	// IsDeadlineExceeded is set if the deadline ended the request.
	IsDeadlineExceeded bool `json:"-"`
	// RetryAfter is set on refusals: how long the caller should wait before it
	// sends the request again.
	RetryAfter time.Duration `json:"-"`
}

// Result is the reply to a command.
type Result struct {
	Outcome Outcome         `json:"outcome" cbor:"1,keyasint"`
	Reason  string          `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
	Shard   string          `json:"shard,omitempty" cbor:"3,keyasint,omitempty"`
	Body    json.RawMessage `json:"body,omitempty" cbor:"4,keyasint,omitempty"`
	// IsInvalid is set if the request is malformed, so that a retry of the same
	// request cannot succeed.
	IsInvalid bool `json:"-" cbor:"5,keyasint,omitempty"`
	// Field names the invalid field of the request.
	Field string `json:"field,omitempty" cbor:"6,keyasint,omitempty"`
	// RetryAfter is set on refusals of requests that may be sent again: how long
	// the caller should wait before it does.
	RetryAfter time.Duration `json:"-" cbor:"7,keyasint,omitempty"`
}

// IssuedKey is an idempotency key with its expiry time.
type IssuedKey struct {
	Key       string    `json:"key"`
	ExpiresAt time.Time `json:"expires"`
}

// Address describes one instance to which callers may send requests.
type Address struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// Weight is the share of requests to send to the instance, relative to the
	// weights of the other instances.
	Weight int `json:"weight"`
}

// Addresses lists the instances that a caller should use.
type Addresses struct {
	Instances []Address `json:"instances"`
	// KeepMillis is how long the caller should use the list before it asks
	// again, in milliseconds.
	KeepMillis int64 `json:"keepMillis"`
}
