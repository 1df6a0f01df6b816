// Package view defines the immutable Views that control publishes and traffic
// goroutines read, and the counters per replica that traffic goroutines share.
package view

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/schedule/peer"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// View is a snapshot of everything that traffic goroutines need to know. It is
// immutable; control publishes a new one for each change.
type View struct {
	// Number increases with each published View.
	Number uint64
	// IsConfigured is set once the instance has received the whole configuration.
	// Before that, a scope or route that the View lacks may exist.
	IsConfigured bool
	// IsSettled is set once the instance can be expected to know the others. Before
	// that there are no homes.
	IsSettled bool
	// HasPredecessor is set if others counted an earlier process of this instance's name
	// among the members when this one started.
	HasPredecessor bool
	Self           api.Member
	// Members holds all known instances of the system by name.
	Members map[string]api.Member
	Indexes map[string]Index
	Scopes  map[string]Scope
	// Routes maps requests in the callers' own format to scopes; nil if there is no
	// scope.
	Routes Routes
	// Limits bounds what callers may send.
	Limits      api.CallerLimits
	Replicas    map[string]*Replica
	KeyStatuses []KeyStatus
	// UnusedKeys describes the documents that are of no use.
	UnusedKeys UnusedKeys
	// RemovedAt holds when this instance learned of each removal in DocumentsInForce.
	RemovedAt map[string]time.Time
	// ListingNumber rises when the platform has to be listed again.
	ListingNumber uint64
	// ListedInstances holds the system's own instances as the platform lists
	// them.
	ListedInstances []api.Instance
	// DocumentsInForce and RefusedDocuments hold the documents as they were
	// received, by key. Those of RefusedDocuments, which are invalid or ignored, have a
	// Refusal in place of the value.
	DocumentsInForce map[string]api.Document
	RefusedDocuments map[string]api.Document
	// SupersededDocuments holds, by key, what the store states although a document with
	// a higher number is in force. SupersededKeys describes them, and what the
	// restored store lacks, sorted by key.
	SupersededDocuments map[string]api.Document
	SupersededKeys      []SupersededKey
	// Neighbours names the members that this instance probes.
	Neighbours []string
	// GossipNeighbours names the members that this instance sends changes to.
	GossipNeighbours []string
	// Homes holds the homes of the shards of merged scopes: the members that
	// keep the connections to a shard's replicas.
	Homes map[ShardKey]DomainHomes
	// PreferredDomains holds the failure domains that have homes in the order in
	// which this instance sends queries to them.
	PreferredDomains []string
	// IsHomeOfUpstream has an entry for each upstream whose shards have homes. The
	// value is true if this instance is one of these homes.
	IsHomeOfUpstream map[string]bool
	// Serving names the members whose addresses callers are given and that may be
	// homes, if they are alive; nil if all alive members are.
	Serving map[string]bool
	// Senders holds the members that have a larger share of the retry budget's slack.
	Senders peer.Senders
	// IsReader is set if this instance reads the platform for the others.
	IsReader bool
	// MembersDigest is a hash of the known membership.
	MembersDigest   uint64
	LeavingReplicas []Timestamped[api.LeavingReplica]
	// StoppedHomes holds the homes that stopped and named a successor.
	StoppedHomes []Timestamped[api.StoppedHome]
	// EndedAt holds, by member, when this instance learned that the member
	// failed or left.
	EndedAt map[string]time.Time
	// ConfigDigest is a hash of the known configuration versions.
	ConfigDigest uint64
	// ConfigurationVersion is the newest version of the documents that define what
	// requests are sent where, and CoveredVersion that up to which this instance has
	// them all.
	ConfigurationVersion, CoveredVersion api.Version
	// ConfigurationLackedSince is when this instance learned that a peer has a newer one
	// than CoveredVersion; zero while none does.
	ConfigurationLackedSince time.Time
	// PlatformAnsweredAt is the time of the latest answer of the platform that
	// this instance knows of. It received the answer itself or learned of it from
	// a peer.
	PlatformAnsweredAt time.Time
	// PlatformKnownSince is the time of the first answer of the platform that this
	// instance knows of, and PlatformReturnedAt the end of the latest outage that it
	// knows of; zero if there is none.
	PlatformKnownSince, PlatformReturnedAt time.Time
	// HeldBackRemovals holds the removals that are not in force yet, sorted by key.
	HeldBackRemovals []HeldBackRemoval
	// RemovalCounts counts the decisions about removals since the start.
	RemovalCounts map[RemovalRule]int64
	// EvacuatedDomains holds the names of the failure domains whose replicas must not
	// be used, sorted.
	EvacuatedDomains []string
	// StaleAnswers counts the platform's answers that were older than the known
	// configuration.
	StaleAnswers int64
	// Era is the highest known era of the platform's store.
	Era uint64
	// PendingCount is the number of documents that are held back because their
	// keys may be written again.
	PendingCount int
}

// PlatformSteadySince returns SteadySince of what the View knows of the platform.
func (view *View) PlatformSteadySince() time.Time {
	return SteadySince(view.PlatformKnownSince, view.PlatformReturnedAt)
}

// SteadySince returns the time since which the platform is known to have been available
// without an interruption, from its first known answer and the end of its latest known
// outage; zero if it is not known to have answered.
func SteadySince(knownSince, returnedAt time.Time) time.Time {
	if returnedAt.After(knownSince) {
		return returnedAt
	}
	return knownSince
}

// IsServing reports whether the named alive member is one of the serving members.
func (view *View) IsServing(name string) bool { return view.Serving == nil || view.Serving[name] }

// ServingCount returns the number of alive members that serve.
func (view *View) ServingCount() int {
	count := 0
	for name, member := range view.Members {
		if member.State == api.MemberAlive && view.IsServing(name) {
			count++
		}
	}
	return count
}

// OverloadedCount returns the number of alive members that are overloaded.
func (view *View) OverloadedCount() int {
	count := 0
	for _, member := range view.Members {
		if member.State == api.MemberAlive && member.IsOverloaded {
			count++
		}
	}
	return count
}

// DomainHomes holds the homes of one shard by failure domain. In each failure
// domain that has homes, queries are sent to them in the given order.
type DomainHomes map[string][]string

// ShardKey names one shard of one index.
type ShardKey struct {
	Index string
	Shard string
}

// Timestamped is a value with the time at which this instance learned it.
type Timestamped[T any] struct {
	Value     T
	LearnedAt time.Time
}

// Index is one index with the snapshot that new queries read.
type Index struct {
	Name string
	// PublishedSnapshot is the version that the index document names.
	PublishedSnapshot uint64
	// Snapshot is the version that new queries read.
	Snapshot uint64
	Shards   []Shard
	// Positions maps the name of a shard to its index in Shards.
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

// Scope is one scope with the shards that it selects.
type Scope struct {
	Scope api.Scope
	// Selections holds the selected shards by kind of request.
	Selections map[string]Selection
	// WeightedUpstreams holds the upstreams of a relayed scope.
	WeightedUpstreams []WeightedUpstream
}

// WeightedUpstream is one upstream of a relayed scope and its share of the
// requests.
type WeightedUpstream struct {
	// Weight is relative to the weights of the scope's other upstreams.
	Weight float64
	// Shard is a shard that holds all replicas of the upstream, each of which may
	// answer.
	Shard Shard
}

// Selection is the set of shards to which requests of one kind are sent.
type Selection struct {
	Kind string
	// IsCommand is set if the requests of the kind are non-idempotent.
	IsCommand bool
	Shards    []Shard
}

// KeyStatus states which versions of one configuration key an instance knows.
type KeyStatus struct {
	Key string `json:"key"`
	// EraInForce is the era of the store to which RevisionInForce belongs.
	EraInForce uint64 `json:"era,omitempty"`
	// RevisionInForce is the newest valid revision.
	RevisionInForce uint64 `json:"inForce"`
	// IsIgnored is set if that revision contains nothing to use.
	IsIgnored bool `json:"ignored,omitempty"`
	// RefusedEra is the era of the store to which RefusedRevision belongs.
	RefusedEra uint64 `json:"refusedEra,omitempty"`
	// RefusedRevision is the newest revision that failed validation; 0 if there
	// is none newer than the one in force.
	RefusedRevision uint64 `json:"refused,omitempty"`
	// Reason states why the refused revision is invalid.
	Reason string `json:"reason,omitempty"`
}

// KnownVersion returns the latest version of key that the store stated and that the
// instance received, or the zero Version.
func (view *View) KnownVersion(key string) api.Version { return view.HeldVersions(key).Stated() }
