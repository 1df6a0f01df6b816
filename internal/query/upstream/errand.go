package upstream

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// ErrSilent ends the wait for a home that sent nothing in time.
var ErrSilent = errors.New("the home sent nothing in time")

const (
	// cellMargin is what the way to a home and back, and merging its blocks,
	// take of a query's time.
	cellMargin = 4 * time.Millisecond
	// progressShare is the part of the time to the target after which a home
	// sends what it has, so that its peer knows that it is alive. Most answers
	// are whole by then.
	progressShare = 0.35
	// patienceMargin is how much longer a peer waits for that.
	patienceMargin = 12 * time.Millisecond
	// longPatience is how long a home may be silent where a query has no
	// target.
	longPatience = 300 * time.Millisecond
)

// errand asks one home for its shards of one query, and the replicas of those
// shards itself where the home fails.
type errand[C Choice, H Hedge, L Link, P Placement] struct {
	pass  *pass[C, H, L, P]
	ctx   context.Context
	group Group
	// left holds the shards that the home has not settled.
	left map[string]view.Shard
	// known holds all replicas of the shards.
	known []*view.Replica
	// isHeard is set once a block has come.
	isHeard atomic.Bool
}

func (errand *errand[C, H, L, P]) run() {
	pass := errand.pass
	errand.left = make(map[string]view.Shard, len(errand.group.Shards))
	for index, shard := range errand.group.Shards {
		errand.known = append(errand.known, shard.Replicas...)
		shard.Replicas = Candidates(shard.Replicas, pass.request.Scope.MaxAttempts)
		errand.group.Shards[index] = shard
		errand.left[shard.Name] = shard
	}
	query := errand.query()
	ctx, cancel := context.WithCancelCause(errand.ctx)
	defer cancel(api.ErrAnswered)
	patience := longPatience
	if query.TargetLeft > 0 {
		patience = time.Duration(progressShare*float64(query.TargetLeft)) + patienceMargin
	}
	watch := time.AfterFunc(patience, func() {
		if !errand.isHeard.Load() {
			cancel(ErrSilent)
		}
	})
	defer watch.Stop()
	pass.unproved.Add(1)
	errand.note(trace.Asked, strconv.Itoa(len(query.Shards))+" shards")
	err := pass.fanout.Placement.Ask(ctx, errand.group, query, errand.take)
	if errand.ctx.Err() != nil {
		return
	}
	isSent := !errors.Is(err, api.ErrNotSent)
	if !isSent {
		pass.unproved.Add(-1)
	}
	if err != nil {
		pass.fanout.Metrics.Add("homes.passedOver", 1)
		errand.note(trace.PassedOver, err.Error())
	}
	for _, shard := range errand.left {
		fetch := &fetch[C, H, L, P]{pass: pass, ctx: errand.ctx, shard: shard, isRepeat: err != nil && isSent}
		go fetch.run()
	}
}

func (errand *errand[C, H, L, P]) note(kind trace.Kind, detail string) {
	errand.pass.request.Trace.Add(kind, "", errand.group.Peer.Instance.Name, detail)
}

func (errand *errand[C, H, L, P]) query() api.CellQuery {
	request := &errand.pass.request
	query := api.CellQuery{
		Index:        request.Scope.Index,
		Form:         request.Scope.Form,
		TopK:         request.Scope.TopK,
		MaxAttempts:  request.Scope.MaxAttempts,
		Relayed:      *request.Relayed,
		DeadlineLeft: time.Until(request.Deadline),
	}
	if !request.Target.IsZero() {
		query.TargetLeft = max(time.Until(request.Target)-cellMargin-request.Lag, time.Millisecond)
	}
	for _, shard := range errand.group.Shards {
		query.Shards = append(query.Shards, shard.Name)
		query.Epochs = append(query.Epochs, shard.Epoch)
		query.Replicas = append(query.Replicas, hashesOf(shard.Replicas))
	}
	return query
}

// Candidates returns the replicas that a query may go to where both its home
// and this instance may send it: as many as its scope allows attempts, so that
// the two together do not send it to more. Replicas that fail or are
// slow come last.
func Candidates(replicas []*view.Replica, most int) []*view.Replica {
	if most <= 0 || len(replicas) <= most {
		return replicas
	}
	now := view.Since()
	chosen := make([]*view.Replica, 0, len(replicas))
	var last []*view.Replica
	for _, index := range rand.Perm(len(replicas)) {
		traffic := replicas[index].Traffic
		if traffic.IsFailing(now) || traffic.SlowUntil.Load() > int64(now) {
			last = append(last, replicas[index])
		} else {
			chosen = append(chosen, replicas[index])
		}
	}
	return append(chosen, last...)[:most]
}

// hashesOf names replicas briefly.
func hashesOf(replicas []*view.Replica) []uint32 {
	hashes := make([]uint32, len(replicas))
	for index, replica := range replicas {
		hashes[index] = HashOf(replica)
	}
	return hashes
}

// HashOf names a replica briefly.
func HashOf(replica *view.Replica) uint32 {
	return uint32(xxhash.Sum64String(replica.Instance.Name))
}

// take passes on what a block settles. A shard whose replicas the home does
// not know is left for this instance.
func (errand *errand[C, H, L, P]) take(block api.CellBlock) {
	errand.isHeard.Store(true)
	pass := errand.pass
	if block.IsFinal && !block.MayHaveRun {
		pass.unproved.Add(-1)
	}
	errand.avoid(block.Slow)
	result := shardResult{records: block.Records}
	for index, name := range block.Shards {
		shard, isLeft := errand.left[name]
		if !isLeft || index >= len(block.Signatures) {
			pass.fanout.Metrics.Add("blocks.foreign", 1)
			return
		}
		part := api.Part{Shard: name, Snapshot: pass.pin.Snapshot, Epoch: shard.Epoch, Signature: block.Signatures[index]}
		result.block = append(result.block, part)
	}
	for _, name := range block.Shards {
		delete(errand.left, name)
	}
	if len(result.block) > 0 {
		errand.deliver(result)
	}
	for _, missing := range block.Missing {
		if _, isLeft := errand.left[missing.Shard]; isLeft && missing.Reason != api.MissingMoved {
			delete(errand.left, missing.Shard)
			pass.request.Trace.Add(trace.GaveUp, missing.Shard, errand.group.Peer.Instance.Name, string(missing.Reason))
			errand.deliver(shardResult{shard: missing.Shard, reason: missing.Reason})
		}
	}
}

// slowTime is how long a replica that a home calls slow is asked last. Replicas
// that are slow for a cause stay so for seconds.
const slowTime = time.Second

// avoid notes the replicas that the home calls slow.
func (errand *errand[C, H, L, P]) avoid(slow []uint32) {
	if len(slow) == 0 {
		return
	}
	until := int64(view.Since() + slowTime)
	for _, replica := range errand.known {
		if slices.Contains(slow, HashOf(replica)) {
			replica.Traffic.SlowUntil.Store(until)
		}
	}
}

func (errand *errand[C, H, L, P]) deliver(result shardResult) {
	select {
	case errand.pass.results <- result:
	case <-errand.ctx.Done():
	}
}
