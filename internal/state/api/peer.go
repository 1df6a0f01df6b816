package api

import "time"

// MemberState is the state of a member as one instance knows it.
type MemberState uint8

// The states of a member. Within one incarnation, a later one in this list
// takes precedence over an earlier one.
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

// Member describes one instance of the system and its state, as the instances
// tell each other.
type Member struct {
	Instance    Instance    `cbor:"1,keyasint"`
	State       MemberState `cbor:"2,keyasint"`
	Incarnation uint64      `cbor:"3,keyasint"`
	// Refutation increases when the member refutes a suspicion that it failed, and when
	// it states something else about itself.
	Refutation uint64 `cbor:"4,keyasint"`
	// Load is the number of requests that the member has in flight.
	Load int `cbor:"6,keyasint,omitempty"`
	// AgeSeconds is how long ago the sender learned that the member failed or
	// left. It makes all instances forget the member at about the same time.
	AgeSeconds uint32 `cbor:"7,keyasint,omitempty"`
	// CapacityMillicores is the processor time of the member, in thousandths of a
	// core; 0 if the member does not state it.
	CapacityMillicores int `cbor:"8,keyasint,omitempty"`
	// IsOverloaded is set while the member's processor time does not suffice for its
	// work.
	IsOverloaded bool `cbor:"9,keyasint,omitempty"`
}

// LeavingReplica names one incarnation of a replica that is draining.
type LeavingReplica struct {
	Replica     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// AgeSeconds is how long ago the sender learned that the replica is draining.
	AgeSeconds uint32 `cbor:"3,keyasint,omitempty"`
}

// StoppedHome names one incarnation of a home that stopped and the member that
// took over its command outcomes.
type StoppedHome struct {
	Home        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Successor is the member that took over; messages to callers and operators
	// call it the heir.
	Successor string `cbor:"3,keyasint"`
	// AgeSeconds is how long ago the sender learned that the home stopped.
	AgeSeconds uint32 `cbor:"4,keyasint,omitempty"`
}

// Gossip holds the changes of control state that peers forward to each other.
type Gossip struct {
	// From is the peer address of the sender. The receiver can read the documents
	// of Keys there.
	From            string           `cbor:"4,keyasint,omitempty"`
	Members         []Member         `cbor:"1,keyasint,omitempty"`
	Keys            []KeyRevision    `cbor:"2,keyasint,omitempty"`
	LeavingReplicas []LeavingReplica `cbor:"3,keyasint,omitempty"`
	StoppedHomes    []StoppedHome    `cbor:"5,keyasint,omitempty"`
}

// Merge appends the changes in other.
func (gossip *Gossip) Merge(other Gossip) {
	gossip.Members = append(gossip.Members, other.Members...)
	gossip.Keys = append(gossip.Keys, other.Keys...)
	gossip.LeavingReplicas = append(gossip.LeavingReplicas, other.LeavingReplicas...)
	gossip.StoppedHomes = append(gossip.StoppedHomes, other.StoppedHomes...)
}

// Probe asks a peer for an acknowledgement, or is one. It carries digests of the
// sender's state, so that peers detect when they differ.
type Probe struct {
	// From is the name of the sender.
	From string `cbor:"1,keyasint"`
	// ConfigDigest is a hash of the configuration versions that the sender knows.
	ConfigDigest uint64 `cbor:"2,keyasint"`
	// Load is the number of requests that the sender has in flight.
	Load int `cbor:"3,keyasint,omitempty"`
	// MembersDigest is a hash of the membership that the sender knows.
	MembersDigest uint64 `cbor:"4,keyasint"`
	// Sequence is the probe's number; its acknowledgement repeats it.
	Sequence uint64 `cbor:"5,keyasint"`
	IsAck    bool   `cbor:"6,keyasint,omitempty"`
	// PlatformAgeMillis is how long ago the platform last answered, in
	// milliseconds; 0 if the sender does not know.
	PlatformAgeMillis uint32 `cbor:"7,keyasint,omitempty"`
	// ConfigurationEra and ConfigurationRevision are the newest version of the sender's
	// documents of the configuration.
	ConfigurationEra      uint64 `cbor:"8,keyasint,omitempty"`
	ConfigurationRevision uint64 `cbor:"9,keyasint,omitempty"`
	// Platform repeats PlatformAgeMillis, which peers of earlier versions read.
	Platform PlatformTimes `cbor:"10,keyasint,omitzero"`
}

// ConfigurationVersion returns the newest version of the sender's documents of the
// configuration, or the zero Version if it does not state it.
func (probe Probe) ConfigurationVersion() Version {
	return Version{Era: probe.ConfigurationEra, Revision: probe.ConfigurationRevision}
}

// PlatformTimes states what an instance knows of the times at which the platform's store
// answered, as their ages in milliseconds; 0 stands for no such time.
type PlatformTimes struct {
	// Era is the highest known era of the store.
	Era uint64 `cbor:"1,keyasint,omitempty"`
	// AnsweredMillis is the age of the latest known answer, and KnownMillis that of the
	// first one.
	AnsweredMillis uint32 `cbor:"2,keyasint,omitempty"`
	KnownMillis    uint32 `cbor:"3,keyasint,omitempty"`
	// ReturnedMillis is the age of the end of the latest known outage.
	ReturnedMillis uint32 `cbor:"4,keyasint,omitempty"`
}

// Datagram is the content of one QUIC datagram between peers.
type Datagram struct {
	Probe *Probe `cbor:"1,keyasint,omitempty"`
}

// SyncRequest states what the sender knows and asks a peer for everything that
// the sender does not have.
type SyncRequest struct {
	From Member `cbor:"1,keyasint"`
	// RevisionsInForce and RefusedRevisions hold the versions of the documents
	// that the sender uses and of those that it refused as invalid.
	RevisionsInForce []KeyRevision `cbor:"2,keyasint"`
	RefusedRevisions []KeyRevision `cbor:"3,keyasint,omitempty"`
	// SupersededRevisions holds the versions of what the store states although the
	// sender uses a newer document.
	SupersededRevisions []KeyRevision `cbor:"4,keyasint,omitempty"`
	// After asks for documents whose keys follow it only. A reply may not hold all that the
	// sender lacks.
	After string `cbor:"5,keyasint,omitempty"`
}

// SyncReply holds the state that the sender of a SyncRequest does not have.
type SyncReply struct {
	Documents       []Document       `cbor:"1,keyasint,omitempty"`
	Members         []Member         `cbor:"2,keyasint,omitempty"`
	LeavingReplicas []LeavingReplica `cbor:"3,keyasint,omitempty"`
	StoppedHomes    []StoppedHome    `cbor:"4,keyasint,omitempty"`
	// IsConfigured is set if the replying peer has the complete configuration, so
	// that the requesting one has it too once it has applied the documents.
	IsConfigured bool `cbor:"5,keyasint,omitempty"`
	// IsSettled is set if the replying peer can be expected to know all members.
	IsSettled bool `cbor:"6,keyasint,omitempty"`
	// ConfigurationEra and ConfigurationRevision are the newest version of the replying
	// peer's documents of the configuration.
	ConfigurationEra      uint64 `cbor:"7,keyasint,omitempty"`
	ConfigurationRevision uint64 `cbor:"8,keyasint,omitempty"`
	// Platform tells how old a removal may be that the requesting instance has missed.
	Platform PlatformTimes `cbor:"9,keyasint,omitzero"`
	// Next is set if documents are left out for which the reply has no room: the requesting
	// instance lacks some whose keys follow Next.
	Next string `cbor:"10,keyasint,omitempty"`
}

// KeyedResult is the outcome of a command with an idempotency key, as its home
// stores it until the key expires.
type KeyedResult struct {
	Key string `cbor:"1,keyasint"`
	// CommandDigest is a hash of the command. It serves to detect that a key is
	// reused for another command.
	CommandDigest uint64    `cbor:"2,keyasint"`
	Result        Result    `cbor:"3,keyasint"`
	ExpiresAt     time.Time `cbor:"4,keyasint"`
}

// Handover transfers the command outcomes of a stopping home to its successor.
type Handover struct {
	Home        string        `cbor:"1,keyasint"`
	Incarnation uint64        `cbor:"2,keyasint"`
	Results     []KeyedResult `cbor:"3,keyasint"`
	// ExpiresAt is the time by which all keys that the home issued have expired.
	ExpiresAt time.Time `cbor:"4,keyasint"`
}

// PeerRequest is one request on a stream between peers. Exactly one field is set.
type PeerRequest struct {
	Gossip   *Gossip      `cbor:"1,keyasint,omitempty"`
	Sync     *SyncRequest `cbor:"2,keyasint,omitempty"`
	Command  *Command     `cbor:"3,keyasint,omitempty"`
	Handover *Handover    `cbor:"4,keyasint,omitempty"`
	// IndirectProbe is the peer address to probe on behalf of the sender.
	IndirectProbe string `cbor:"5,keyasint,omitempty"`
	// ReadKeys asks for the documents of these keys.
	ReadKeys []string `cbor:"6,keyasint,omitempty"`
	// IsPing asks for an empty reply.
	IsPing bool `cbor:"7,keyasint,omitempty"`
	// HomeQuery asks a home for the answers of its shards. The home replies with a
	// sequence of PartialAnswer messages in place of a PeerReply.
	HomeQuery *HomeQuery `cbor:"8,keyasint,omitempty"`
}

// PeerReply is the answer to a PeerRequest.
type PeerReply struct {
	Sync   *SyncReply `cbor:"1,keyasint,omitempty"`
	Result *Result    `cbor:"2,keyasint,omitempty"`
	// IsAlive is set if the peer that IndirectProbe names answered, and in the
	// empty replies to other requests.
	IsAlive   bool       `cbor:"3,keyasint,omitempty"`
	Documents []Document `cbor:"4,keyasint,omitempty"`
}
