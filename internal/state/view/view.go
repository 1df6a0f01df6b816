// Package view holds what control publishes and traffic reads: immutable
// Views, and the few counters that traffic shares.
package view

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// View is all that traffic needs to know, as of one moment. It is immutable.
type View struct {
	// Number rises with each published View.
	Number uint64
	Self   api.Member
	// Members holds all known instances of the system, by name.
	Members map[string]api.Member
	Indexes map[string]Index
	Scopes  map[string]Scope
	// Routes holds the scopes that callers reach with requests of their own
	// form; nil before the first configuration.
	Routes Routes
	// Limits bounds what callers may send.
	Limits      api.CallerLimits
	Replicas    map[string]*Replica
	KeyStatuses []KeyStatus
	// ListedInstances holds the system's own instances as the platform lists them.
	ListedInstances []api.Instance
	// DocumentsInForce and Refused hold the documents as they were received.
	DocumentsInForce map[string]api.Document
	RefusedDocuments map[string]api.Document
	// Neighbours names the members that this instance probes and tells news.
	Neighbours []string
	// Homes holds, for the shards of merged scopes, the members that hold the
	// connections to their replicas, by failure domain.
	Homes map[ShardKey]DomainHomes
	// HomedUpstreams holds the upstreams whose shards have homes, and whether
	// this instance is one of them.
	HomedUpstreams map[string]bool
	// IsReader is set on the instances that watch the platform for the others.
	IsReader bool
	// MembersDigest sums up the membership that is known.
	MembersDigest   uint64
	LeavingReplicas []Timestamped[api.LeavingReplica]
	// StoppedHomes holds the homes that stopped and named an heir.
	StoppedHomes []Timestamped[api.StoppedHome]
	// EndedAt holds when this instance learned that a member failed or left.
	EndedAt map[string]time.Time
	// ConfigDigest sums up the configuration revisions that are known.
	ConfigDigest uint64
	// PlatformAnsweredAt is when an answer of the platform last reached this
	// instance, itself or through a peer.
	PlatformAnsweredAt time.Time
	StaleAnswers       int64
}

// DomainHomes holds the homes of one shard: for each failure domain that has
// one, the members there that are asked, in this order.
type DomainHomes map[string][]string

// ShardKey names one shard of one index.
type ShardKey struct {
	Index string
	Shard string
}

// Timestamped is news and when this instance learned it.
type Timestamped[N any] struct {
	Value     N
	LearnedAt time.Time
}

// Index is one index with the snapshot that new queries read.
type Index struct {
	Name              string
	PublishedSnapshot uint64
	// Snapshot is the version that new queries read.
	Snapshot uint64
	Shards   []Shard
	// Positions holds where in Shards each name is.
	Positions map[string]int
}

// Shard is one shard with its replicas.
type Shard struct {
	Name     string
	Epoch    uint64
	Labels   map[string]string
	Upstream api.Upstream
	Replicas []*Replica
}

// Scope is one scope with the selections of its kinds.
type Scope struct {
	Scope      api.Scope
	Selections map[string]Selection
	// WeightedUpstreams holds the upstreams of a relayed scope.
	WeightedUpstreams []WeightedUpstream
}

// WeightedUpstream is one upstream of a relayed scope and its share of the requests.
type WeightedUpstream struct {
	Weight float64
	// Shard stands for the upstream: any of its replicas may answer.
	Shard Shard
}

// Selection is the set of shards that requests of one kind cover.
type Selection struct {
	Kind      string
	IsCommand bool
	Shards    []Shard
}

// KeyStatus is what an instance holds of one configuration key.
type KeyStatus struct {
	Key             string `json:"key"`
	RevisionInForce uint64 `json:"inForce"`
	// RefusedRevision is the newest revision that failed validation, or 0.
	RefusedRevision uint64 `json:"refused,omitempty"`
	Reason          string `json:"reason,omitempty"`
}
