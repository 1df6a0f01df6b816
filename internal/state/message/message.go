// Package message defines the messages that the control goroutine applies to
// its state.
package message

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// Message is implemented by the message types of this file.
type Message interface{ message() }

// DocumentReceived reports a document that the platform or a peer sent.
type DocumentReceived struct {
	Decoded api.DecodedDocument
	// IsFromPlatform is set if the platform sent the document to this instance.
	IsFromPlatform bool
}

// ListingReceived reports that every document of a page of a listing of all documents has
// been sent as DocumentReceived.
type ListingReceived struct {
	// Version is the store's version at the time of the first page.
	Version api.Version
	// Keys holds the keys of the page: all that the store has after the key After, up to
	// the key Through, or to the end if Through is empty.
	Keys           map[string]bool
	After, Through string
	// IsPart is set if the page does not complete the listing, because pages follow or
	// because others could not be decoded.
	IsPart bool
}

// ConfigurationReceived reports that every document which the platform, or a
// configured peer, had when it was asked has been sent as DocumentReceived.
type ConfigurationReceived struct {
	// Version is the version up to which these are all documents that define the
	// configuration; the zero Version if it is not known.
	Version api.Version
	// NotBefore is from when on the instance may serve by these documents; zero if at
	// once. Documents of a peer that come earlier end the wait.
	NotBefore time.Time
}

// ConfigurationAnnounced reports the newest version of a peer's documents of the
// configuration.
type ConfigurationAnnounced struct {
	Version api.Version
}

// MembersReceived reports that a settled peer sent all members that it knows.
type MembersReceived struct{}

// PlatformAnswered reports that the platform answered a request of this instance, or what
// a peer knows of its answers.
type PlatformAnswered struct {
	AnsweredAt time.Time
	// Era is the store's era; 0 if it is not known.
	Era uint64
	// KnownSince is the time of the first answer that the sender knows of; zero if that
	// is the one at AnsweredAt.
	KnownSince time.Time
	// ReturnedAt is the end of the latest outage that the sender knows of; zero if it
	// knows of none.
	ReturnedAt time.Time
	// IsAfterFailure is set on the first answer after calls of this instance that
	// failed.
	IsAfterFailure bool
}

// StaleAnswerReceived reports that the platform answered with an older version
// than the one already known.
type StaleAnswerReceived struct{}

// GossipReceived reports changes that a peer sent.
type GossipReceived struct {
	Gossip api.Gossip
}

// PeerProbed reports the load that a peer stated in a probe.
type PeerProbed struct {
	Name string
	Load int
}

// PeerUnreachable reports that a peer acknowledged neither a direct nor an
// indirect probe.
type PeerUnreachable struct {
	Name        string
	Incarnation uint64
}

// OverloadChanged reports that this instance has become overloaded or no longer is.
type OverloadChanged struct {
	IsOverloaded bool
}

// ReplicaLeaving reports that a replica announced that it is draining.
type ReplicaLeaving struct {
	LeavingReplica api.LeavingReplica
}

// ReplicaSnapshotsReported reports which snapshots a replica holds.
type ReplicaSnapshotsReported struct {
	Replica       string
	Incarnation   uint64
	HeldSnapshots []uint64
}

// RefreshCompleted reports that the state was synchronized again after a pause
// of the process.
type RefreshCompleted struct{}

// ShutdownStarted starts the graceful shutdown: the instance is no longer among
// the addresses that callers are given.
type ShutdownStarted struct{}

// SuccessorChosen names the member that takes over this instance's command
// outcomes. It is sent before the process ends.
type SuccessorChosen struct {
	Successor string
}

// Ticked is sent periodically by the control loop itself.
type Ticked struct {
	// Gap is the time since the previous tick.
	Gap time.Duration
}

func (DocumentReceived) message()         {}
func (ListingReceived) message()          {}
func (ConfigurationReceived) message()    {}
func (ConfigurationAnnounced) message()   {}
func (MembersReceived) message()          {}
func (PlatformAnswered) message()         {}
func (StaleAnswerReceived) message()      {}
func (GossipReceived) message()           {}
func (PeerProbed) message()               {}
func (PeerUnreachable) message()          {}
func (OverloadChanged) message()          {}
func (ReplicaLeaving) message()           {}
func (ReplicaSnapshotsReported) message() {}
func (RefreshCompleted) message()         {}
func (ShutdownStarted) message()          {}
func (SuccessorChosen) message()          {}
func (Ticked) message()                   {}
