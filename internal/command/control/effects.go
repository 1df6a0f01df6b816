package control

import "github.com/mimosaspring/mimosaspring/internal/state/api"

// Effects is what the owner of the state must do after a message.
type Effects struct {
	// RebuildConfiguration asks at once for a View with the shards and scopes built anew.
	RebuildConfiguration bool
	// RebuildRoles asks at once for a View with the roles worked out anew.
	RebuildRoles bool
	// PublishStats asks for a View with new loads and ages; it may wait.
	PublishStats bool
	// Gossip is news for the neighbours.
	Gossip api.Gossip
	// RequestRefresh asks for one refresh of the state from a peer.
	RequestRefresh bool
	// ReleaseTraffic ends the hold of traffic after a refresh.
	ReleaseTraffic bool
}

func (effects *Effects) merge(other Effects) {
	effects.RebuildRoles = effects.RebuildRoles || other.RebuildRoles
	effects.PublishStats = effects.PublishStats || other.PublishStats
	effects.RebuildConfiguration = effects.RebuildConfiguration || other.RebuildConfiguration
	effects.RequestRefresh = effects.RequestRefresh || other.RequestRefresh
	effects.ReleaseTraffic = effects.ReleaseTraffic || other.ReleaseTraffic
	effects.Gossip.Merge(other.Gossip)
}

func (effects Effects) hasGossip() bool {
	gossip := effects.Gossip
	return len(gossip.Members)+len(gossip.Keys)+len(gossip.Marks)+len(gossip.Stopped) > 0
}
