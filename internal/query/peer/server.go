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

// Server answers cell queries, which peers send for the shards that this instance
// is the home of. It answers for every shard in a query, whether or not this
// instance is its home according to its own View.
type Server struct {
	Published *view.Published
	// Gather collects the parts of the request's shards and passes them to send in
	// blocks. The blocks also report the shards in unknown, which this instance
	// cannot query.
	Gather func(ctx context.Context, request upstream.Request, unknown []api.Missing, send func(block api.CellBlock) error)
	// Log receives the trace of every answered query. It may be nil.
	Log func(query api.CellQuery, decisions *trace.Trace)
}

// Serve answers one query and returns once it has sent all blocks, or when ctx is
// done or the query's deadline has passed.
func (server *Server) Serve(ctx context.Context, query api.CellQuery, send func(block api.CellBlock) error) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, now.Add(query.DeadlineLeft))
	defer cancel()
	current := server.Published.Current(ctx)
	shards, unknown := resolveShards(current.Indexes[query.Index], query)
	request := upstream.Request{
		View: current,
		Scope: api.Scope{
			Index:       query.Index,
			Form:        query.Form,
			TopK:        query.TopK,
			MaxAttempts: query.MaxAttempts,
		},
		Selection:      view.Selection{Shards: shards},
		RelayedRequest: &query.Relayed,
		Deadline:       now.Add(query.DeadlineLeft),
	}
	if query.TargetLeft > 0 {
		request.Target = now.Add(query.TargetLeft)
	}
	request.Trace = trace.New(now)
	server.Gather(ctx, request, unknown, send)
	if server.Log != nil {
		server.Log(query, request.Trace)
	}
}

// resolveShards returns the shards of query that index has in the epochs and with
// replicas that the query names. It reports all others as moved.
func resolveShards(index view.Index, query api.CellQuery) ([]view.Shard, []api.Missing) {
	var shards []view.Shard
	var unknown []api.Missing
	for number, name := range query.Shards {
		position, isKnown := index.Positions[name]
		isCurrent := isKnown && number < len(query.Epochs) && number < len(query.Replicas) && index.Shards[position].Epoch == query.Epochs[number]
		if !isCurrent {
			unknown = append(unknown, api.Missing{Shard: name, Reason: api.MissingMoved})
			continue
		}
		shard := index.Shards[position]
		shard.Replicas = filterReplicas(shard.Replicas, query.Replicas[number])
		if len(shard.Replicas) == 0 {
			unknown = append(unknown, api.Missing{Shard: name, Reason: api.MissingMoved})
			continue
		}
		shards = append(shards, shard)
	}
	return shards, unknown
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
