package peer

import (
	"math/rand/v2"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// joinInterval is the time between two syncs with join candidates while this
	// instance has no neighbours or is not configured.
	joinInterval = 250 * time.Millisecond
	// rejoinInterval is the time between two syncs with join candidates once this
	// instance is configured and has neighbours.
	rejoinInterval = 2 * time.Second
)

// joiner regularly starts a sync with an instance that may be running but that this
// instance has no contact with.
type joiner struct {
	peers *Peers
	// count is the number of joins so far.
	count int
}

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
	current := joiner.peers.currentView.Load()
	if len(current.Neighbours) == 0 || !current.IsConfigured {
		return joinInterval
	}
	return rejoinInterval
}

// join starts a sync with a random join candidate. An instance that is not
// configured also syncs with its neighbours: gossip alone does not show whether the
// documents that it brought are all there are. It prefers those in its own failure
// domain every second time, since such a sync transfers the whole configuration.
func (joiner *joiner) join() {
	current := joiner.peers.currentView.Load()
	candidates := JoinCandidates(current, joiner.peers.seeds)
	joiner.count++
	if !current.IsConfigured {
		var local []string
		for _, member := range joiner.peers.neighbours() {
			candidates = append(candidates, member.Instance.PeerAddress)
			if member.Instance.FailureDomain == current.Self.Instance.FailureDomain {
				local = append(local, member.Instance.PeerAddress)
			}
		}
		if len(local) > 0 && joiner.count%2 == 0 {
			candidates = local
		}
	}
	if len(candidates) == 0 {
		return
	}
	joiner.peers.startSync(candidates[rand.N(len(candidates))])
}

// JoinCandidates returns the peer addresses of instances that the platform lists,
// of members that failed, and of seeds, without those of members that neither
// failed nor left. A failed member may have been disconnected, or may have
// restarted without reaching any seed.
func JoinCandidates(current *view.View, seeds []string) []string {
	memberAddresses := map[string]bool{current.Self.Instance.PeerAddress: true}
	var candidates []string
	for _, member := range current.Members {
		if member.State != api.MemberFailed && member.State != api.MemberLeft {
			memberAddresses[member.Instance.PeerAddress] = true
		}
	}
	for _, member := range current.Members {
		if member.State == api.MemberFailed && !memberAddresses[member.Instance.PeerAddress] {
			candidates = append(candidates, member.Instance.PeerAddress)
		}
	}
	for _, instance := range current.ListedInstances {
		if !memberAddresses[instance.PeerAddress] {
			candidates = append(candidates, instance.PeerAddress)
		}
	}
	for _, seed := range seeds {
		if !memberAddresses[seed] {
			candidates = append(candidates, seed)
		}
	}
	return candidates
}
