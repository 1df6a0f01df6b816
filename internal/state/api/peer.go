package api

import "time"

// MemberState is what an instance believes of a peer.
type MemberState uint8

// The states of a member, in the order in which they outrank one another
// within one incarnation.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberFailed
	MemberLeaving
	MemberLeft
)

// String returns the state's name.
func (memberstate MemberState) String() string {
	return [...]string{"alive", "suspect", "failed", "leaving", "left"}[min(int(memberstate), int(MemberLeft))]
}

// Member is one instance of the system as peers know it.
type Member struct {
	Instance    Instance    `cbor:"1,keyasint"`
	State       MemberState `cbor:"2,keyasint"`
	Incarnation uint64      `cbor:"3,keyasint"`
	// Refutation rises when the member answers a suspicion about itself.
	Refutation uint64 `cbor:"4,keyasint"`
	// Load is the member's count of requests in flight.
	Load int `cbor:"6,keyasint,omitempty"`
	// AgeSeconds is how long ago the teller learned that the member failed or
	// left, so that all forget it at about the same time.
	AgeSeconds uint32 `cbor:"7,keyasint,omitempty"`
	// CapacityMillicores is the member's processor in thousandths of a core; 0 where it
	// does not say.
	CapacityMillicores int `cbor:"8,keyasint,omitempty"`
}

// LeavingReplica says that one incarnation of a replica is leaving.
type LeavingReplica struct {
	Replica     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// AgeSeconds is how long ago the teller learned it.
	AgeSeconds uint32 `cbor:"3,keyasint,omitempty"`
}

// StoppedHome names one incarnation of a home that stopped, and its heir.
type StoppedHome struct {
	Home        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Successor   string `cbor:"3,keyasint"`
	// AgeSeconds is how long ago the teller learned it.
	AgeSeconds uint32 `cbor:"4,keyasint,omitempty"`
}

// Gossip is the control news that peers pass on.
type Gossip struct {
	// From is the peer address of the sender, from which keys can be read.
	From            string           `cbor:"4,keyasint,omitempty"`
	Members         []Member         `cbor:"1,keyasint,omitempty"`
	Keys            []KeyRevision    `cbor:"2,keyasint,omitempty"`
	LeavingReplicas []LeavingReplica `cbor:"3,keyasint,omitempty"`
	StoppedHomes    []StoppedHome    `cbor:"5,keyasint,omitempty"`
}

// Merge adds the news of other.
func (gossip *Gossip) Merge(other Gossip) {
	gossip.Members = append(gossip.Members, other.Members...)
	gossip.Keys = append(gossip.Keys, other.Keys...)
	gossip.LeavingReplicas = append(gossip.LeavingReplicas, other.LeavingReplicas...)
	gossip.StoppedHomes = append(gossip.StoppedHomes, other.StoppedHomes...)
}

// Probe asks a peer for a sign of life, and carries the sender's digest.
type Probe struct {
	From string `cbor:"1,keyasint"`
	// ConfigDigest sums up the configuration revisions that the sender knows.
	ConfigDigest uint64 `cbor:"2,keyasint"`
	// Load is the sender's count of requests in flight.
	Load int `cbor:"3,keyasint,omitempty"`
	// MembersDigest sums up the membership that the sender knows.
	MembersDigest uint64 `cbor:"4,keyasint"`
	// Sequence matches an acknowledgement with its probe.
	Sequence uint64 `cbor:"5,keyasint"`
	IsAck    bool   `cbor:"6,keyasint,omitempty"`
	// PlatformAgeMillis is how long ago the platform last answered, in milliseconds.
	PlatformAgeMillis uint32 `cbor:"7,keyasint,omitempty"`
}

// Datagram is what one QUIC datagram between peers carries.
type Datagram struct {
	Probe *Probe `cbor:"1,keyasint,omitempty"`
}

// SyncRequest asks a peer for all that the sender lacks.
type SyncRequest struct {
	From    Member        `cbor:"1,keyasint"`
	InForce []KeyRevision `cbor:"2,keyasint"`
	Refused []KeyRevision `cbor:"3,keyasint,omitempty"`
}

// SyncReply holds the documents and members that the asking peer lacks.
type SyncReply struct {
	Documents       []Document       `cbor:"1,keyasint,omitempty"`
	Members         []Member         `cbor:"2,keyasint,omitempty"`
	LeavingReplicas []LeavingReplica `cbor:"3,keyasint,omitempty"`
	StoppedHomes    []StoppedHome    `cbor:"4,keyasint,omitempty"`
}

// KeyedResult is the outcome of a keyed command that a home remembers.
type KeyedResult struct {
	Key           string    `cbor:"1,keyasint"`
	CommandDigest uint64    `cbor:"2,keyasint"`
	Result        Result    `cbor:"3,keyasint"`
	Expires       time.Time `cbor:"4,keyasint"`
}

// Handover passes a stopping home's outcomes to its heir.
type Handover struct {
	Home        string        `cbor:"1,keyasint"`
	Incarnation uint64        `cbor:"2,keyasint"`
	Results     []KeyedResult `cbor:"3,keyasint"`
	Expires     time.Time     `cbor:"4,keyasint"`
}

// PeerRequest is one request on a stream between peers; one field is set.
type PeerRequest struct {
	Gossip   *Gossip      `cbor:"1,keyasint,omitempty"`
	Sync     *SyncRequest `cbor:"2,keyasint,omitempty"`
	Command  *Command     `cbor:"3,keyasint,omitempty"`
	Handover *Handover    `cbor:"4,keyasint,omitempty"`
	// IndirectProbe names the peer address to probe for the sender.
	IndirectProbe string `cbor:"5,keyasint,omitempty"`
	// ReadKeys asks for the documents of keys.
	ReadKeys []string `cbor:"6,keyasint,omitempty"`
	// IsPing asks for a reply and nothing else.
	IsPing bool `cbor:"7,keyasint,omitempty"`
	// HomeQuery asks a home for parts; it answers with a sequence of blocks.
	HomeQuery *HomeQuery `cbor:"8,keyasint,omitempty"`
}

// PeerReply answers a Call.
type PeerReply struct {
	Sync      *SyncReply `cbor:"1,keyasint,omitempty"`
	Result    *Result    `cbor:"2,keyasint,omitempty"`
	IsAlive   bool       `cbor:"3,keyasint,omitempty"`
	Documents []Document `cbor:"4,keyasint,omitempty"`
}
