package control

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
)

func applyGossip(state *State, gossip api.Gossip, now time.Time) Effects {
	var effects Effects
	for _, member := range gossip.Members {
		effects.merge(applyMemberUpdate(state, member, now))
	}
	for _, mark := range gossip.Marks {
		effects.merge(applyLeavingMark(state, mark, now))
	}
	for _, stopped := range gossip.Stopped {
		effects.merge(applyStoppedHome(state, stopped, now))
	}
	return effects
}

// applyStoppedHome remembers the heir of a home that stopped, also when the home's
// name has a new incarnation.
func applyStoppedHome(state *State, stopped api.Stopped, now time.Time) Effects {
	since, isOver := learnTime(stopped.AgeSeconds, memberRetention, now)
	stopped.AgeSeconds = 0
	if _, isKnown := state.StoppedHomes[stopped]; isKnown || isOver {
		return Effects{}
	}
	state.StoppedHomes[stopped] = since
	return Effects{RebuildRoles: true, Gossip: api.Gossip{Stopped: []api.Stopped{stopped}}}
}

// applyMemberUpdate takes news of a member that outranks what is known.
func applyMemberUpdate(state *State, news api.Member, now time.Time) Effects {
	if news.Instance.Name == state.Self.Instance.Name {
		return applyUpdateAboutSelf(state, news, now)
	}
	known, isKnown := state.Members[news.Instance.Name]
	since, isOver := learnTime(news.AgeSeconds, memberRetention, now)
	if isKnown && !Supersedes(news, known.Member) || isOver {
		return Effects{}
	}
	news.AgeSeconds = 0
	news.Load = known.Load
	state.Members[news.Instance.Name] = Member{Member: news, LearnedAt: since}
	return memberChanged(news)
}

func memberChanged(member api.Member) Effects {
	return Effects{RebuildRoles: true, Gossip: api.Gossip{Members: []api.Member{member}}}
}

// Supersedes reports whether news outranks known: by incarnation, then by a
// leaving state, then by refutation, then by state.
func Supersedes(news, known api.Member) bool {
	if news.Incarnation != known.Incarnation {
		return news.Incarnation > known.Incarnation
	}
	if isLeaving(news.State) || isLeaving(known.State) {
		return news.State > known.State
	}
	if news.Refutation != known.Refutation {
		return news.Refutation > known.Refutation
	}
	return news.State > known.State
}

func isLeaving(state api.MemberState) bool { return state >= api.MemberLeaving }

// applyUpdateAboutSelf refutes news that this instance is suspect or failed. An earlier
// process of its name may have had a higher incarnation, where the time of day
// was set back meanwhile; this one then takes the next.
func applyUpdateAboutSelf(state *State, news api.Member, now time.Time) Effects {
	if news.Incarnation > state.Self.Incarnation {
		state.Self.Incarnation = news.Incarnation + 1
		return storeSelf(state, now)
	}
	if news.Incarnation != state.Self.Incarnation || !Supersedes(news, state.Self) {
		return Effects{}
	}
	if isLeaving(news.State) {
		return Effects{}
	}
	state.Self.Refutation = news.Refutation + 1
	return storeSelf(state, now)
}

func storeSelf(state *State, now time.Time) Effects {
	state.Members[state.Self.Instance.Name] = Member{Member: state.Self, LearnedAt: now}
	return memberChanged(state.Self)
}

func setOwnState(state *State, next api.MemberState, heir string, now time.Time) Effects {
	state.Self.State = next
	effects := storeSelf(state, now)
	if heir != "" {
		stopped := api.Stopped{Home: state.Self.Instance.Name, Incarnation: state.Self.Incarnation, Heir: heir}
		effects.merge(applyStoppedHome(state, stopped, now))
	}
	return effects
}

func applyPeerProbed(state *State, probed message.PeerProbed) Effects {
	member, isKnown := state.Members[probed.Name]
	if !isKnown || member.Load == probed.Load {
		return Effects{}
	}
	member.Load = probed.Load
	state.Members[probed.Name] = member
	return Effects{PublishStats: true}
}

func applyPeerUnreachable(state *State, unreachable message.PeerUnreachable, now time.Time) Effects {
	member, isKnown := state.Members[unreachable.Name]
	if !isKnown || member.Incarnation != unreachable.Incarnation {
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
	state.Members[unreachable.Name] = Member{Member: member.Member, LearnedAt: now}
	return memberChanged(member.Member)
}

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
