package control

import (
	"slices"
	"time"

	schedule "github.com/mimosaspring/mimosaspring/internal/schedule/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// coldRole is an instance's part in the sending to the cold replicas of an upstream.
type coldRole struct {
	// share is the result of schedule.ColdShare.
	share int
	// startsAt is when the instance may begin to use the share, as the time since
	// view.MonotonicOrigin.
	startsAt time.Duration
	// risesTo is a higher share that the first View after risesAt puts in force; 0 if
	// there is none.
	risesTo int
	risesAt time.Duration
}

// observePublished records what the entry of a published replica says about its start.
// The parameter previous is the replica as it was published before, or nil.
func observePublished(state *State, replica, previous *view.Replica) {
	now := view.MonotonicNow()
	coldTimeLeft := replica.Instance.ColdTimeLeft
	isNew := previous == nil || previous.Stats != replica.Stats
	switch {
	case isNew:
		replica.Stats.ColdUntil.Store(int64(now + min(coldTimeLeft, view.MaxColdTime)))
		if previous != nil {
			// Requests to the process that has started under the name were not counted.
			replica.Stats.CloseColdWindow(now + schedule.ColdWindowLength)
		}
		if state.isPacingNew {
			state.startedReplicas = append(state.startedReplicas, replica)
		}
	case coldTimeLeft != previous.Instance.ColdTimeLeft, replica.Upstream.ColdRate > 0 && replica.Instance.Sequence != previous.Instance.Sequence:
		// The same entry is built into many Views and counts once. A later one may
		// state the same time again, which matters if cold replicas bear less.
		replica.Stats.ObserveCold(now, coldTimeLeft)
	}
}

// buildPacing updates what the statistics of the replicas hold for their pace and for
// the bound of the requests while they are cold. The parameter now is the time since
// view.MonotonicOrigin.
func buildPacing(state *State, members map[string]api.Member, now time.Duration) {
	startedReplicas := state.startedReplicas
	state.startedReplicas = nil
	state.isPacingNew = state.IsConfigured
	isBounded := false
	for _, replica := range state.Replicas {
		isBounded = isBounded || replica.Upstream.ColdRate > 0
	}
	isPacing := state.PacesReplicas && state.IsSettled
	if !isBounded && !isPacing && len(state.coldRoles) == 0 {
		return
	}
	senders := sendersByUpstream(state, members)
	aliveCount, knownCount := countMembers(members)
	previousRoles := state.coldRoles
	state.coldRoles = make(map[string]coldRole)
	for _, replica := range state.Replicas {
		upstream := replica.Upstream
		if isPacing {
			replica.Stats.EnablePace(upstream.Slots, len(senders[upstream.Name]))
		}
		bound := schedule.ColdBound{Rate: upstream.ColdRate, Overshoot: state.ColdOvershoot, Slack: state.ColdSlack}
		if !bound.IsSet() {
			replica.Stats.SetColdShare(false, 0)
			continue
		}
		role, isDecided := state.coldRoles[upstream.Name]
		if !isDecided {
			coldSenders := schedule.ColdSenders{Upstream: upstream.Name, Candidates: senders[upstream.Name], AliveCount: aliveCount, KnownCount: knownCount}
			role = nextColdRole(state, bound, previousRoles[upstream.Name], coldSenders, now)
			state.coldRoles[upstream.Name] = role
		}
		replica.Stats.CloseColdWindow(role.startsAt)
		replica.Stats.SetColdShare(true, role.share)
	}
	for _, replica := range startedReplicas {
		replica.Stats.BeginPace(now)
	}
}

// nextColdRole returns the role of this instance after a change of the members or of
// the configuration. A share that has risen takes effect after the handover, and a lower
// one that the instance had before stays in force until then.
func nextColdRole(state *State, bound schedule.ColdBound, previous coldRole, senders schedule.ColdSenders, now time.Duration) coldRole {
	share := 0
	if state.IsSettled {
		share = schedule.ColdShare(bound, senders, state.Self.Instance.Name)
	}
	switch {
	case share <= previous.share, share == previous.risesTo && now >= previous.risesAt:
		return coldRole{share: share, startsAt: previous.startsAt}
	case previous.share == 0:
		return coldRole{share: share, startsAt: now + schedule.HandoverTime}
	case share != previous.risesTo:
		previous.risesTo, previous.risesAt = share, now+schedule.HandoverTime
	}
	return previous
}

// countMembers returns how many of the members are alive and how many have not left.
func countMembers(members map[string]api.Member) (aliveCount, knownCount int) {
	for _, member := range members {
		if member.State == api.MemberLeft {
			continue
		}
		knownCount++
		if member.State == api.MemberAlive {
			aliveCount++
		}
	}
	return aliveCount, knownCount
}

// sendersByUpstream returns the names of the members that send to the replicas of each
// upstream in use: the homes of its shards, or all members that are alive if they have
// no homes.
func sendersByUpstream(state *State, members map[string]api.Member) map[string][]string {
	var alive []string
	for name, member := range members {
		if member.State == api.MemberAlive {
			alive = append(alive, name)
		}
	}
	senders := make(map[string][]string, len(state.homes))
	for key, domains := range state.homes {
		index := state.configuration.indexes[key.Index]
		if position, isKnown := index.Positions[key.Shard]; isKnown {
			upstream := index.Shards[position].Upstream.Name
			senders[upstream] = appendPrimaryHomes(senders[upstream], domains)
		}
	}
	for _, scope := range state.configuration.scopes {
		for _, weightedupstream := range scope.WeightedUpstreams {
			setIfEmpty(senders, weightedupstream.Shard.Upstream.Name, alive)
		}
		for _, selection := range scope.Selections {
			for _, shard := range selection.Shards {
				setIfEmpty(senders, shard.Upstream.Name, alive)
			}
		}
	}
	return senders
}

// setIfEmpty sets the senders to an upstream unless there are some.
func setIfEmpty(senders map[string][]string, upstream string, names []string) {
	if len(senders[upstream]) == 0 {
		senders[upstream] = names
	}
}

// appendPrimaryHomes appends the first home of each failure domain to names, each once.
func appendPrimaryHomes(names []string, domains view.DomainHomes) []string {
	names = slices.Grow(names, len(domains))
	for _, homes := range domains {
		if len(homes) > 0 && !slices.Contains(names, homes[0]) {
			names = append(names, homes[0])
		}
	}
	return names
}
