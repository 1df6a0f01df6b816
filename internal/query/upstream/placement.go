package upstream

import (
	"context"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Placement decides which instance queries the replicas of each shard of a
// query.
type Placement interface {
	// Place splits the shards of a query into those that this instance queries
	// itself and groups that a peer queries.
	Place(request *Request) (localShards []view.Shard, groups []ShardGroup)
	// Ask sends a query to the group's peer and calls handle with each partial
	// answer that the peer returns. It returns after the last partial answer,
	// on an error or when ctx ends. An error that matches api.ErrNotSent means
	// that the peer did not receive the query.
	Ask(ctx context.Context, group ShardGroup, query api.HomeQuery, handle func(partialanswer api.PartialAnswer)) error
}

// ShardGroup holds the shards of one query that one peer queries.
type ShardGroup struct {
	Peer   api.Member
	Shards []view.Shard
}

// DirectPlacement queries all replicas from this instance. It is the baseline
// to compare other placements with.
type DirectPlacement struct{}

// Place assigns all shards to this instance.
func (DirectPlacement) Place(request *Request) ([]view.Shard, []ShardGroup) {
	return request.Selection.Shards, nil
}

// Ask is never called, because Place returns no groups.
func (DirectPlacement) Ask(context.Context, ShardGroup, api.HomeQuery, func(api.PartialAnswer)) error {
	return api.ErrNotSent
}
