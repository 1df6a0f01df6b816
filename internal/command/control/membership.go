package control

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
)

func applyGossip(state *State, gossip api.Gossip, now time.Time) Effects {
	var effects Effects
	for _, member := range gossip.Members {
		effects.merge(applyMember(state, member, now))
	}
	for _, mark := range gossip.LeavingReplicas {
		effects.merge(applyMark(state, mark, now))
	}
	for _, stopped := range gossip.StoppedHomes {
		effects.merge(applyStopped(state, stopped, now))
	}
	return effects
}

// applyStopped remembers the heir of a home that stopped, also when the home's
// name has a new incarnation.
func applyStopped(state *State, stopped api.StoppedHome, now time.Time) Effects {
	since, isOver := learnedAt(stopped.AgeSeconds, memberForget, now)
	stopped.AgeSeconds = 0
	if _, isKnown := state.Stopped[stopped]; isKnown || isOver {
		return Effects{}
	}
	state.Stopped[stopped] = since
	return Effects{Membership: true, Gossip: api.Gossip{StoppedHomes: []api.StoppedHome{stopped}}}
}

// applyMember takes news of a member that outranks what is known.
func applyMember(state *State, news api.Member, now time.Time) Effects {
	if news.Instance.Name == state.Self.Instance.Name {
		return applyOwnNews(state, news, now)
	}
	known, isKnown := state.Members[news.Instance.Name]
	since, isOver := learnedAt(news.AgeSeconds, memberForget, now)
	if isKnown && !IsNewer(news, known.Member) || isOver {
		return Effects{}
	}
	news.AgeSeconds = 0
	news.Load = known.Load
	state.Members[news.Instance.Name] = Member{Member: news, Since: since}
	return memberNews(news)
}

func memberNews(member api.Member) Effects {
	return Effects{Membership: true, Gossip: api.Gossip{Members: []api.Member{member}}}
}

// IsNewer reports whether news outranks known: by incarnation, then by a
// leaving state, then by refutation, then by state.
func IsNewer(news, known api.Member) bool {
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

// applyOwnNews refutes news that this instance is suspect or failed. An earlier
// process of its name may have had a higher incarnation, where the time of day
// was set back meanwhile; this one then takes the next.
func applyOwnNews(state *State, news api.Member, now time.Time) Effects {
	if news.Incarnation > state.Self.Incarnation {
		state.Self.Incarnation = news.Incarnation + 1
		return publishSelf(state, now)
	}
	if news.Incarnation != state.Self.Incarnation || !IsNewer(news, state.Self) {
		return Effects{}
	}
	if isLeaving(news.State) {
		return Effects{}
	}
	state.Self.Refutation = news.Refutation + 1
	return publishSelf(state, now)
}

func publishSelf(state *State, now time.Time) Effects {
	state.Members[state.Self.Instance.Name] = Member{Member: state.Self, Since: now}
	return memberNews(state.Self)
}

func applySelf(state *State, next api.MemberState, heir string, now time.Time) Effects {
	state.Self.State = next
	effects := publishSelf(state, now)
	if heir != "" {
		stopped := api.StoppedHome{Home: state.Self.Instance.Name, Incarnation: state.Self.Incarnation, Successor: heir}
		effects.merge(applyStopped(state, stopped, now))
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
	return Effects{Figures: true}
}

func applyUnreachable(state *State, unreachable message.PeerUnreachable, now time.Time) Effects {
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
	state.Members[unreachable.Name] = Member{Member: member.Member, Since: now}
	return memberNews(member.Member)
}

func expireSuspects(state *State, now time.Time) Effects {
	var effects Effects
	for name, member := range state.Members {
		isExpired := now.Sub(member.Since) > state.SuspicionTimeout
		if member.State != api.MemberSuspect || !isExpired {
			continue
		}
		member.State = api.MemberFailed
		state.Members[name] = Member{Member: member.Member, Since: now}
		effects.merge(memberNews(member.Member))
	}
	return effects
}
