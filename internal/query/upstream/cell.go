package upstream

import (
	"context"
	"math"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// cell gathers the parts of the shards that this instance holds for a peer.
type cell[C Choice, H Hedge, L Link, P Placement] struct {
	pass *pass[C, H, L, P]
	send func(block api.PartialAnswer) error
	// pending holds the parts and missing shards that no block has held.
	pending []api.Part
	missing []api.MissingShard
	// left is how many shards are not settled.
	left int
}

// RunForPeer asks the replicas of request's shards for a peer. It sends what it
// has when all have answered, when the peer must know that this instance is
// alive, and when the parts are due; later parts follow one by one.
func (fanout *Fanout[C, H, L, P]) RunForPeer(ctx context.Context, request Request, unknown []api.MissingShard, send func(block api.PartialAnswer) error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(api.ErrAnswered)
	snapshot := request.View.Indexes[request.Scope.Index].Snapshot
	cell := &cell[C, H, L, P]{pass: fanout.newPass(request, snapshot), send: send, missing: unknown, left: len(request.Selection.Shards)}
	cell.pass.launch(ctx)
	if err := cell.run(ctx); err != nil {
		fanout.Metrics.Add("cells.unsent", 1)
	}
}

func (cell *cell[C, H, L, P]) run(ctx context.Context) error {
	progress, due := cell.timers()
	defer progress.Stop()
	defer due.Stop()
	isLate := false
	for cell.left > 0 {
		var err error
		select {
		case result := <-cell.pass.results:
			cell.take(result)
			if isLate && cell.left > 0 {
				err = cell.flush(false)
			}
		case <-progress.C:
			err = cell.flush(false)
		case <-due.C:
			isLate = true
			err = cell.flush(false)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if err != nil {
			return err
		}
	}
	return cell.flush(true)
}

// timers fire when the peer must have heard of this instance, and when the
// parts are due.
func (cell *cell[C, H, L, P]) timers() (*time.Timer, *time.Timer) {
	target := cell.pass.request.Target
	if target.IsZero() {
		return time.NewTimer(longPatience / 2), stoppedTimer()
	}
	left := time.Until(target)
	return time.NewTimer(time.Duration(progressShare * float64(left))), time.NewTimer(left)
}

func (cell *cell[C, H, L, P]) take(result shardResult) {
	cell.left--
	if result.reason != "" {
		cell.missing = append(cell.missing, api.MissingShard{Shard: result.shard, Reason: result.reason})
		return
	}
	cell.pending = append(cell.pending, result.part)
}

const (
	// slowMultiple is how many times longer than the fastest replica of its
	// shard a slow one takes.
	slowMultiple = 3
	// slowShare is the share of failed attempts from which a replica counts as
	// slow.
	slowShare = 0.3
)

// slowOf returns the hashed names of the replicas that are slow beside the
// others of their shard.
func slowOf(shards []view.Shard) []uint32 {
	now := view.MonotonicNow()
	var slow []uint32
	for _, shard := range shards {
		fastest := time.Duration(math.MaxInt64)
		for _, replica := range shard.Replicas {
			fastest = min(fastest, replica.Stats.ExpectedLatency(now))
		}
		for _, replica := range shard.Replicas {
			traffic := replica.Stats
			isSlow := fastest > 0 && traffic.ExpectedLatency(now) > slowMultiple*fastest
			if isSlow || traffic.FailureRateAt(now) > slowShare {
				slow = append(slow, ReplicaHash(replica))
			}
		}
	}
	return slow
}

func (cell *cell[C, H, L, P]) flush(isFinal bool) error {
	block := api.PartialAnswer{MissingShards: cell.missing, IsFinal: isFinal, MayHaveRun: cell.pass.unproved.Load() > 0}
	bodies := make([][]byte, 0, len(cell.pending))
	for _, part := range cell.pending {
		block.Shards = append(block.Shards, part.Shard)
		block.Signatures = append(block.Signatures, part.Signature)
		bodies = append(bodies, part.Body)
	}
	if isFinal {
		block.SlowReplicaHashes = slowOf(cell.pass.request.Selection.Shards)
	}
	block.Records = TopRecords(bodies, cell.pass.request.Scope.TopK)
	cell.pending, cell.missing = nil, nil
	return cell.send(block)
}
