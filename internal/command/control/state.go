package control

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Times of membership.
const (
	// memberForget is how long a failed or left member is remembered.
	memberForget = 24 * time.Hour
	// markForget is how long a leaving mark outlives its replica's last use.
	markForget = 24 * time.Hour
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
	// InForce holds the newest valid document of each key, deletions too.
	InForce map[string]api.DecodedDocument
	// Refused holds the documents that are newer than those in force.
	Refused map[string]api.DecodedDocument
	Members map[string]Member
	// Lapsed holds the removals that wait for the entry's return.
	Lapsed map[string]Lapse
	// Marks holds when each leaving mark was learned.
	Marks map[api.LeavingReplica]time.Time
	// Stopped holds when each home that stopped with an heir was learned.
	Stopped map[api.StoppedHome]time.Time
	// Held holds the snapshots that each replica last reported.
	Held map[string]message.ReplicaSnapshotsReported
	// Replicas holds the published replicas, by name.
	Replicas        map[string]*view.Replica
	PlatformHeardAt time.Time
	StaleAnswers    int64

	number uint64
	// Both are kept from View to View until what they follow from changes.
	configuration configuration
	roles         roles
	// ordered holds the documents in force as of the last rebuild, in the order
	// of keys.
	ordered        []api.DecodedDocument
	homes          map[view.ShardKey]view.DomainHomes
	homedUpstreams map[string]bool
	// homesInput sums up what homes follow from.
	homesInput uint64
}

// configuration is the part of a View that follows from the documents and
// from what replicas report.
type configuration struct {
	listed  []api.Instance
	inForce map[string]api.Document
	refused map[string]api.Document
	indexes map[string]view.Index
	scopes  map[string]view.Scope
	routes  view.Routes
	limits  api.CallerLimits
	keys    []view.KeyStatus
	digest  uint64
	marks   []view.Timestamped[api.LeavingReplica]
}

// roles is the part of a View that follows from the membership.
type roles struct {
	stopped    []view.Timestamped[api.StoppedHome]
	ended      map[string]time.Time
	neighbours []string
	isReader   bool
	digest     uint64
}

// Lapse is the removal of an entry that may have lapsed while the platform was
// away.
type Lapse struct {
	Removal api.DecodedDocument
	// Due is when the entry counts as gone.
	Due time.Time
}

// Member is a member and when its state was learned.
type Member struct {
	api.Member
	Since time.Time
}

// NewState returns the state of an instance that knows only itself.
func NewState(self api.Member, suspicionTimeout time.Duration, now time.Time) *State {
	return &State{
		Self:             self,
		SuspicionTimeout: suspicionTimeout,

		ReadersPerFailureDomain: defaultReaders,

		InForce:  make(map[string]api.DecodedDocument),
		Refused:  make(map[string]api.DecodedDocument),
		Members:  map[string]Member{self.Instance.Name: {Member: self, Since: now}},
		Lapsed:   make(map[string]Lapse),
		Marks:    make(map[api.LeavingReplica]time.Time),
		Stopped:  make(map[api.StoppedHome]time.Time),
		Held:     make(map[string]message.ReplicaSnapshotsReported),
		Replicas: make(map[string]*view.Replica),
	}
}

// Apply applies one message and returns what the owner must do.
func Apply(state *State, news message.Message, now time.Time) Effects {
	switch news := news.(type) {
	case message.DocumentReceived:
		if news.MayHaveLapsed {
			return holdRemoval(state, news.Decoded, now)
		}
		return applyDocument(state, news.Decoded)
	case message.PlatformAnswered:
		return applyPlatformAnswered(state, news.At)
	case message.StaleAnswerReceived:
		state.StaleAnswers++
		return Effects{Figures: true}
	case message.GossipReceived:
		return applyGossip(state, news.Gossip, now)
	case message.PeerProbed:
		return applyPeerProbed(state, news)
	case message.PeerUnreachable:
		return applyUnreachable(state, news, now)
	case message.ReplicaLeaving:
		return applyMark(state, news.LeavingReplica, now)
	case message.ReplicaSnapshotsReported:
		return applyHeld(state, news)
	case message.RefreshCompleted:
		return Effects{Release: true}
	case message.ShutdownStarted:
		return applySelf(state, api.MemberLeaving, "", now)
	case message.SuccessorChosen:
		return applySelf(state, api.MemberLeft, news.Successor, now)
	case message.Ticked:
		return applyTick(state, news.Gap, now)
	}
	return Effects{}
}

// applyDocument takes a document whose revision is newer than the one known.
// A broken document is remembered and changes nothing in force.
func applyDocument(state *State, received api.DecodedDocument) Effects {
	document := received.Document
	if document.Revision <= state.InForce[document.Key].Document.Revision {
		return Effects{}
	}
	if received.RefusalReason != "" {
		return applyRefused(state, received)
	}
	received.Instances = newerInstances(state.InForce[document.Key].Instances, received.Instances)
	state.InForce[document.Key] = received
	delete(state.Lapsed, document.Key)
	if state.Refused[document.Key].Document.Revision < document.Revision {
		delete(state.Refused, document.Key)
	}
	return documentNews(document)
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

// lapseTime is how long an entry that may have lapsed while the platform was
// away counts as present; live instances register anew within about two
// seconds of the platform's return.
const lapseTime = 2500 * time.Millisecond

// holdRemoval keeps a removal back until the entry has had time to return.
func holdRemoval(state *State, received api.DecodedDocument, now time.Time) Effects {
	document := received.Document
	if document.Revision <= state.InForce[document.Key].Document.Revision {
		return Effects{}
	}
	if _, isHeld := state.Lapsed[document.Key]; !isHeld {
		state.Lapsed[document.Key] = Lapse{Removal: received, Due: now.Add(lapseTime)}
	}
	return Effects{}
}

func expireLapsed(state *State, now time.Time) Effects {
	var effects Effects
	for key, lapse := range state.Lapsed {
		if now.After(lapse.Due) {
			delete(state.Lapsed, key)
			effects.merge(applyDocument(state, lapse.Removal))
		}
	}
	return effects
}

func applyRefused(state *State, received api.DecodedDocument) Effects {
	document := received.Document
	if document.Revision <= state.Refused[document.Key].Document.Revision {
		return Effects{}
	}
	state.Refused[document.Key] = received
	return documentNews(document)
}

func documentNews(document api.Document) Effects {
	key := api.KeyRevision{Key: document.Key, Revision: document.Revision, IsDeleted: document.IsDeleted}
	return Effects{Rebuild: true, Gossip: api.Gossip{Keys: []api.KeyRevision{key}}}
}

func applyPlatformAnswered(state *State, at time.Time) Effects {
	if !at.After(state.PlatformHeardAt) {
		return Effects{}
	}
	state.PlatformHeardAt = at
	return Effects{Figures: true}
}

func applyMark(state *State, mark api.LeavingReplica, now time.Time) Effects {
	since, isOver := learnedAt(mark.AgeSeconds, markForget, now)
	mark.AgeSeconds = 0
	if _, isKnown := state.Marks[mark]; isKnown || isOver {
		return Effects{}
	}
	state.Marks[mark] = since
	return Effects{Rebuild: true, Gossip: api.Gossip{LeavingReplicas: []api.LeavingReplica{mark}}}
}

func applyHeld(state *State, held message.ReplicaSnapshotsReported) Effects {
	replica := state.Replicas[held.Replica]
	if replica == nil || replica.Instance.Incarnation != held.Incarnation {
		return Effects{}
	}
	state.Held[held.Replica] = held
	return Effects{Rebuild: true}
}

func applyTick(state *State, gap time.Duration, now time.Time) Effects {
	if gap > view.PauseThreshold {
		return applyPause(state, gap)
	}
	effects := expireSuspects(state, now)
	effects.merge(expireLapsed(state, now))
	effects.merge(forget(state, now))
	return effects
}

// applyPause shifts the running timeouts by the pause, in which this process
// could not hear refutations.
func applyPause(state *State, gap time.Duration) Effects {
	for name, member := range state.Members {
		if member.State == api.MemberSuspect {
			member.Since = member.Since.Add(gap)
			state.Members[name] = member
		}
	}
	return Effects{Refresh: true}
}

// learnedAt returns when news of an age was first learned, and whether it is
// to be forgotten already.
func learnedAt(ageSeconds uint32, forget time.Duration, now time.Time) (time.Time, bool) {
	age := time.Duration(ageSeconds) * time.Second
	return now.Add(-age), age >= forget
}

func forget(state *State, now time.Time) Effects {
	var effects Effects
	for name, member := range state.Members {
		isGone := member.State == api.MemberFailed || member.State == api.MemberLeft
		if isGone && now.Sub(member.Since) > memberForget {
			delete(state.Members, name)
			effects.Membership = true
		}
	}
	for stopped, since := range state.Stopped {
		if now.Sub(since) > memberForget {
			delete(state.Stopped, stopped)
			effects.Membership = true
		}
	}
	for mark, since := range state.Marks {
		replica := state.Replicas[mark.Replica]
		isInUse := replica != nil && replica.Instance.Incarnation == mark.Incarnation
		if !isInUse && now.Sub(since) > markForget {
			delete(state.Marks, mark)
			effects.Rebuild = true
		}
	}
	return effects
}

// SetPeerAddress sets the address that peers connect to, once it is known.
func (state *State) SetPeerAddress(address string, now time.Time) {
	state.Self.Instance.PeerAddress = address
	state.Members[state.Self.Instance.Name] = Member{Member: state.Self, Since: now}
}
