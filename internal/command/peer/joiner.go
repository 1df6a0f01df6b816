package peer

import (
	"math/rand/v2"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// joinInterval is the time between two tries to reach an instance that is
	// listed and not heard.
	joinInterval = 250 * time.Millisecond
	// rejoinInterval is the same once the instance hears peers.
	rejoinInterval = 2 * time.Second
)

// joiner asks instances that are listed, or named as seeds, and not heard.
type joiner struct{ peers *Peers }

func (joiner *joiner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			joiner.join()
			timer.Reset(joiner.interval())
		case <-joiner.peers.ctx.Done():
			return
		}
	}
}

func (joiner *joiner) interval() time.Duration {
	if len(joiner.peers.published.Load().Neighbours) == 0 {
		return joinInterval
	}
	return rejoinInterval
}

func (joiner *joiner) join() {
	candidates := Candidates(joiner.peers.published.Load(), joiner.peers.seeds)
	if len(candidates) == 0 {
		return
	}
	joiner.peers.repair(candidates[rand.N(len(candidates))])
}

// Candidates returns the peer addresses that are listed, seeds, or those of
// members that failed, and belong to no member that is heard. A failed member
// may have been cut off, or have started anew without reaching any seed.
func Candidates(current *view.View, seeds []string) []string {
	heard := map[string]bool{current.Self.Instance.PeerAddress: true}
	var candidates []string
	for _, member := range current.Members {
		if member.State != api.MemberFailed && member.State != api.MemberLeft {
			heard[member.Instance.PeerAddress] = true
		}
	}
	for _, member := range current.Members {
		if member.State == api.MemberFailed && !heard[member.Instance.PeerAddress] {
			candidates = append(candidates, member.Instance.PeerAddress)
		}
	}
	for _, instance := range current.ListedInstances {
		if !heard[instance.PeerAddress] {
			candidates = append(candidates, instance.PeerAddress)
		}
	}
	for _, seed := range seeds {
		if !heard[seed] {
			candidates = append(candidates, seed)
		}
	}
	return candidates
}
