package upstream

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// ErrNoResponse ends the wait for a home that sent nothing in time.
var ErrNoResponse = errors.New("the home sent nothing in time")

const (
	// cellMargin is what the way to a home and back, and merging its blocks,
	// take of a query's time.
	homeRoundTripMargin = 4 * time.Millisecond
	// progressShare is the part of the time to the target after which a home
	// sends what it has, so that its peer knows that it is alive. Most answers
	// are whole by then.
	progressShare = 0.35
	// patienceMargin is how much longer a peer waits for that.
	homeTimeoutMargin = 12 * time.Millisecond
	// longPatience is how long a home may be silent where a query has no
	// target.
	untargetedHomeTimeout = 300 * time.Millisecond
)

// homeQuery asks one home for its shards of one query, and the replicas of those
// shards itself where the home fails.
type homeQuery[C Choice, H Hedge, L Link, P Placement] struct {
	pass  *pass[C, H, L, P]
	ctx   context.Context
	group ShardGroup
	// left holds the shards that the home has not settled.
	unsettled map[string]view.Shard
	// known holds all replicas of the shards.
	replicas []*view.Replica
	// isHeard is set once a block has come.
	hasResponded atomic.Bool
}

func (homequery *homeQuery[C, H, L, P]) run() {
	pass := homequery.pass
	homequery.unsettled = make(map[string]view.Shard, len(homequery.group.Shards))
	for index, shard := range homequery.group.Shards {
		homequery.replicas = append(homequery.replicas, shard.Replicas...)
		shard.Replicas = CandidateReplicas(shard.Replicas, pass.request.Scope.MaxAttempts, homequery.group.Peer.Instance.FailureDomain)
		homequery.group.Shards[index] = shard
		homequery.unsettled[shard.Name] = shard
	}
	query := homequery.cellQuery()
	ctx, cancel := context.WithCancelCause(homequery.ctx)
	defer cancel(api.ErrAnswered)
	timeout := untargetedHomeTimeout
	if query.TargetLeft > 0 {
		timeout = time.Duration(progressShare*float64(query.TargetLeft)) + homeTimeoutMargin
	}
	hometimeout := &homeTimeout[C, H, L, P]{homequery: homequery, cancel: cancel, timeout: timeout}
	hometimeout.start()
	defer hometimeout.stop()
	pass.mayHaveRun.Add(1)
	homequery.addTrace(trace.Asked, strconv.Itoa(len(query.Shards))+" shards")
	err := pass.fanout.Placement.Ask(ctx, homequery.group, query, homequery.handleBlock)
	if homequery.ctx.Err() != nil {
		return
	}
	isSent := !errors.Is(err, api.ErrNotSent)
	if !isSent {
		pass.mayHaveRun.Add(-1)
	}
	if err != nil {
		pass.fanout.Metrics.Add("homes.passedOver", 1)
		if errors.Is(context.Cause(ctx), ErrNoResponse) {
			err = ErrNoResponse
		}
		homequery.addTrace(trace.PassedOver, err.Error())
	}
	for _, shard := range homequery.unsettled {
		shardquery := &shardQuery[C, H, L, P]{pass: pass, ctx: homequery.ctx, shard: shard, isRepeat: err != nil && isSent}
		go shardquery.run()
	}
}

// patienceWatch ends the wait for a home that sends nothing in time. Where no
// home of the query has sent anything, this instance is taken to be late, and
// they get as much time again.
type homeTimeout[C Choice, H Hedge, L Link, P Placement] struct {
	homequery *homeQuery[C, H, L, P]
	cancel    context.CancelCauseFunc
	timeout   time.Duration

	mutex sync.Mutex
	timer *time.Timer
	// isExtended is set once the home got more time.
	isExtended bool
}

func (hometimeout *homeTimeout[C, H, L, P]) start() {
	hometimeout.mutex.Lock()
	defer hometimeout.mutex.Unlock()
	hometimeout.timer = time.AfterFunc(hometimeout.timeout, hometimeout.check)
}

func (hometimeout *homeTimeout[C, H, L, P]) stop() {
	hometimeout.mutex.Lock()
	defer hometimeout.mutex.Unlock()
	hometimeout.timer.Stop()
}

func (hometimeout *homeTimeout[C, H, L, P]) check() {
	hometimeout.mutex.Lock()
	defer hometimeout.mutex.Unlock()
	homequery := hometimeout.homequery
	switch {
	case homequery.hasResponded.Load():
	case homequery.pass.areAllHomesSilent() && !hometimeout.isExtended:
		hometimeout.isExtended = true
		hometimeout.timer.Reset(hometimeout.timeout)
		homequery.pass.fanout.Metrics.Add("homes.waitedAgain", 1)
	default:
		hometimeout.cancel(ErrNoResponse)
	}
}

func (homequery *homeQuery[C, H, L, P]) addTrace(kind trace.Kind, detail string) {
	homequery.pass.request.Trace.Add(kind, "", homequery.group.Peer.Instance.Name, detail)
}

func (homequery *homeQuery[C, H, L, P]) cellQuery() api.CellQuery {
	request := &homequery.pass.request
	query := api.CellQuery{
		Index:        request.Scope.Index,
		Form:         request.Scope.Form,
		TopK:         request.Scope.TopK,
		MaxAttempts:  request.Scope.MaxAttempts,
		Relayed:      *request.RelayedRequest,
		DeadlineLeft: time.Until(request.Deadline),
	}
	if !request.Target.IsZero() {
		query.TargetLeft = max(time.Until(request.Target)-homeRoundTripMargin-request.InstanceLag, time.Millisecond)
	}
	for _, shard := range homequery.group.Shards {
		query.Shards = append(query.Shards, shard.Name)
		query.Epochs = append(query.Epochs, shard.Epoch)
		query.Replicas = append(query.Replicas, replicaHashes(shard.Replicas))
	}
	return query
}

// CandidateReplicas returns the replicas that a query may go to where both its home
// and this instance may send it: as many as its scope allows attempts, so that
// the two together do not send it to more. Replicas of the home's failure
// domain come first; those that fail or are slow come last.
func CandidateReplicas(replicas []*view.Replica, limit int, failureDomain string) []*view.Replica {
	if limit <= 0 || len(replicas) <= limit {
		return replicas
	}
	now := view.Since()
	chosen := make([]*view.Replica, 0, len(replicas))
	var far, last []*view.Replica
	for _, index := range rand.Perm(len(replicas)) {
		replica := replicas[index]
		switch {
		case replica.Traffic.IsFailing(now) || replica.Traffic.SlowUntil.Load() > int64(now):
			last = append(last, replica)
		case replica.Instance.FailureDomain == failureDomain:
			chosen = append(chosen, replica)
		default:
			far = append(far, replica)
		}
	}
	return slices.Concat(chosen, far, last)[:limit]
}

// hashesOf names replicas briefly.
func replicaHashes(replicas []*view.Replica) []uint32 {
	hashes := make([]uint32, len(replicas))
	for index, replica := range replicas {
		hashes[index] = ReplicaHash(replica)
	}
	return hashes
}

// ReplicaHash names a replica briefly.
func ReplicaHash(replica *view.Replica) uint32 {
	return uint32(xxhash.Sum64String(replica.Instance.Name))
}

// take passes on what a block settles. A shard whose replicas the home does
// not know is left for this instance.
func (homequery *homeQuery[C, H, L, P]) handleBlock(block api.CellBlock) {
	pass := homequery.pass
	homequery.hasResponded.Store(true)
	pass.hasHomeResponded.Store(true)
	if block.IsFinal && !block.MayHaveRun {
		pass.mayHaveRun.Add(-1)
	}
	homequery.markSlow(block.Slow)
	result := shardResult{blockRecords: block.Records}
	for index, name := range block.Shards {
		shard, isUnsettled := homequery.unsettled[name]
		if !isUnsettled || index >= len(block.Signatures) {
			pass.fanout.Metrics.Add("blocks.foreign", 1)
			return
		}
		part := api.Part{Shard: name, Snapshot: pass.partSpec.Snapshot, Epoch: shard.Epoch, Signature: block.Signatures[index]}
		result.blockParts = append(result.blockParts, part)
	}
	for _, name := range block.Shards {
		delete(homequery.unsettled, name)
	}
	if len(result.blockParts) > 0 {
		homequery.deliver(result)
	}
	for _, missing := range block.Missing {
		if _, isUnsettled := homequery.unsettled[missing.Shard]; isUnsettled && missing.Reason != api.MissingMoved {
			delete(homequery.unsettled, missing.Shard)
			pass.request.Trace.Add(trace.GaveUp, missing.Shard, homequery.group.Peer.Instance.Name, string(missing.Reason))
			homequery.deliver(shardResult{shard: missing.Shard, reason: missing.Reason})
		}
	}
}

// slowTime is how long a replica that a home calls slow is asked last. Replicas
// that are slow for a cause stay so for seconds.
const slowReplicaTime = time.Second

// avoid notes the replicas that the home calls slow.
func (homequery *homeQuery[C, H, L, P]) markSlow(slow []uint32) {
	if len(slow) == 0 {
		return
	}
	until := int64(view.Since() + slowReplicaTime)
	for _, replica := range homequery.replicas {
		if slices.Contains(slow, ReplicaHash(replica)) {
			replica.Traffic.SlowUntil.Store(until)
		}
	}
}

func (homequery *homeQuery[C, H, L, P]) deliver(result shardResult) {
	select {
	case homequery.pass.results <- result:
	case <-homequery.ctx.Done():
	}
}
