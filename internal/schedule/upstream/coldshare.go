// Package upstream decides how much a replica may be sent: at which pace after its
// start or a recovery, and at which rate while it is cold. Its decisions are functions
// of plain structs and depend neither on sockets nor on a clock.
package upstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ColdBound bounds the requests that a cold replica gets from all instances together
// in any one second: Rate times Overshoot, plus Slack.
type ColdBound struct {
	// Rate is the number of requests a second that a cold replica bears; 0 means
	// that there is no bound.
	Rate float64
	// Overshoot and Slack are the same for all upstreams.
	Overshoot float64
	Slack     float64
}

// IsSet reports whether there is a bound.
func (coldbound ColdBound) IsSet() bool { return coldbound.Rate > 0 }

// ColdSenders describes the instances that could send to the cold replicas of one
// upstream, as one instance knows them.
type ColdSenders struct {
	// Upstream is the name of the upstream.
	Upstream string
	// Candidates holds the names of the instances that send to the replicas.
	Candidates []string
	// AliveCount of the KnownCount instances are alive.
	AliveCount, KnownCount int
}

// disagreementFactor is the number of disjoint sets of senders that instances with
// different knowledge of the members may choose without exceeding a ColdBound.
const disagreementFactor = 2

// maxColdShare bounds a share, so that a bound of any size fits an int.
const maxColdShare = 1_000_000

// ColdShare returns how many requests the named instance may send in any ColdWindow
// to each cold replica of the upstream.
//
// The shares of one set of senders use 1/disagreementFactor of the bound, so that two
// parts of the fleet that know nothing of each other keep it together. Only a part
// with at least half of the known instances has senders, hence there are no more than
// two such parts.
func ColdShare(bound ColdBound, senders ColdSenders, name string) int {
	total := int(min((bound.Rate*bound.Overshoot+bound.Slack)/disagreementFactor, maxColdShare))
	if total == 0 || 2*senders.AliveCount < senders.KnownCount {
		return 0
	}
	chosen := chooseSenders(senders, total)
	if !slices.Contains(chosen, name) {
		return 0
	}
	return total / len(chosen)
}

// chooseSenders returns count candidates by rendezvous hashing, or all if there are no
// more. A change of one candidate replaces at most one of them.
func chooseSenders(senders ColdSenders, count int) []string {
	if len(senders.Candidates) <= count {
		return senders.Candidates
	}
	ranks := make(map[string]uint64, len(senders.Candidates))
	for _, name := range senders.Candidates {
		ranks[name] = xxhash.Sum64String("cold/" + senders.Upstream + "/" + name)
	}
	sorted := slices.Clone(senders.Candidates)
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Compare(ranks[b], ranks[a]) })
	return sorted[:count]
}

// ColdWindowLength is the time over which the requests to a cold replica are counted.
// It exceeds the second of the ColdBound by the time that a request may spend between
// the decision and the network.
const ColdWindowLength = 1200 * time.Millisecond

// HandoverTime is how long an instance waits after it was chosen as a sender. The
// instances that were chosen before have learned of the change by then.
const HandoverTime = 3 * time.Second

// ColdWindow holds what one instance has recently sent to one cold replica. Times are
// measured from an arbitrary origin.
type ColdWindow struct {
	// OpenAt is the time before which nothing is sent.
	OpenAt time.Duration
	// SentAt holds the times of the requests in the last ColdWindowLength, in order.
	SentAt []time.Duration
}

// Wait returns how long it takes until another request may be sent with the given
// share, which is at least 1; 0 if it may be sent now.
func (coldwindow ColdWindow) Wait(share int, now time.Duration) time.Duration {
	wait := max(coldwindow.OpenAt-now, 0)
	if len(coldwindow.SentAt) < share {
		return wait
	}
	oldest := coldwindow.SentAt[len(coldwindow.SentAt)-share]
	return max(wait, oldest+ColdWindowLength-now, 0)
}

// Sent returns the window with a request that is sent at now.
func (coldwindow ColdWindow) Sent(now time.Duration) ColdWindow {
	coldwindow.SentAt = slices.DeleteFunc(coldwindow.SentAt, func(sentAt time.Duration) bool { return sentAt+ColdWindowLength <= now })
	coldwindow.SentAt = append(coldwindow.SentAt, now)
	return coldwindow
}

// Close returns the window with nothing sent before the given time.
func (coldwindow ColdWindow) Close(until time.Duration) ColdWindow {
	coldwindow.OpenAt = max(coldwindow.OpenAt, until)
	return coldwindow
}
