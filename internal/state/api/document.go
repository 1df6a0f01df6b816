// Package api defines the plain structs that the system exchanges with the
// platform, callers, upstreams and peers. It contains neither decisions nor
// encoders.
package api

import (
	"time"

	"github.com/pkg/errors"
)

// Key prefixes in the platform's configuration service.
const (
	IndexPrefix     = "index/"
	UpstreamsPrefix = "upstreams/"
	ScopePrefix     = "scope/"
	InstancesPrefix = "instances/"
	// EvacuationPrefix is followed by the name of a failure domain.
	EvacuationPrefix = "evacuation/"
)

// MaxDocumentBytes is the largest value that the platform stores for a key.
const MaxDocumentBytes = 1 << 20

// Document is one key of the configuration service at one revision.
type Document struct {
	Key      string `cbor:"1,keyasint" json:"key"`
	Revision uint64 `cbor:"2,keyasint" json:"revision"`
	Value    []byte `cbor:"3,keyasint,omitempty" json:"value,omitempty"`
	// IsDeleted is set if this revision deleted the key.
	IsDeleted bool `cbor:"4,keyasint,omitempty" json:"deleted,omitempty"`
	// Compressed replaces Value while a document with a long value is sent
	// between peers.
	Compressed []byte `cbor:"5,keyasint,omitempty" json:"-"`
	// Era is the era of the store to which Revision belongs.
	Era uint64 `cbor:"6,keyasint,omitempty" json:"era,omitempty"`
	// Number is the writer's number. It is read from Value; that of a removal is the
	// highest number of what it removed.
	Number Number `cbor:"7,keyasint,omitzero" json:"-"`
	// Refusal replaces Value in a document that cannot be used.
	Refusal *Refusal `cbor:"8,keyasint,omitempty" json:"refusal,omitempty"`
	// AgeSeconds is how long ago the sender learned of a removal. It makes all instances
	// forget the removal at about the same time.
	AgeSeconds uint32 `cbor:"9,keyasint,omitempty" json:"-"`
}

// Version returns the document's version in the store.
func (document Document) Version() Version {
	return Version{Era: document.Era, Revision: document.Revision}
}

// Precedence returns the document's place among the documents of its key.
func (document Document) Precedence() Precedence {
	return Precedence{Number: document.Number, Stored: document.Version(), IsDeleted: document.IsDeleted}
}

// KeyRevision returns the statement that the document is known.
func (document Document) KeyRevision() KeyRevision {
	return KeyRevision{Key: document.Key, Era: document.Era, Revision: document.Revision, IsDeleted: document.IsDeleted, Number: document.Number, Refusal: document.Refusal}
}

// DecodedDocument is a document with its decoded value. Unless the document is
// deleted or refused, the field for its kind of document is set.
type DecodedDocument struct {
	Document  Document
	Index     *Index
	Upstreams *Upstreams
	Scope     *Scope
	Instances *InstanceList
	// Scopes holds the scopes of a document that defines several.
	Scopes []Scope
	// Limits bounds what callers may send; nil if the document sets no limits.
	Limits *CallerLimits
	// Evacuation asks for the evacuation of a failure domain.
	Evacuation *Evacuation
	// IgnoredReason states why a document that is in force contains nothing to
	// use; otherwise empty.
	IgnoredReason string
	// RefusalReason states why the document is invalid; empty if it is valid.
	RefusalReason string
}

// KeyRevision states which revision of a key an instance or the platform holds.
type KeyRevision struct {
	Key       string `cbor:"1,keyasint" json:"key"`
	Revision  uint64 `cbor:"2,keyasint" json:"revision"`
	IsDeleted bool   `cbor:"3,keyasint,omitempty" json:"deleted,omitempty"`
	// Era is the era of the store to which Revision belongs.
	Era uint64 `cbor:"4,keyasint,omitempty" json:"era,omitempty"`
	// Number is that of the document; zero if it has none or the sender states none.
	Number Number `cbor:"5,keyasint,omitzero" json:"-"`
	// Refusal is that of the document. The receiver then need not read the document.
	Refusal *Refusal `cbor:"6,keyasint,omitempty" json:"-"`
}

// Version returns the version of the key in the store.
func (keyrevision KeyRevision) Version() Version {
	return Version{Era: keyrevision.Era, Revision: keyrevision.Revision}
}

// Precedence returns the place of the document among those of its key.
func (keyrevision KeyRevision) Precedence() Precedence {
	return Precedence{Number: keyrevision.Number, Stored: keyrevision.Version(), IsDeleted: keyrevision.IsDeleted}
}

// Listing is the platform's answer to a list or watch call.
type Listing struct {
	// Revision is the platform's store revision at the time of the answer.
	Revision uint64        `json:"revision"`
	Keys     []KeyRevision `json:"keys"`
	// Era is the store's era at the time of the answer, which is also that of Keys.
	Era uint64 `json:"-"`
}

// ErrHistoryGone reports that a store has discarded changes that a caller asked
// for. The caller has to read the full state instead.
var ErrHistoryGone = errors.New("the store no longer holds the changes since the requested revision")

// ErrUnreadable reports that a store sent a whole reply that cannot be decoded.
var ErrUnreadable = errors.New("the reply cannot be decoded")

// ErrRestored reports that a store was restored from a copy between the answers that
// belong to one read.
var ErrRestored = errors.New("the store was restored from a copy during the read")

// Changes is a store's answer to a read or watch call: documents as of one
// revision.
type Changes struct {
	// Era is the store's era at the time of the answer, which is also that of
	// Documents. It is set beside an error too if the store answered.
	Era uint64
	// Revision is the store's revision at the time of the answer.
	Revision  uint64
	Documents []Document
	// IsComplete is set if Documents holds every key of the page, so that a key that it
	// does not hold has been deleted.
	IsComplete bool
	// UnreadableCount is the number of entries that could not be decoded and are not
	// in Documents.
	UnreadableCount int
	// IsPart is set if only a part of the store's answer was taken. Revision is then that of
	// the last change in it, from which the next call goes on, and not the store's.
	IsPart bool
	// Next is the key after which a listing goes on; empty if there is no further page.
	// Documents then holds the keys up to Next.
	Next string
}

// Version returns the store's version at the time of the answer.
func (changes Changes) Version() Version {
	return Version{Era: changes.Era, Revision: changes.Revision}
}

// CallerLimits bounds what a caller may send on a connection.
type CallerLimits struct {
	// MaxBodyBytes is the largest allowed request body.
	MaxBodyBytes int64
}

// Evacuation is the document under EvacuationPrefix. While it exists, no requests are
// sent to the replicas in a failure domain. Requests that these have received are
// finished.
type Evacuation struct {
	// FailureDomain is the failure domain that the document's key names.
	FailureDomain string `toml:"-"`
}

// Index is the document under IndexPrefix. It lists the shards of one index.
type Index struct {
	Name string `toml:"name"`
	// Snapshot is the version of the index that queries should read.
	Snapshot uint64  `toml:"snapshot"`
	Shards   []Shard `toml:"shards"`
}

// Shard is one part of an index, served by the replicas of one upstream.
type Shard struct {
	Name     string `toml:"name"`
	Upstream string `toml:"upstream"`
	// Epoch increases whenever repartitioning changes which data the shard holds.
	Epoch  uint64            `toml:"epoch"`
	Labels map[string]string `toml:"labels"`
}

// Upstreams is the document under UpstreamsPrefix. It lists a group of upstreams.
type Upstreams struct {
	Upstreams []Upstream `toml:"upstreams"`
}

// Upstream is one service to which requests are sent. Its replicas appear in the
// instance list.
type Upstream struct {
	Name   string            `toml:"name"`
	Labels map[string]string `toml:"labels"`
	// Slots is the number of requests that a replica runs concurrently.
	Slots int `toml:"slots"`
	// ConnectionLimit is the number of connections that a replica accepts.
	ConnectionLimit int `toml:"connectionLimit"`
	// Protocol is "http2" (the default), "http1" or "relay".
	Protocol string `toml:"protocol"`
	// ColdRate is the number of requests a second that a cold replica bears; 0 if it
	// bears as many as another.
	ColdRate float64 `toml:"coldRate"`
	// ColdTime is how long a replica is cold after its start.
	ColdTime Duration `toml:"coldTime"`
	// HealthPath is the path at which a replica of the relay protocol states its
	// health; empty if there is none.
	HealthPath string `toml:"healthPath,omitempty"`
}

// Aim is the goal that a scope keeps longest if it cannot reach both low latency
// and full coverage.
type Aim string

// The aims of a scope.
const (
	AimLatency  Aim = "latency"
	AimCoverage Aim = "coverage"
)

// Scope is the document under ScopePrefix. It defines which shards or upstreams
// a tenant's requests are sent to and how they are answered.
type Scope struct {
	Name   string `toml:"name"`
	Tenant string `toml:"tenant"`
	Class  string `toml:"class"`
	Index  string `toml:"index"`
	Aim    Aim    `toml:"aim"`
	// MinCoverage is the fraction of the selected shards that an answer has to
	// include, 0 to 1.
	MinCoverage float64 `toml:"minCoverage"`
	// Priority orders classes under overload: requests of lower priority are shed
	// first.
	Priority  int        `toml:"priority"`
	Selectors []Selector `toml:"selectors"`
	// Form determines what an answer consists of; empty means FormParts.
	Form Form `toml:"form"`
	// TopK is the number of greatest records that a merged answer holds.
	TopK int `toml:"topK"`
	// TrafficSplit lists the upstreams among which FormRelayed distributes requests.
	TrafficSplit []UpstreamWeight `toml:"split"`
	// IsCommand is set if the requests of a relayed scope are non-idempotent.
	IsCommand bool `toml:"command"`
	// MaxAttempts is the number of replicas of a shard to which one request may
	// be sent; 0 means the default of the query path.
	MaxAttempts int `toml:"maxAttempts"`
	// Timeout bounds how long a request may take; 0 means that only the caller's
	// deadline does.
	Timeout Duration `toml:"timeout"`
	// TargetLatency is the latency after which an answer loses value for the
	// caller; 0 if the scope has no such target.
	TargetLatency Duration `toml:"targetLatency"`
	// Routes lists the hosts and paths under which callers reach the scope with
	// HTTP requests in their own format.
	Routes []Route `toml:"routes"`
}

// Form determines what the answers of a scope consist of.
type Form string

// The forms of an answer.
const (
	// FormParts returns each shard's part unchanged.
	FormParts Form = "parts"
	// FormMerged returns the greatest records of all parts.
	FormMerged Form = "merged"
	// FormRelayed forwards a request to one replica and returns its answer, both
	// unchanged.
	FormRelayed Form = "relayed"
)

// UpstreamWeight is the share of a relayed scope's requests that go to one
// upstream, relative to the other upstreams of the scope.
type UpstreamWeight struct {
	Upstream string  `toml:"upstream"`
	Weight   float64 `toml:"weight"`
}

// Route maps a host and a path prefix to a scope.
type Route struct {
	Host string `toml:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `toml:"prefix"`
	// Kind is the kind of the requests under the route.
	Kind string `toml:"kind"`
}

// Selector selects by label the shards that requests of one kind are sent to.
type Selector struct {
	Kind string `toml:"kind"`
	// IsCommand is set if the requests of the kind are non-idempotent.
	IsCommand bool `toml:"command"`
	// Shards maps a shard label to the values that match.
	Shards map[string][]string `toml:"shards"`
	// Upstreams maps a label of the shard's upstream to the values that match.
	Upstreams map[string][]string `toml:"upstreams"`
}

// InstanceState is an instance's state in the published instance list.
type InstanceState string

// The states of an instance in the published instance list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// OwnUpstream is the upstream name under which the platform lists the
// system's own instances.
const OwnUpstream = "mimosaspring"

// InstanceList is the document under InstancesPrefix. It holds one page of the
// list of instances.
type InstanceList struct {
	Instances []Instance `toml:"instances"`
}

// Instance is one running process of an upstream or of the system itself.
type Instance struct {
	Name     string `toml:"name" cbor:"1,keyasint" json:"name"`
	Upstream string `toml:"upstream" cbor:"2,keyasint" json:"upstream"`
	// Address is where the instance accepts requests: from callers if it is one
	// of the system's own, from the system if it is a replica of an upstream.
	Address string `toml:"address" cbor:"3,keyasint" json:"address"`
	// PeerAddress is where other instances of the system connect; it is set for
	// the system's own instances only.
	PeerAddress   string        `toml:"peerAddress,omitempty" cbor:"4,keyasint,omitempty" json:"peerAddress,omitempty"`
	FailureDomain string        `toml:"failureDomain" cbor:"5,keyasint" json:"failureDomain"`
	State         InstanceState `toml:"state" cbor:"6,keyasint" json:"state"`
	// Incarnation increases when a new process takes over the instance's name.
	Incarnation uint64 `toml:"incarnation" cbor:"7,keyasint" json:"incarnation"`
	// Sequence increases with each change that the process makes to its entry; 0 if
	// the entry states no such number.
	Sequence uint64 `toml:"-" cbor:"-" json:"-"`
	// Slots is the number of requests that the instance runs concurrently; 0
	// means Upstream.Slots.
	Slots int `toml:"slots,omitempty" cbor:"-" json:"slots,omitempty"`
	// ColdTimeLeft is how much longer the instance was expected to be slow after
	// its start when the entry was written.
	ColdTimeLeft time.Duration `toml:"-" cbor:"-" json:"-"`
}
