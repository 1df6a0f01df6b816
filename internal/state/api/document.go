// Package api holds the plain structs that the system exchanges with the
// platform, callers, upstreams and peers. It takes no decision and knows no
// encoding.
package api

import (
	"time"

	"github.com/pkg/errors"
)

// Prefixes of the keys that the platform's configuration service publishes.
const (
	IndexPrefix     = "index/"
	UpstreamsPrefix = "upstreams/"
	ScopePrefix     = "scope/"
	InstancesPrefix = "instances/"
)

// MaxDocumentBytes is the largest value that the platform holds, in bytes.
const MaxDocumentBytes = 1 << 20

// Document is one key of the configuration service at one revision.
type Document struct {
	Key      string `cbor:"1,keyasint" json:"key"`
	Revision uint64 `cbor:"2,keyasint" json:"revision"`
	Value    []byte `cbor:"3,keyasint,omitempty" json:"value,omitempty"`
	// IsDeleted marks the revision that removed the key.
	IsDeleted bool `cbor:"4,keyasint,omitempty" json:"deleted,omitempty"`
	// Compressed holds a long value compressed, in place of Value, on its way
	// between peers.
	Compressed []byte `cbor:"5,keyasint,omitempty" json:"-"`
}

// DecodedDocument is a document as its receiver decoded it. One of the pointers is
// set unless the document is deleted or refused.
type DecodedDocument struct {
	Document  Document
	Index     *Index
	Upstreams *Upstreams
	Scope     *Scope
	Instances *InstanceList
	// Scopes holds the scopes of a document that publishes several at once.
	Scopes []Scope
	// Limits bounds what callers may send; nil where the document sets none.
	Limits *CallerLimits
	// IgnoredReason says why a document that is in force names nothing to use.
	IgnoredReason string
	// RefusalReason says why the document was refused; empty when it is valid.
	RefusalReason string
}

// KeyRevision names a key and the revision that a holder has of it.
type KeyRevision struct {
	Key       string `cbor:"1,keyasint" json:"key"`
	Revision  uint64 `cbor:"2,keyasint" json:"revision"`
	IsDeleted bool   `cbor:"3,keyasint,omitempty" json:"deleted,omitempty"`
}

// Listing is the platform's answer to a list or watch call.
type Listing struct {
	// Revision is the platform's revision at the time of the answer.
	Revision uint64        `json:"revision"`
	Keys     []KeyRevision `json:"keys"`
}

// ErrHistoryGone reports that a store no longer holds the changes after a
// revision.
var ErrHistoryGone = errors.New("the store's history does not reach back so far")

// Changes is what a store answers to one call: documents as of a revision.
type Changes struct {
	// Revision is the store's revision at the time of the answer.
	Revision  uint64
	Documents []Document
	// IsComplete is set where Documents holds every key, so that a key that is
	// not among them was removed.
	IsComplete bool
}

// CallerLimits bounds what a caller may send on a connection.
type CallerLimits struct {
	// MaxBodyBytes is the largest body of one request.
	MaxBodyBytes int64
}

// Index is the document under IndexPrefix: the shards of one index.
type Index struct {
	Name string `toml:"name"`
	// Snapshot is the index version that queries should read.
	Snapshot uint64  `toml:"snapshot"`
	Shards   []Shard `toml:"shards"`
}

// Shard is one part of an index, served by the replicas of one upstream.
type Shard struct {
	Name     string `toml:"name"`
	Upstream string `toml:"upstream"`
	// Epoch rises whenever a repartition changes what the shard holds.
	Epoch  uint64            `toml:"epoch"`
	Labels map[string]string `toml:"labels"`
}

// Upstreams is the document under UpstreamsPrefix: a group of upstreams.
type Upstreams struct {
	Upstreams []Upstream `toml:"upstreams"`
}

// Upstream is one service of the users' fleet.
type Upstream struct {
	Name   string            `toml:"name"`
	Labels map[string]string `toml:"labels"`
	// Slots is how many requests a replica runs at once.
	Slots int `toml:"slots"`
	// ConnectionLimit is how many connections a replica accepts.
	ConnectionLimit int `toml:"connectionLimit"`
	// Protocol is "http2" (the default), "http1" or "relay".
	Protocol string `toml:"protocol"`
}

// Aim says what a scope gives up last.
type Aim string

// The aims that a scope may have.
const (
	AimLatency  Aim = "latency"
	AimCoverage Aim = "coverage"
)

// Scope is the document under ScopePrefix: what a tenant's requests cover.
type Scope struct {
	Name   string `toml:"name"`
	Tenant string `toml:"tenant"`
	Class  string `toml:"class"`
	Index  string `toml:"index"`
	Aim    Aim    `toml:"aim"`
	// MinCoverage is the least share of selected shards in an answer, 0 to 1.
	MinCoverage float64 `toml:"minCoverage"`
	// Priority orders classes under overload; lower ones are shed first.
	Priority  int        `toml:"priority"`
	Selectors []Selector `toml:"selectors"`
	// Form says what an answer consists of; empty means FormParts.
	Form Form `toml:"form"`
	// TopK is how many of the greatest records a merged answer holds.
	TopK int `toml:"topK"`
	// Split lists the upstreams among which FormRelayed distributes requests.
	Split []UpstreamWeight `toml:"split"`
	// IsCommand marks a relayed scope whose requests are non-idempotent.
	IsCommand bool `toml:"command"`
	// MaxAttempts is to how many replicas of a shard one request may go; 0
	// leaves it to the query path.
	MaxAttempts int `toml:"maxAttempts"`
	// Timeout is how long a caller may be kept waiting; 0 leaves it to the
	// caller's own deadline.
	Timeout Duration `toml:"timeout"`
	// TargetLatency is when an answer is worth most to the caller; 0 where the
	// scope has no such time.
	TargetLatency Duration `toml:"targetLatency"`
	// Routes lists where callers reach the scope with requests of their own
	// form.
	Routes []Route `toml:"routes"`
}

// Form says what the answer of a scope consists of.
type Form string

// The forms of an answer.
const (
	// FormParts returns each shard's part as it is.
	FormParts Form = "parts"
	// FormMerged returns the greatest records of all parts.
	FormMerged Form = "merged"
	// FormRelayed passes a request whole to one replica and its answer back.
	FormRelayed Form = "relayed"
)

// UpstreamWeight is one upstream's part of a split scope.
type UpstreamWeight struct {
	Upstream string  `toml:"upstream"`
	Weight   float64 `toml:"weight"`
}

// Route is a host and a path prefix under which callers reach a scope.
type Route struct {
	Host string `toml:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `toml:"prefix"`
	// Kind is the kind that requests under the route have.
	Kind string `toml:"kind"`
}

// Selector says which labelled shards a request of one kind covers.
type Selector struct {
	Kind string `toml:"kind"`
	// IsCommand marks a kind whose requests are non-idempotent.
	IsCommand bool `toml:"command"`
	// Shards holds, by label, the values that a shard may have.
	Shards map[string][]string `toml:"shards"`
	// Upstreams holds, by label, the values that the shard's upstream may have.
	Upstreams map[string][]string `toml:"upstreams"`
}

// InstanceState is the state that the published instance list gives.
type InstanceState string

// The states of the published instance list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// OwnUpstream is the upstream name under which the platform lists the
// system's own instances.
const OwnUpstream = "mimosaspring"

// InstanceList is the document under InstancesPrefix: one page of instances.
type InstanceList struct {
	Instances []Instance `toml:"instances"`
}

// Instance is one running process of an upstream or of the system itself.
type Instance struct {
	Name     string `toml:"name" cbor:"1,keyasint" json:"name"`
	Upstream string `toml:"upstream" cbor:"2,keyasint" json:"upstream"`
	// Address is where callers, or the system, reach the instance.
	Address string `toml:"address" cbor:"3,keyasint" json:"address"`
	// PeerAddress is set for the system's own instances only.
	PeerAddress   string        `toml:"peerAddress,omitempty" cbor:"4,keyasint,omitempty" json:"peerAddress,omitempty"`
	FailureDomain string        `toml:"failureDomain" cbor:"5,keyasint" json:"failureDomain"`
	State         InstanceState `toml:"state" cbor:"6,keyasint" json:"state"`
	// Incarnation rises when a new process takes the instance's name.
	Incarnation uint64 `toml:"incarnation" cbor:"7,keyasint" json:"incarnation"`
	// Slots is how many requests the instance runs at once; 0 leaves it to its
	// upstream.
	Slots int `toml:"slots,omitempty" cbor:"-" json:"slots,omitempty"`
	// ColdTimeLeft is how much longer the instance was slow after its start when
	// the entry was written.
	ColdTimeLeft time.Duration `toml:"-" cbor:"-" json:"-"`
}
