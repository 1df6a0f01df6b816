package peer

import (
	"maps"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

const (
	// commonSlack is the part of the retry budget's slack that all members divide.
	commonSlack = 0.5
	// senderSlack is the part that the senders divide.
	senderSlack = 1 - commonSlack
	// maxViewDelay bounds how much later than others an instance learns of a member.
	maxViewDelay = 5 * time.Second
)

// Senders is what one instance knows of the members that send most of the requests to
// upstreams.
type Senders struct {
	// Names holds their names, or nil if all members send.
	Names map[string]bool
	// ChangedAt is when Names last changed; zero if they never did.
	ChangedAt time.Time
}

// ChooseSenders returns the names of the members that would serve, by policy P, if all
// that have not left were alive and none overloaded, or nil if these are all. Unlike
// the serving members they are the same in all parts of a partition, and members that
// fail and return do not change them.
func ChooseSenders[P Policy](members map[string]api.Member) map[string]bool {
	present := make(map[string]api.Member, len(members))
	for name, member := range members {
		if member.State == api.MemberLeft {
			continue
		}
		member.State, member.IsOverloaded = api.MemberAlive, false
		present[name] = member
	}
	return Serving[P](present)
}

// Observe returns the senders after they were chosen again at now.
func (senders Senders) Observe(names map[string]bool, now time.Time) Senders {
	if maps.Equal(senders.Names, names) {
		return senders
	}
	return Senders{Names: names, ChangedAt: now}
}

// SlackShare returns the share of the retry budget's slack, 0 to 1, of the named one of
// memberCount members. Until no window of the budget contains the last change of the
// senders, at any instance, each member has a part of commonSlack only: the senders
// from before the change, or all members, may have used the rest in the same window.
func (senders Senders) SlackShare(name string, memberCount int, now time.Time, window time.Duration) float64 {
	equal := 1 / float64(max(memberCount, 1))
	isChanged := !senders.ChangedAt.IsZero() && now.Sub(senders.ChangedAt) <= window+maxViewDelay
	switch {
	case isChanged:
		return commonSlack * equal
	case senders.Names == nil:
		return equal
	case senders.Names[name]:
		return commonSlack*equal + senderSlack/float64(len(senders.Names))
	}
	return commonSlack * equal
}
