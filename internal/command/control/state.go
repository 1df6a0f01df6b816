package control

import (
	"maps"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/schedule/peer"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// memberRetention is how long a failed or left member, or a stopped home,
	// stays in the state after it was learned.
	memberRetention = 24 * time.Hour
	// leavingRetention is the least time that a leaving replica stays in
	// State.LeavingReplicas after it was learned. It also stays there while it is
	// published.
	leavingRetention = 24 * time.Hour
)

// defaultReaders is the default of State.ReadersPerFailureDomain. With three
// readers, changes still arrive when one has failed and another is slow.
const defaultReaders = 3

// State holds the control state of one instance. It has no lock: once Control
// has started, only its goroutine may access a State.
type State struct {
	// Self is this instance's own member entry.
	Self api.Member
	// SuspicionTimeout is how long a member may stay suspect before it counts
	// as failed.
	SuspicionTimeout time.Duration
	// ReadersPerFailureDomain is the number of instances in each failure domain
	// that read the platform's documents on behalf of the others.
	ReadersPerFailureDomain int
	// ShardsPerHome is the approximate number of shards that AssignHomes gives
	// to each home. With 0 it is derived from the number of shards; with
	// HomesDisabled no homes are assigned.
	ShardsPerHome int
	// PacesReplicas is set if replicas that have just started, have become cold or
	// have recovered are paced.
	PacesReplicas bool
	// ColdOvershoot and ColdSlack are those of the schedule.ColdBound of all upstreams.
	ColdOvershoot, ColdSlack float64
	// ChooseServing returns the names of the serving members, or nil if all are. It is
	// an instantiation of peer.Serving.
	ChooseServing func(members map[string]api.Member) map[string]bool
	// ChooseSenders returns the names of the members that divide a part of the retry
	// budget's slack, or nil if all divide it equally. It is an instantiation of
	// peer.ChooseSenders.
	ChooseSenders func(members map[string]api.Member) map[string]bool
	// DocumentsInForce holds the newest valid document of each key by
	// api.Precedence, including deletions.
	DocumentsInForce map[string]api.DecodedDocument
	// IsConfigured is set once the documents of the whole configuration have been
	// received. Until then, an unknown scope or route may only not have arrived.
	IsConfigured bool
	// configuredFrom is from when on the instance serves by the documents that it has, if
	// no peer has sent it the whole configuration by then; zero if it need not wait.
	configuredFrom time.Time
	// IsSettled is set once this instance can be expected to know the other
	// instances. It is never reset.
	IsSettled bool
	// HasPredecessor is set if others counted an earlier process of this instance's name
	// among the members when this one started.
	HasPredecessor bool
	// startedAt is when this instance started, and memberJoinedAt when it last
	// learned of an instance that it did not know.
	startedAt, memberJoinedAt time.Time
	// SupersededDocuments holds, by key, the latest valid document that the store stated,
	// if it stated that after the one in force, which has a higher number.
	SupersededDocuments map[string]SupersededDocument
	// RefusedDocuments holds, by key, the latest invalid or ignored document that the store
	// stated after all valid ones, without its value.
	RefusedDocuments map[string]api.DecodedDocument
	// retention is what is known of the documents that are of no use.
	retention retention
	// Members holds all known instances by name, including this one.
	Members map[string]Member
	// PendingDocuments holds, by key, the documents that are not applied yet because
	// the key may still be written again.
	PendingDocuments map[string]PendingDocument
	// LeavingReplicas maps each replica that is known to leave to the time at which
	// this was learned.
	LeavingReplicas map[api.LeavingReplica]time.Time
	// StoppedHomes maps each home that stopped and named a successor to the time at
	// which this was learned.
	StoppedHomes map[api.StoppedHome]time.Time
	// SnapshotReports holds the last report of each replica about the snapshots
	// that it holds, by the replica's name.
	SnapshotReports map[string]message.ReplicaSnapshotsReported
	// Replicas holds the replicas of the last built configuration, by name.
	Replicas map[string]*view.Replica
	// PlatformAnsweredAt is the time of the latest known answer of the platform.
	PlatformAnsweredAt time.Time
	// PlatformKnownSince is the time of the first known answer of the platform, and
	// PlatformReturnedAt the end of its latest known outage; zero if none is known.
	PlatformKnownSince, PlatformReturnedAt time.Time
	// OutageAfter is the time without a known answer of the platform after which it may
	// have been unavailable. An instance that learns of no answer reads earlier than that
	// itself.
	OutageAfter time.Duration
	// ListedVersion is the version of the latest listing of all documents that this
	// instance has read. An older document that it lacked has been removed.
	ListedVersion api.Version
	// listedPages is what is known of a later listing that is not complete.
	listedPages listedPages
	// RemovalCounts counts the decisions about removals.
	RemovalCounts map[view.RemovalRule]int64
	// StaleAnswers counts the platform's answers with an outdated version.
	StaleAnswers int64
	// Era is the highest known era of the platform's store.
	Era uint64
	// eraLearnedAt is when this instance learned of Era, and isEraSettled is set once it
	// can be expected to know what the store states in it.
	eraLearnedAt time.Time
	isEraSettled bool
	// ConfigurationVersion is the newest version of the documents that define what
	// requests are sent where, and CoveredVersion that up to which the instance has them
	// all. It is higher if no such document changed before a listing.
	ConfigurationVersion, CoveredVersion api.Version
	// AnnouncedVersion is the newest ConfigurationVersion of a peer, and
	// ConfigurationLackedSince when one first was newer than CoveredVersion; zero while
	// none is.
	AnnouncedVersion         api.Version
	ConfigurationLackedSince time.Time

	// viewNumber is the number of the last built View.
	viewNumber uint64
	// configuration and roles are reused by later Views until Build is asked to
	// rebuild them.
	configuration configuration
	documents     documents
	roles         roles
	// sortedDocuments holds the documents in force that are not deletions,
	// sorted by key, as of the last rebuild of the documents.
	sortedDocuments []api.DecodedDocument
	// homes and homedUpstreams are the last assignment of homes, in the form in
	// which Views hold it.
	homes          map[view.ShardKey]view.DomainHomes
	homedUpstreams map[string]bool
	// preferredDomains is the result of PreferredDomains for them.
	preferredDomains []string
	// homesInputHash is the hash of the input from which homes were assigned.
	homesInputHash uint64
	// coldRoles holds this instance's part in the sending to cold replicas, by
	// upstream.
	coldRoles map[string]coldRole
	// startedReplicas holds the replicas whose pace begins with the next View.
	startedReplicas []*view.Replica
	// isPacingNew is set once a View with the whole configuration was built. Replicas
	// that are first seen later have just started.
	isPacingNew bool
}

// configuration is the part of a View that is derived from the documents, the
// leaving replicas and the snapshot reports of replicas.
type configuration struct {
	listedInstances  []api.Instance
	indexes          map[string]view.Index
	scopes           map[string]view.Scope
	routes           view.Routes
	limits           api.CallerLimits
	evacuatedDomains []string
	leavingReplicas  []view.Timestamped[api.LeavingReplica]
}

// documents is the part of a View that states which documents are known.
type documents struct {
	documentsInForce map[string]api.Document
	refusedDocuments map[string]api.Document

	supersededDocuments map[string]api.Document
	supersededKeys      []view.SupersededKey

	keyStatuses []view.KeyStatus
	unusedKeys  view.UnusedKeys
	removedAt   map[string]time.Time
	digest      uint64
}

// roles is the part of a View that is derived from the membership.
type roles struct {
	stoppedHomes []view.Timestamped[api.StoppedHome]
	endedAt      map[string]time.Time
	neighbours   Neighbourhood
	isReader     bool
	serving      map[string]bool
	senders      peer.Senders
	digest       uint64
}

// Member is a member with the time at which its current state was learned.
type Member struct {
	api.Member
	LearnedAt time.Time
}

// NewState returns the state of an instance whose only known member is itself.
func NewState(self api.Member, suspicionTimeout time.Duration, now time.Time) *State {
	return &State{
		Self:             self,
		SuspicionTimeout: suspicionTimeout,

		startedAt:      now,
		memberJoinedAt: now,

		ReadersPerFailureDomain: defaultReaders,
		OutageAfter:             defaultOutageAfter,
		ChooseServing:           peer.Serving[peer.AllMembers],
		ChooseSenders:           peer.ChooseSenders[peer.AllMembers],

		DocumentsInForce: make(map[string]api.DecodedDocument),
		RefusedDocuments: make(map[string]api.DecodedDocument),
		retention:        newRetention(),
		Members:          map[string]Member{self.Instance.Name: {Member: self, LearnedAt: now}},
		PendingDocuments: make(map[string]PendingDocument),

		SupersededDocuments: make(map[string]SupersededDocument),

		RemovalCounts:   make(map[view.RemovalRule]int64),
		LeavingReplicas: make(map[api.LeavingReplica]time.Time),
		StoppedHomes:    make(map[api.StoppedHome]time.Time),
		SnapshotReports: make(map[string]message.ReplicaSnapshotsReported),
		Replicas:        make(map[string]*view.Replica),
	}
}

// Apply applies one message to state and returns the actions that the caller
// has to take.
func Apply(state *State, received message.Message, now time.Time) Effects {
	switch received := received.(type) {
	case message.DocumentReceived:
		return receiveDocument(state, received, now)
	case message.ListingReceived:
		return applyListing(state, received, now)
	case message.ConfigurationReceived:
		return applyConfigurationReceived(state, received, now)
	case message.ConfigurationAnnounced:
		return applyConfigurationAnnounced(state, received, now)
	case message.MembersReceived:
		return settle(state)
	case message.PlatformAnswered:
		return applyPlatformAnswered(state, received, now)
	case message.StaleAnswerReceived:
		state.StaleAnswers++
		return Effects{PublishStats: true}
	case message.GossipReceived:
		return applyGossip(state, received.Gossip, now)
	case message.PeerProbed:
		return applyPeerProbed(state, received)
	case message.PeerUnreachable:
		return applyPeerUnreachable(state, received, now)
	case message.OverloadChanged:
		return applyOverloadChanged(state, received.IsOverloaded, now)
	case message.ReplicaLeaving:
		return applyLeavingReplica(state, received.LeavingReplica, now)
	case message.ReplicaSnapshotsReported:
		return applySnapshotsReported(state, received)
	case message.RefreshCompleted:
		return Effects{EndRefresh: true}
	case message.ShutdownStarted:
		return setOwnState(state, api.MemberLeaving, "", now)
	case message.SuccessorChosen:
		return setOwnState(state, api.MemberLeft, received.Successor, now)
	case message.Ticked:
		return applyTick(state, received.Gap, now)
	}
	return Effects{}
}

const (
	// settleTime is how long no unknown instance must have been learned of for this
	// instance to count as knowing all. Instances that start at the same time learn
	// of each other in waves that are closer together.
	settleTime = 300 * time.Millisecond
	// maxSettleTime is the longest time that an instance takes to settle.
	maxSettleTime = 1500 * time.Millisecond
)

// settleInTime settles the instance if it has not learned of another one for
// settleTime, or after maxSettleTime.
func settleInTime(state *State, now time.Time) Effects {
	isDue := now.Sub(state.memberJoinedAt) >= settleTime && len(state.Members) > 1
	if state.IsSettled || !isDue && now.Sub(state.startedAt) < maxSettleTime {
		return Effects{}
	}
	return settle(state)
}

// settle records that the instance knows the others. Homes are assigned from then
// on: homes of an instance that knows only itself would be itself for all shards,
// and many instances that start together would open more connections to the replicas
// than these accept.
func settle(state *State) Effects {
	if state.IsSettled {
		return Effects{}
	}
	state.IsSettled = true
	return Effects{RebuildConfiguration: true, RebuildRoles: true}
}

// applyLeavingReplica records that one incarnation of a replica is leaving.
func applyLeavingReplica(state *State, leavingreplica api.LeavingReplica, now time.Time) Effects {
	learnedAt, isExpired := learnTime(leavingreplica.AgeSeconds, leavingRetention, now)
	leavingreplica.AgeSeconds = 0
	if _, isKnown := state.LeavingReplicas[leavingreplica]; isKnown || isExpired {
		return Effects{}
	}
	state.LeavingReplicas[leavingreplica] = learnedAt
	return Effects{RebuildConfiguration: true, Gossip: api.Gossip{LeavingReplicas: []api.LeavingReplica{leavingreplica}}}
}

// applyObservedLeaving records the replicas that announced that they are leaving,
// where a full mailbox dropped the report. Without a record, a replica whose entry is
// removed and registered again would be used again.
func applyObservedLeaving(state *State, now time.Time) Effects {
	var effects Effects
	for name, replica := range state.Replicas {
		if !replica.Stats.IsLeaving.Load() || replica.Instance.State == api.InstanceLeaving {
			continue
		}
		leavingreplica := api.LeavingReplica{Replica: name, Incarnation: replica.Instance.Incarnation}
		effects.merge(applyLeavingReplica(state, leavingreplica, now))
	}
	return effects
}

// applySnapshotsReported records a snapshot report, unless it is of a replica or an
// incarnation that is not published.
func applySnapshotsReported(state *State, replicasnapshotsreported message.ReplicaSnapshotsReported) Effects {
	replica := state.Replicas[replicasnapshotsreported.Replica]
	if replica == nil || replica.Instance.Incarnation != replicasnapshotsreported.Incarnation {
		return Effects{}
	}
	state.SnapshotReports[replicasnapshotsreported.Replica] = replicasnapshotsreported
	return Effects{RebuildConfiguration: true}
}

// applyTick applies the timeouts that have expired by now. After a pause of the
// process it extends them instead; gap is the length of the pause, or 0 if there
// was none.
func applyTick(state *State, gap time.Duration, now time.Time) Effects {
	if gap > view.PauseThreshold {
		return applyPause(state, gap)
	}
	effects := settleInTime(state, now)
	effects.merge(configureInTime(state, now))
	effects.merge(settleEra(state, now))
	effects.merge(failExpiredSuspects(state, now))
	effects.merge(applyDueDocuments(state, now))
	effects.merge(applyObservedLeaving(state, now))
	effects.merge(deleteExpired(state, now))
	effects.merge(forgetRemovals(state, now))
	return effects
}

// applyPause extends the running suspicion timeouts by the length of the pause,
// because the paused process could not receive refutations, and the time for which
// older documents are held back. It also requests a refresh of the state.
func applyPause(state *State, gap time.Duration) Effects {
	for name, member := range state.Members {
		if member.State == api.MemberSuspect {
			member.LearnedAt = member.LearnedAt.Add(gap)
			state.Members[name] = member
		}
	}
	extendHoldBack(state, gap)
	return Effects{BeginRefresh: true}
}

// learnTime returns the time at which the first instance learned an entry that is
// now ageSeconds old, and whether the retention of the entry is over already.
func learnTime(ageSeconds uint32, retention time.Duration, now time.Time) (time.Time, bool) {
	age := time.Duration(ageSeconds) * time.Second
	return now.Add(-age), age >= retention
}

// deleteExpired deletes ended members, stopped homes and leaving replicas whose
// retention is over.
func deleteExpired(state *State, now time.Time) Effects {
	var effects Effects
	for name, member := range state.Members {
		isEnded := member.State == api.MemberFailed || member.State == api.MemberLeft
		if isEnded && now.Sub(member.LearnedAt) > memberRetention {
			delete(state.Members, name)
			effects.RebuildRoles = true
		}
	}
	if deleteEndedMembers(state) > 0 {
		effects.RebuildRoles = true
	}
	for stoppedhome, learnedAt := range state.StoppedHomes {
		if now.Sub(learnedAt) > memberRetention {
			delete(state.StoppedHomes, stoppedhome)
			effects.RebuildRoles = true
		}
	}
	for leavingreplica, learnedAt := range state.LeavingReplicas {
		if !isPublished(state, leavingreplica) && now.Sub(learnedAt) > leavingRetention {
			delete(state.LeavingReplicas, leavingreplica)
			effects.RebuildConfiguration = true
		}
	}
	if deleteOldest(state.LeavingReplicas, maxLeavingReplicas, func(leavingreplica api.LeavingReplica) bool { return isPublished(state, leavingreplica) }) > 0 {
		effects.RebuildConfiguration = true
	}
	if deleteOldest(state.StoppedHomes, maxStoppedHomes, func(api.StoppedHome) bool { return false }) > 0 {
		effects.RebuildRoles = true
	}
	return effects
}

// deleteEndedMembers deletes those of more than maxEndedMembers members that failed or left
// first, and returns how many it deleted.
func deleteEndedMembers(state *State) int {
	if len(state.Members) <= maxEndedMembers {
		return 0
	}
	ended := endedMembers(state.Members)
	kept := maps.Clone(ended)
	deletedCount := deleteOldest(kept, maxEndedMembers, func(string) bool { return false })
	for name := range ended {
		if _, isKept := kept[name]; !isKept {
			delete(state.Members, name)
		}
	}
	return deletedCount
}

// isPublished reports whether the incarnation of the replica is published.
func isPublished(state *State, leavingreplica api.LeavingReplica) bool {
	replica := state.Replicas[leavingreplica.Replica]
	return replica != nil && replica.Instance.Incarnation == leavingreplica.Incarnation
}

// SetPeerAddress sets the address to which peers connect. It must be called
// before Control is started.
func (state *State) SetPeerAddress(address string, now time.Time) {
	state.Self.Instance.PeerAddress = address
	state.Members[state.Self.Instance.Name] = Member{Member: state.Self, LearnedAt: now}
}
