package upstream

import (
	"context"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Placement decides which instance asks the replicas of each shard of a query.
type Placement interface {
	// Place splits the shards of a query into those that this instance asks
	// itself and groups that a peer asks.
	Place(request *Request) (local []view.Shard, groups []ShardGroup)
	// Ask sends a query to the peer of a group and passes on its blocks until
	// the last one, an error, or the end of ctx. An error that matches
	// api.ErrNotSent says that the peer did not get the query.
	Ask(ctx context.Context, group ShardGroup, query api.HomeQuery, take func(block api.PartialAnswer)) error
}

// ShardGroup is shards of one query that one peer asks.
type ShardGroup struct {
	Peer   api.Member
	Shards []view.Shard
}

// DirectPlacement asks all replicas from this instance. It is the baseline of
// Placement.
type DirectPlacement struct{}

// Place keeps all shards here.
func (DirectPlacement) Place(request *Request) ([]view.Shard, []ShardGroup) {
	return request.Selection.Shards, nil
}

// Ask is never called: there are no groups.
func (DirectPlacement) Ask(context.Context, ShardGroup, api.HomeQuery, func(api.PartialAnswer)) error {
	return api.ErrNotSent
}
