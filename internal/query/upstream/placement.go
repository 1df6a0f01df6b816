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
	Place(request *Request) (local []view.Shard, groups []Group)
	// Ask sends a query to the peer of a group and passes on its blocks until
	// the last one, an error, or the end of ctx. An error that matches
	// api.ErrNotSent says that the peer did not get the query.
	Ask(ctx context.Context, group Group, query api.HomeQuery, take func(block api.PartialAnswer)) error
}

// Group is shards of one query that one peer asks.
type Group struct {
	Peer   api.Member
	Shards []view.Shard
}

// Direct asks all replicas from this instance. It is the baseline of
// Placement.
type Direct struct{}

// Place keeps all shards here.
func (Direct) Place(request *Request) ([]view.Shard, []Group) { return request.Selection.Shards, nil }

// Ask is never called: there are no groups.
func (Direct) Ask(context.Context, Group, api.HomeQuery, func(api.PartialAnswer)) error {
	return api.ErrNotSent
}
