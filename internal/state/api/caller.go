package api

import (
	"encoding/json"
	"time"
)

// Bounds of what a caller may send.
const (
	MaxRequestBytes = 64 << 10
	MaxDeadline     = 60 * time.Second
)

// Outcome says what became of a request.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeDone means that the request ran and the answer is whole.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request ran nowhere.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Query is an idempotent request that covers every selected shard.
type Query struct {
	Scope    string
	Kind     string
	Text     string
	Deadline time.Duration
}

// Command is a non-idempotent request to one shard.
type Command struct {
	Scope    string        `cbor:"1,keyasint"`
	Kind     string        `cbor:"2,keyasint"`
	Shard    string        `cbor:"3,keyasint,omitempty"`
	Key      string        `cbor:"4,keyasint,omitempty"`
	Body     []byte        `cbor:"5,keyasint,omitempty"`
	Deadline time.Duration `cbor:"6,keyasint"`
}

// MissingReason says why a selected shard is not in an answer.
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
}

// Coverage states which of the selected shards an answer includes.
type Coverage struct {
	Selected int       `json:"selected"`
	Included int       `json:"included"`
	Missing  []MissingShard `json:"missing,omitempty"`
	// Note is set where the numbers alone would mislead.
	Note string `json:"note,omitempty"`
}

// Ratio returns the included share of the selected shards, 0 where none is
// selected.
func (coverage Coverage) Ratio() float64 {
	if coverage.Selected == 0 {
		return 0
	}
	return float64(coverage.Included) / float64(coverage.Selected)
}

// Part is one shard's share of an answer.
type Part struct {
	Shard    string          `json:"shard"`
	Snapshot uint64          `json:"-"`
	Epoch    uint64          `json:"-"`
	Body     json.RawMessage `json:"body"`
	// Signature proves which replica gave the part.
	Signature string `json:"-"`
	// Response is the answer that a relayed part stands for.
	Response *Response `json:"-"`
}

// Answer is the reply to a query.
type Answer struct {
	Outcome  Outcome  `json:"outcome"`
	Reason   string   `json:"reason,omitempty"`
	Snapshot uint64   `json:"snapshot"`
	Coverage Coverage `json:"coverage"`
	Parts    []Part   `json:"parts,omitempty"`
	// Records holds the greatest records of a merged answer, greatest first.
	Records []byte `json:"records,omitempty"`
	// Signatures holds those of the parts that Records was merged from.
	Signatures []string `json:"signatures,omitempty"`
	// Response is the replica's answer to a relayed request.
	Response *Response `json:"-"`
	// SentRequests is how many requests the query sent to replicas.
	SentRequests int `json:"sentRequests"`
	// IsProvenNotRun is set where every attempt is proved not to have run.
	IsProvenNotRun bool `json:"-"`
	// IsDeadlineExceeded is set where the deadline ended the request.
	IsDeadlineExceeded bool `json:"-"`
	// RetryAfter is set on refusals.
	RetryAfter time.Duration `json:"-"`
}

// Result is the reply to a command.
type Result struct {
	Outcome Outcome         `json:"outcome" cbor:"1,keyasint"`
	Reason  string          `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
	Shard   string          `json:"shard,omitempty" cbor:"3,keyasint,omitempty"`
	Body    json.RawMessage `json:"body,omitempty" cbor:"4,keyasint,omitempty"`
	// IsInvalid marks a request that can never be run as it stands.
	IsInvalid bool `json:"-" cbor:"5,keyasint,omitempty"`
	// Field names the request's field that is at fault.
	Field string `json:"field,omitempty" cbor:"6,keyasint,omitempty"`
	// RetryAfter is set on refusals that may be tried again.
	RetryAfter time.Duration `json:"-" cbor:"7,keyasint,omitempty"`
}

// IssuedKey is an idempotency key and the time until which it is valid.
type IssuedKey struct {
	Key     string    `json:"key"`
	Expires time.Time `json:"expires"`
}

// Address is one instance that a caller may use.
type Address struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// Weight is the share of requests to send there, relative to the others.
	Weight int `json:"weight"`
}

// Addresses answers which instances a caller should use, and for how long.
type Addresses struct {
	Instances  []Address `json:"instances"`
	KeepMillis int64     `json:"keepMillis"`
}
