// Package message holds the messages that the control goroutine applies.
package message

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// Message is one of the message types of this file.
type Message interface{ message() }

// DocumentReceived brings a document of the platform or of a peer.
type DocumentReceived struct {
	Decoded api.DecodedDocument
	// MayHaveLapsed marks a removal that may be of an entry whose lease ended
	// while the platform was away.
	MayHaveLapsed bool
}

// PlatformAnswered says that the platform answered a call.
type PlatformAnswered struct {
	At time.Time
}

// StaleAnswerReceived says that the platform answered with an old revision.
type StaleAnswerReceived struct{}

// GossipReceived brings news of a peer.
type GossipReceived struct {
	Gossip api.Gossip
}

// PeerProbed brings what a probe of a peer said.
type PeerProbed struct {
	Name string
	Load int
}

// PeerUnreachable says that neither a probe nor an indirect probe was
// acknowledged.
type PeerUnreachable struct {
	Name        string
	Incarnation uint64
}

// ReplicaLeaving says that a replica announced its draining.
type ReplicaLeaving struct {
	LeavingReplica api.LeavingReplica
}

// ReplicaSnapshotsReported says which snapshots a replica holds.
type ReplicaSnapshotsReported struct {
	Replica       string
	Incarnation   uint64
	HeldSnapshots []uint64
}

// RefreshCompleted ends the refresh after a pause of the process.
type RefreshCompleted struct{}

// ShutdownStarted starts the graceful shutdown: the instance leaves the addresses.
type ShutdownStarted struct{}

// SuccessorChosen names the heir of the command outcomes, before the process ends.
type SuccessorChosen struct {
	Successor string
}

// Ticked is sent by the control loop itself.
type Ticked struct {
	// Gap is the time since the last tick.
	Gap time.Duration
}

func (DocumentReceived) message()         {}
func (PlatformAnswered) message()         {}
func (StaleAnswerReceived) message()      {}
func (GossipReceived) message()           {}
func (PeerProbed) message()               {}
func (PeerUnreachable) message()          {}
func (ReplicaLeaving) message()           {}
func (ReplicaSnapshotsReported) message() {}
func (RefreshCompleted) message()         {}
func (ShutdownStarted) message()          {}
func (SuccessorChosen) message()          {}
func (Ticked) message()                   {}
