package control

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Times of membership.
const (
	// memberRetention is how long a failed or left member is remembered.
	memberRetention = 24 * time.Hour
	// markRetention is how long a leaving mark outlives its replica's last use.
	markRetention = 24 * time.Hour
)

// defaultReaders is ReadersPerFailureDomain where nothing sets it: one may be
// lost and another late.
const defaultReaders = 3

// State is all that control knows. Only the control goroutine touches it.
type State struct {
	Self             api.Member
	SuspicionTimeout time.Duration
	// ReadersPerFailureDomain is how many instances of a failure domain read
	// the platform for the others.
	ReadersPerFailureDomain int
	// ShardsPerHome is how many shards a home holds, about; 0 leaves it to their
	// number.
	ShardsPerHome int
	// DocumentsInForce holds the newest valid document of each key, deletions too.
	DocumentsInForce map[string]api.Received
	// RefusedDocuments holds the documents that are newer than those in force.
	RefusedDocuments map[string]api.Received
	Members          map[string]Member
	// PendingRemovals holds the removals that wait for the entry's return.
	PendingRemovals map[string]PendingRemoval
	// LeavingMarks holds when each leaving mark was learned.
	LeavingMarks map[api.LeavingMark]time.Time
	// StoppedHomes holds when each home that stopped with an heir was learned.
	StoppedHomes map[api.Stopped]time.Time
	// HeldSnapshots holds the snapshots that each replica last reported.
	HeldSnapshots map[string]message.ReplicaHeld
	// Replicas holds the published replicas, by name.
	Replicas        map[string]*view.Replica
	PlatformHeardAt time.Time
	StaleAnswers    int64

	viewNumber uint64
	// Both are kept from View to View until what they follow from changes.
	configuration configuration
	roles         roles
	// sortedDocuments holds the documents in force as of the last rebuild, in the order
	// of keys.
	sortedDocuments []api.Received
	homes           map[view.ShardKey]view.DomainHomes
	homedUpstreams  map[string]bool
	// homesInputHash sums up what homes follow from.
	homesInputHash uint64
}

// configuration is the part of a View that follows from the documents and
// from what replicas report.
type configuration struct {
	listedInstances  []api.Instance
	documentsInForce map[string]api.Document
	refusedDocuments map[string]api.Document
	indexes          map[string]view.Index
	scopes           map[string]view.Scope
	routes           view.Routes
	limits           api.CallerLimits
	keyStatuses      []view.KeyStatus
	digest           uint64
	leavingMarks     []view.Learned[api.LeavingMark]
}

// roles is the part of a View that follows from the membership.
type roles struct {
	stoppedHomes []view.Learned[api.Stopped]
	endedMembers map[string]time.Time
	neighbours   []string
	isReader     bool
	digest       uint64
}

// PendingRemoval is the removal of an entry that may have lapsed while the platform was
// away.
type PendingRemoval struct {
	Removal api.Received
	// Due is when the entry counts as gone.
	Due time.Time
}

// Member is a member and when its state was learned.
type Member struct {
	api.Member
	LearnedAt time.Time
}

// NewState returns the state of an instance that knows only itself.
func NewState(self api.Member, suspicionTimeout time.Duration, now time.Time) *State {
	return &State{
		Self:             self,
		SuspicionTimeout: suspicionTimeout,

		ReadersPerFailureDomain: defaultReaders,

		DocumentsInForce: make(map[string]api.Received),
		RefusedDocuments: make(map[string]api.Received),
		Members:          map[string]Member{self.Instance.Name: {Member: self, LearnedAt: now}},
		PendingRemovals:  make(map[string]PendingRemoval),
		LeavingMarks:     make(map[api.LeavingMark]time.Time),
		StoppedHomes:     make(map[api.Stopped]time.Time),
		HeldSnapshots:    make(map[string]message.ReplicaHeld),
		Replicas:         make(map[string]*view.Replica),
	}
}

// Apply applies one message and returns what the owner must do.
func Apply(state *State, news message.Message, now time.Time) Effects {
	switch news := news.(type) {
	case message.DocumentReceived:
		if news.MayHaveLapsed {
			return delayRemoval(state, news.Received, now)
		}
		return applyDocument(state, news.Received)
	case message.PlatformAnswered:
		return applyPlatformAnswered(state, news.At)
	case message.StaleAnswered:
		state.StaleAnswers++
		return Effects{PublishStats: true}
	case message.GossipReceived:
		return applyGossip(state, news.Gossip, now)
	case message.PeerProbed:
		return applyPeerProbed(state, news)
	case message.PeerUnreachable:
		return applyPeerUnreachable(state, news, now)
	case message.ReplicaLeaving:
		return applyLeavingMark(state, news.Mark, now)
	case message.ReplicaHeld:
		return applyHeld(state, news)
	case message.Refreshed:
		return Effects{ReleaseTraffic: true}
	case message.Stopping:
		return setOwnState(state, api.MemberLeaving, "", now)
	case message.Stopped:
		return setOwnState(state, api.MemberLeft, news.Heir, now)
	case message.Ticked:
		return applyTick(state, news.Gap, now)
	}
	return Effects{}
}

// applyDocument takes a document whose revision is newer than the one known.
// A broken document is remembered and changes nothing in force.
func applyDocument(state *State, received api.Received) Effects {
	document := received.Document
	if document.Revision <= state.DocumentsInForce[document.Key].Document.Revision {
		return Effects{}
	}
	if received.Refusal != "" {
		return applyRefused(state, received)
	}
	received.Instances = newerInstances(state.DocumentsInForce[document.Key].Instances, received.Instances)
	state.DocumentsInForce[document.Key] = received
	delete(state.PendingRemovals, document.Key)
	if state.RefusedDocuments[document.Key].Document.Revision < document.Revision {
		delete(state.RefusedDocuments, document.Key)
	}
	return documentChanged(document)
}

// newerInstances returns next, or the instances known where next names an
// older incarnation of one of them: a late write of a process that is gone.
func newerInstances(known, next *api.InstanceList) *api.InstanceList {
	if known == nil || next == nil {
		return next
	}
	incarnations := make(map[string]uint64, len(known.Instances))
	for _, instance := range known.Instances {
		incarnations[instance.Name] = instance.Incarnation
	}
	for _, instance := range next.Instances {
		if instance.Incarnation < incarnations[instance.Name] {
			return known
		}
	}
	return next
}

// removalDelay is how long an entry that may have lapsed while the platform was
// away counts as present; live instances register anew within about two
// seconds of the platform's return.
const removalDelay = 2500 * time.Millisecond

// delayRemoval keeps a removal back until the entry has had time to return.
func delayRemoval(state *State, received api.Received, now time.Time) Effects {
	document := received.Document
	if document.Revision <= state.DocumentsInForce[document.Key].Document.Revision {
		return Effects{}
	}
	if _, isHeld := state.PendingRemovals[document.Key]; !isHeld {
		state.PendingRemovals[document.Key] = PendingRemoval{Removal: received, Due: now.Add(removalDelay)}
	}
	return Effects{}
}

func applyDueRemovals(state *State, now time.Time) Effects {
	var effects Effects
	for key, lapse := range state.PendingRemovals {
		if now.After(lapse.Due) {
			delete(state.PendingRemovals, key)
			effects.merge(applyDocument(state, lapse.Removal))
		}
	}
	return effects
}

func applyRefused(state *State, received api.Received) Effects {
	document := received.Document
	if document.Revision <= state.RefusedDocuments[document.Key].Document.Revision {
		return Effects{}
	}
	state.RefusedDocuments[document.Key] = received
	return documentChanged(document)
}

func documentChanged(document api.Document) Effects {
	key := api.KeyRevision{Key: document.Key, Revision: document.Revision, Deleted: document.Deleted}
	return Effects{RebuildConfiguration: true, Gossip: api.Gossip{Keys: []api.KeyRevision{key}}}
}

func applyPlatformAnswered(state *State, at time.Time) Effects {
	if !at.After(state.PlatformHeardAt) {
		return Effects{}
	}
	state.PlatformHeardAt = at
	return Effects{PublishStats: true}
}

func applyLeavingMark(state *State, mark api.LeavingMark, now time.Time) Effects {
	since, isOver := learnTime(mark.AgeSeconds, markRetention, now)
	mark.AgeSeconds = 0
	if _, isKnown := state.LeavingMarks[mark]; isKnown || isOver {
		return Effects{}
	}
	state.LeavingMarks[mark] = since
	return Effects{RebuildConfiguration: true, Gossip: api.Gossip{Marks: []api.LeavingMark{mark}}}
}

func applyHeld(state *State, held message.ReplicaHeld) Effects {
	replica := state.Replicas[held.Replica]
	if replica == nil || replica.Instance.Incarnation != held.Incarnation {
		return Effects{}
	}
	state.HeldSnapshots[held.Replica] = held
	return Effects{RebuildConfiguration: true}
}

func applyTick(state *State, gap time.Duration, now time.Time) Effects {
	if gap > view.PauseThreshold {
		return applyPause(state, gap)
	}
	effects := failExpiredSuspects(state, now)
	effects.merge(applyDueRemovals(state, now))
	effects.merge(deleteExpired(state, now))
	return effects
}

// applyPause shifts the running timeouts by the pause, in which this process
// could not hear refutations.
func applyPause(state *State, gap time.Duration) Effects {
	for name, member := range state.Members {
		if member.State == api.MemberSuspect {
			member.LearnedAt = member.LearnedAt.Add(gap)
			state.Members[name] = member
		}
	}
	return Effects{RequestRefresh: true}
}

// learnTime returns when news of an age was first learned, and whether it is
// to be forgotten already.
func learnTime(ageSeconds uint32, forget time.Duration, now time.Time) (time.Time, bool) {
	age := time.Duration(ageSeconds) * time.Second
	return now.Add(-age), age >= forget
}

func deleteExpired(state *State, now time.Time) Effects {
	var effects Effects
	for name, member := range state.Members {
		isGone := member.State == api.MemberFailed || member.State == api.MemberLeft
		if isGone && now.Sub(member.LearnedAt) > memberRetention {
			delete(state.Members, name)
			effects.RebuildRoles = true
		}
	}
	for stopped, since := range state.StoppedHomes {
		if now.Sub(since) > memberRetention {
			delete(state.StoppedHomes, stopped)
			effects.RebuildRoles = true
		}
	}
	for mark, since := range state.LeavingMarks {
		replica := state.Replicas[mark.Replica]
		isInUse := replica != nil && replica.Instance.Incarnation == mark.Incarnation
		if !isInUse && now.Sub(since) > markRetention {
			delete(state.LeavingMarks, mark)
			effects.RebuildConfiguration = true
		}
	}
	return effects
}

// SetPeerAddress sets the address that peers connect to, once it is known.
func (state *State) SetPeerAddress(address string, now time.Time) {
	state.Self.Instance.PeerAddress = address
	state.Members[state.Self.Instance.Name] = Member{Member: state.Self, LearnedAt: now}
}
