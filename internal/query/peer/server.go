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

// Server answers the queries that peers send for the shards that this instance
// is the home of. It answers for every shard in a query, whether or not this
// instance is its home according to its own View.
type Server struct {
	CurrentView *view.PublishedView
	// RunForPeer collects the parts of the request's shards and passes them to send
	// in partial answers. These also report unknownShards, which this instance cannot
	// query.
	RunForPeer func(ctx context.Context, request upstream.Request, unknownShards []api.MissingShard, send func(partialanswer api.PartialAnswer) error)
	// Log receives the trace of every answered query. It may be nil.
	Log func(query api.HomeQuery, decisions *trace.Trace)
}

// Serve answers one query. It returns once it has sent its last partial answer, or
// when ctx is done or the query's deadline has passed.
func (server *Server) Serve(ctx context.Context, query api.HomeQuery, send func(partialanswer api.PartialAnswer) error) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, now.Add(query.TimeToDeadline))
	defer cancel()
	current := server.CurrentView.Current(ctx)
	shards, unknownShards := resolveShards(current.Indexes[query.Index], query)
	request := upstream.Request{
		View: current,
		Scope: api.Scope{
			Index:       query.Index,
			Form:        query.Form,
			TopK:        query.TopK,
			MaxAttempts: query.MaxAttempts,
			Priority:    query.Priority,
		},
		Selection:      view.Selection{Shards: shards},
		RelayedRequest: &query.RelayedRequest,
		Deadline:       now.Add(query.TimeToDeadline),
	}
	if query.TimeToTarget > 0 {
		request.TargetTime = now.Add(query.TimeToTarget)
	}
	request.Trace = trace.New(now)
	server.RunForPeer(ctx, request, unknownShards, send)
	if server.Log != nil {
		server.Log(query, request.Trace)
	}
}

// resolveShards returns the shards of query that index has in the epochs and with
// replicas that the query names. It reports all others as moved.
func resolveShards(index view.Index, query api.HomeQuery) ([]view.Shard, []api.MissingShard) {
	var shards []view.Shard
	var unknownShards []api.MissingShard
	for number, name := range query.Shards {
		position, isKnown := index.Positions[name]
		isCurrent := isKnown && number < len(query.Epochs) && number < len(query.ReplicaHashes) && index.Shards[position].Epoch == query.Epochs[number]
		if !isCurrent {
			unknownShards = append(unknownShards, api.MissingShard{Shard: name, Reason: api.MissingMoved})
			continue
		}
		shard := index.Shards[position]
		shard.Replicas = filterReplicas(shard.Replicas, query.ReplicaHashes[number])
		if len(shard.Replicas) == 0 {
			unknownShards = append(unknownShards, api.MissingShard{Shard: name, Reason: api.MissingMoved})
			continue
		}
		shards = append(shards, shard)
	}
	return shards, unknownShards
}

// filterReplicas returns the replicas whose hashed names are in hashes.
func filterReplicas(replicas []*view.Replica, hashes []uint32) []*view.Replica {
	var result []*view.Replica
	for _, replica := range replicas {
		if slices.Contains(hashes, upstream.ReplicaHash(replica)) {
			result = append(result, replica)
		}
	}
	return result
}
