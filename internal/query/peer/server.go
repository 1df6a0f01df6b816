package peer

import (
	"context"
	"slices"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Server answers cell queries for the shards that this instance is asked for,
// whether or not it is their home in its own View.
type Server struct {
	Published *view.PublishedView
	// Gather gathers the parts of a request's shards; unknown holds the shards
	// that this instance cannot ask.
	Gather func(ctx context.Context, request upstream.Request, unknown []api.MissingShard, send func(block api.PartialAnswer) error)
	// Log takes the decisions about an answered query; nil takes none.
	Log func(query api.HomeQuery, decided *trace.Trace)
}

// Serve answers one query. It ends with ctx.
func (server *Server) Serve(ctx context.Context, query api.HomeQuery, send func(block api.PartialAnswer) error) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, now.Add(query.TimeToDeadline))
	defer cancel()
	current := server.Published.Current(ctx)
	shards, unknown := find(current.Indexes[query.Index], query)
	request := upstream.Request{
		View: current,
		Scope: api.Scope{
			Index:       query.Index,
			Form:        query.Form,
			TopK:        query.TopK,
			MaxAttempts: query.MaxAttempts,
		},
		Selection:      view.Selection{Shards: shards},
		RelayedRequest: &query.RelayedRequest,
		Deadline:       now.Add(query.TimeToDeadline),
	}
	if query.TimeToTarget > 0 {
		request.Target = now.Add(query.TimeToTarget)
	}
	request.Trace = trace.New(now)
	server.Gather(ctx, request, unknown, send)
	if server.Log != nil {
		server.Log(query, request.Trace)
	}
}

// find returns the shards of query in the epochs that it names, and those that
// index does not have so.
func find(index view.Index, query api.HomeQuery) ([]view.Shard, []api.MissingShard) {
	var shards []view.Shard
	var unknown []api.MissingShard
	for number, name := range query.Shards {
		position, isKnown := index.Positions[name]
		isSame := isKnown && number < len(query.Epochs) && number < len(query.ReplicaHashes) && index.Shards[position].Epoch == query.Epochs[number]
		if !isSame {
			unknown = append(unknown, api.MissingShard{Shard: name, Reason: api.MissingMoved})
			continue
		}
		shard := index.Shards[position]
		shard.Replicas = among(shard.Replicas, query.ReplicaHashes[number])
		if len(shard.Replicas) == 0 {
			unknown = append(unknown, api.MissingShard{Shard: name, Reason: api.MissingMoved})
			continue
		}
		shards = append(shards, shard)
	}
	return shards, unknown
}

// among returns the replicas that hashes name.
func among(replicas []*view.Replica, hashes []uint32) []*view.Replica {
	var named []*view.Replica
	for _, replica := range replicas {
		if slices.Contains(hashes, upstream.ReplicaHash(replica)) {
			named = append(named, replica)
		}
	}
	return named
}
