package control

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
)

// applyGossip applies the members, leaving replicas and stopped homes that a peer
// sent. Documents are not applied here: gossip only names their revisions.
func applyGossip(state *State, gossip api.Gossip, now time.Time) Effects {
	var effects Effects
	for _, member := range gossip.Members {
		effects.merge(applyMemberUpdate(state, member, now))
	}
	for _, leavingreplica := range gossip.LeavingReplicas {
		effects.merge(applyLeavingReplica(state, leavingreplica, now))
	}
	for _, stoppedhome := range gossip.StoppedHomes {
		effects.merge(applyStoppedHome(state, stoppedhome, now))
	}
	return effects
}

// applyStoppedHome records the successor of a home that stopped: the instance that
// holds its command outcomes now. The record is kept even if a new incarnation
// has started under the home's name.
func applyStoppedHome(state *State, stoppedhome api.StoppedHome, now time.Time) Effects {
	learnedAt, isExpired := learnTime(stoppedhome.AgeSeconds, memberRetention, now)
	stoppedhome.AgeSeconds = 0
	if _, isKnown := state.StoppedHomes[stoppedhome]; isKnown || isExpired {
		return Effects{}
	}
	state.StoppedHomes[stoppedhome] = learnedAt
	return Effects{RebuildRoles: true, Gossip: api.Gossip{StoppedHomes: []api.StoppedHome{stoppedhome}}}
}

// applyMemberUpdate stores what a peer sent about a member if it supersedes what
// is known. The load is not part of an update: probes report it.
func applyMemberUpdate(state *State, update api.Member, now time.Time) Effects {
	if update.Instance.Name == state.Self.Instance.Name {
		return applyUpdateAboutSelf(state, update, now)
	}
	known, isKnown := state.Members[update.Instance.Name]
	learnedAt, isExpired := learnTime(update.AgeSeconds, memberRetention, now)
	if isKnown && !Supersedes(update, known.Member) || isExpired {
		return Effects{}
	}
	if !isKnown {
		state.memberJoinedAt = now
	}
	update.AgeSeconds = 0
	update.Load = known.Load
	state.Members[update.Instance.Name] = Member{Member: update, LearnedAt: learnedAt}
	return memberChanged(update)
}

// memberChanged returns the effects of a changed member.
func memberChanged(member api.Member) Effects {
	return Effects{RebuildRoles: true, Gossip: api.Gossip{Members: []api.Member{member}}}
}

// Supersedes reports whether update replaces known. Both are entries of the same
// member. The higher incarnation wins. Within an incarnation, if either entry is
// leaving or left, the higher state wins, so that a member that leaves cannot
// become alive again. Otherwise the higher refutation wins, and with equal
// refutations the higher state.
func Supersedes(update, known api.Member) bool {
	if update.Incarnation != known.Incarnation {
		return update.Incarnation > known.Incarnation
	}
	if isLeaving(update.State) || isLeaving(known.State) {
		return update.State > known.State
	}
	if update.Refutation != known.Refutation {
		return update.Refutation > known.Refutation
	}
	return update.State > known.State
}

func isLeaving(state api.MemberState) bool { return state >= api.MemberLeaving }

// maxCountedAgeSeconds is how long ago an earlier process of this instance's name may have
// left for the others to count it among those that share the retry budget.
const maxCountedAgeSeconds = 10

// applyUpdateAboutSelf refutes an update that calls this instance suspect or
// failed. If an earlier process of the same name had a higher incarnation, which
// happens when the system clock was set back between the two, this process takes
// the next incarnation after it.
func applyUpdateAboutSelf(state *State, update api.Member, now time.Time) Effects {
	if update.Incarnation > state.Self.Incarnation {
		state.Self.Incarnation = update.Incarnation + 1
		return storeSelf(state, now)
	}
	if update.Incarnation < state.Self.Incarnation && (update.State != api.MemberLeft || update.AgeSeconds < maxCountedAgeSeconds) {
		state.HasPredecessor = true
	}
	if update.Incarnation != state.Self.Incarnation || !Supersedes(update, state.Self) {
		return Effects{}
	}
	if isLeaving(update.State) {
		return Effects{}
	}
	state.Self.Refutation = update.Refutation + 1
	return storeSelf(state, now)
}

// storeSelf copies the changed Self to the members.
func storeSelf(state *State, now time.Time) Effects {
	state.Members[state.Self.Instance.Name] = Member{Member: state.Self, LearnedAt: now}
	return memberChanged(state.Self)
}

// setOwnState sets the state of this instance's own member entry. A successor
// that is not empty is recorded as well.
func setOwnState(state *State, memberState api.MemberState, successor string, now time.Time) Effects {
	state.Self.State = memberState
	effects := storeSelf(state, now)
	if successor != "" {
		stoppedhome := api.StoppedHome{Home: state.Self.Instance.Name, Incarnation: state.Self.Incarnation, Successor: successor}
		effects.merge(applyStoppedHome(state, stoppedhome, now))
	}
	return effects
}

// applyOverloadChanged states in this instance's own member entry whether it is
// overloaded. The refutation increases, so that the entry supersedes those that peers
// have.
func applyOverloadChanged(state *State, isOverloaded bool, now time.Time) Effects {
	if state.Self.IsOverloaded == isOverloaded {
		return Effects{}
	}
	state.Self.IsOverloaded = isOverloaded
	state.Self.Refutation++
	return storeSelf(state, now)
}

// applyPeerProbed stores the load that a probe reported.
func applyPeerProbed(state *State, peerprobed message.PeerProbed) Effects {
	member, isKnown := state.Members[peerprobed.Name]
	if !isKnown || member.Load == peerprobed.Load {
		return Effects{}
	}
	member.Load = peerprobed.Load
	state.Members[peerprobed.Name] = member
	return Effects{PublishStats: true}
}

// applyPeerUnreachable makes an alive member suspect and a leaving one left, if
// the unreachable incarnation is the known one.
func applyPeerUnreachable(state *State, peerunreachable message.PeerUnreachable, now time.Time) Effects {
	member, isKnown := state.Members[peerunreachable.Name]
	if !isKnown || member.Incarnation != peerunreachable.Incarnation {
		return Effects{}
	}
	switch member.State {
	case api.MemberAlive:
		member.State = api.MemberSuspect
	case api.MemberLeaving:
		member.State = api.MemberLeft
	default:
		return Effects{}
	}
	state.Members[peerunreachable.Name] = Member{Member: member.Member, LearnedAt: now}
	return memberChanged(member.Member)
}

// failExpiredSuspects marks members as failed that have been suspect for longer
// than the suspicion timeout.
func failExpiredSuspects(state *State, now time.Time) Effects {
	var effects Effects
	for name, member := range state.Members {
		isExpired := now.Sub(member.LearnedAt) > state.SuspicionTimeout
		if member.State != api.MemberSuspect || !isExpired {
			continue
		}
		member.State = api.MemberFailed
		state.Members[name] = Member{Member: member.Member, LearnedAt: now}
		effects.merge(memberChanged(member.Member))
	}
	return effects
}
