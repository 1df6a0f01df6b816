package control

import "github.com/mimosaspring/mimosaspring/internal/state/api"

// Effects is what the owner of the state must do after a message.
type Effects struct {
	// Rebuild asks at once for a View with the shards and scopes built anew.
	Rebuild bool
	// Membership asks at once for a View with the roles worked out anew.
	Membership bool
	// Figures asks for a View with new loads and ages; it may wait.
	Figures bool
	// Gossip is news for the neighbours.
	Gossip api.Gossip
	// Refresh asks for one refresh of the state from a peer.
	Refresh bool
	// Release ends the hold of traffic after a refresh.
	Release bool
}

func (effects *Effects) merge(other Effects) {
	effects.Membership = effects.Membership || other.Membership
	effects.Figures = effects.Figures || other.Figures
	effects.Rebuild = effects.Rebuild || other.Rebuild
	effects.Refresh = effects.Refresh || other.Refresh
	effects.Release = effects.Release || other.Release
	effects.Gossip.Merge(other.Gossip)
}

func (effects Effects) hasGossip() bool {
	gossip := effects.Gossip
	return len(gossip.Members)+len(gossip.Keys)+len(gossip.LeavingReplicas)+len(gossip.StoppedHomes) > 0
}
