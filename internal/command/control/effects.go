package control

import "github.com/mimosaspring/mimosaspring/internal/state/api"

// Effects lists the actions that are due after messages were applied to a State.
type Effects struct {
	// RebuildConfiguration asks for a new View without delay, with the shards,
	// scopes and routes rebuilt from the documents.
	RebuildConfiguration bool
	// RebuildDocuments asks for a new View with the documents that are known. It may be
	// delayed, because nothing in use has changed.
	RebuildDocuments bool
	// RebuildRoles asks for a new View without delay, with the neighbours and
	// readers chosen again from the members.
	RebuildRoles bool
	// PublishStats asks for a new View with the current loads, counts and times.
	// It may be delayed.
	PublishStats bool
	// PublishNow asks for a new View without delay, with nothing rebuilt.
	PublishNow bool
	// Gossip holds the changes to send to the neighbours.
	Gossip api.Gossip
	// DelayedKeys holds the documents to send to the neighbours once a View has them.
	DelayedKeys []api.KeyRevision
	// BeginRefresh asks for one refresh: a full update of the state from a peer.
	// Traffic waits until it is complete, at most view.MaxRefreshWait.
	BeginRefresh bool
	// EndRefresh lets traffic continue after a refresh.
	EndRefresh bool
	// IsEraRaised is set if the platform's store is known to be in a higher era.
	IsEraRaised bool
	// HeldBackCount is the number of documents that became pending.
	HeldBackCount int
	// Removals holds the decisions about removals, to be logged.
	Removals []Removal
	// Superseded holds the keys of which the store was found to state an older document
	// than the one in force, or none, and Restated those of which it no longer states an
	// older one, to be logged.
	Superseded, Restated []string
}

// merge adds the actions of other.
func (effects *Effects) merge(other Effects) {
	effects.RebuildRoles = effects.RebuildRoles || other.RebuildRoles
	effects.PublishStats = effects.PublishStats || other.PublishStats
	effects.RebuildConfiguration = effects.RebuildConfiguration || other.RebuildConfiguration
	effects.RebuildDocuments = effects.RebuildDocuments || other.RebuildDocuments
	effects.DelayedKeys = append(effects.DelayedKeys, other.DelayedKeys...)
	effects.PublishNow = effects.PublishNow || other.PublishNow
	effects.BeginRefresh = effects.BeginRefresh || other.BeginRefresh
	effects.EndRefresh = effects.EndRefresh || other.EndRefresh
	effects.IsEraRaised = effects.IsEraRaised || other.IsEraRaised
	effects.HeldBackCount += other.HeldBackCount
	effects.Removals = append(effects.Removals, other.Removals...)
	effects.Superseded = append(effects.Superseded, other.Superseded...)
	effects.Restated = append(effects.Restated, other.Restated...)
	effects.Gossip.Merge(other.Gossip)
}

func (effects Effects) hasGossip() bool {
	gossip := effects.Gossip
	return len(gossip.Members)+len(gossip.Keys)+len(gossip.LeavingReplicas)+len(gossip.StoppedHomes) > 0
}
