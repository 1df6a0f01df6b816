package peer

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// HasRecentlyStarted reports whether the process that started at startedAt must leave the
// retry budget to its predecessors: a process of the same name may have spent all of its
// share before, in the same window, and nobody knows how much. Unless isCounted is set, the
// other members, too, may have spent shares of a smaller fleet until they learned of this
// one.
func HasRecentlyStarted(startedAt, now time.Time, window time.Duration, isCounted bool) bool {
	if !isCounted {
		window += maxViewDelay
	}
	return now.Sub(startedAt) < window
}

// StartedTogether reports whether no other member that may still send started earlier than
// maxViewDelay before self, as when the whole fleet starts. None of them has then spent a
// share of a fleet without self.
func StartedTogether(members map[string]api.Member, self api.Member) bool {
	for name, member := range members {
		isEarlier := member.Incarnation+uint64(maxViewDelay) < self.Incarnation
		if name != self.Instance.Name && member.State != api.MemberLeft && isEarlier {
			return false
		}
	}
	return true
}

// SlackMemberCount returns the number of members that share the retry budget's slack: all
// that have not left, and those that left so recently, by endedAt, that what they spent may
// be in the same window. Failed members count, because they may only be cut off.
func SlackMemberCount(members map[string]api.Member, endedAt map[string]time.Time, now time.Time, window time.Duration) int {
	count := 0
	for name, member := range members {
		if member.State != api.MemberLeft || now.Sub(endedAt[name]) < window+maxViewDelay {
			count++
		}
	}
	return count
}

// IsUnmet reports whether an instance knows no other member although others are expected,
// because seeds other than itself are named. Any number of instances may be in its place,
// each of which would take the whole slack.
func IsUnmet(members map[string]api.Member, ownAddress string, seeds []string) bool {
	if len(members) > 1 {
		return false
	}
	for _, seed := range seeds {
		if seed != ownAddress {
			return true
		}
	}
	return false
}
