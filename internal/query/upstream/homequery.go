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

// homeQuery asks one home for its shards of one query, and the replicas of those
// shards itself where the home fails.
type homeQuery[C Choice, H Hedge, L Link, P Placement] struct {
	pass  *pass[C, H, L, P]
	ctx   context.Context
	group ShardGroup
	// left holds the shards that the home has not settled.
	left map[string]view.Shard
	// known holds all replicas of the shards.
	known []*view.Replica
	// isHeard is set once a block has come.
	isHeard atomic.Bool
}

func (homequery *homeQuery[C, H, L, P]) run() {
	pass := homequery.pass
	homequery.left = make(map[string]view.Shard, len(homequery.group.Shards))
	for index, shard := range homequery.group.Shards {
		homequery.known = append(homequery.known, shard.Replicas...)
		shard.Replicas = CandidateReplicas(shard.Replicas, pass.request.Scope.MaxAttempts, homequery.group.Peer.Instance.FailureDomain)
		homequery.group.Shards[index] = shard
		homequery.left[shard.Name] = shard
	}
	query := homequery.query()
	ctx, cancel := context.WithCancelCause(homequery.ctx)
	defer cancel(api.ErrAnswered)
	patience := longPatience
	if query.TimeToTarget > 0 {
		patience = time.Duration(progressShare*float64(query.TimeToTarget)) + patienceMargin
	}
	watch := &patienceWatch[C, H, L, P]{homequery: homequery, cancel: cancel, patience: patience}
	watch.start()
	defer watch.stop()
	pass.unproved.Add(1)
	homequery.note(trace.HomeQueried, strconv.Itoa(len(query.Shards))+" shards")
	err := pass.fanout.Placement.Ask(ctx, homequery.group, query, homequery.take)
	if homequery.ctx.Err() != nil {
		return
	}
	isSent := !errors.Is(err, api.ErrNotSent)
	if !isSent {
		pass.unproved.Add(-1)
	}
	if err != nil {
		pass.fanout.Metrics.Add("homes.passedOver", 1)
		if errors.Is(context.Cause(ctx), ErrNoResponse) {
			err = ErrNoResponse
		}
		homequery.note(trace.HomeFailed, err.Error())
	}
	for _, shard := range homequery.left {
		fetch := &fetch[C, H, L, P]{pass: pass, ctx: homequery.ctx, shard: shard, isRepeat: err != nil && isSent}
		go fetch.run()
	}
}

// patienceWatch ends the wait for a home that sends nothing in time. Where no
// home of the query has sent anything, this instance is taken to be late, and
// they get as much time again.
type patienceWatch[C Choice, H Hedge, L Link, P Placement] struct {
	homequery *homeQuery[C, H, L, P]
	cancel    context.CancelCauseFunc
	patience  time.Duration

	mutex sync.Mutex
	timer *time.Timer
	// isExtended is set once the home got more time.
	isExtended bool
}

func (patiencewatch *patienceWatch[C, H, L, P]) start() {
	patiencewatch.mutex.Lock()
	defer patiencewatch.mutex.Unlock()
	patiencewatch.timer = time.AfterFunc(patiencewatch.patience, patiencewatch.check)
}

func (patiencewatch *patienceWatch[C, H, L, P]) stop() {
	patiencewatch.mutex.Lock()
	defer patiencewatch.mutex.Unlock()
	patiencewatch.timer.Stop()
}

func (patiencewatch *patienceWatch[C, H, L, P]) check() {
	patiencewatch.mutex.Lock()
	defer patiencewatch.mutex.Unlock()
	homequery := patiencewatch.homequery
	switch {
	case homequery.isHeard.Load():
	case homequery.pass.isNoHomeHeard() && !patiencewatch.isExtended:
		patiencewatch.isExtended = true
		patiencewatch.timer.Reset(patiencewatch.patience)
		homequery.pass.fanout.Metrics.Add("homes.waitedAgain", 1)
	default:
		patiencewatch.cancel(ErrNoResponse)
	}
}

func (homequery *homeQuery[C, H, L, P]) note(kind trace.Kind, detail string) {
	homequery.pass.request.Trace.Add(kind, "", homequery.group.Peer.Instance.Name, detail)
}

func (homequery *homeQuery[C, H, L, P]) query() api.HomeQuery {
	request := &homequery.pass.request
	query := api.HomeQuery{
		Index:          request.Scope.Index,
		Form:           request.Scope.Form,
		TopK:           request.Scope.TopK,
		MaxAttempts:    request.Scope.MaxAttempts,
		RelayedRequest: *request.RelayedRequest,
		TimeToDeadline: time.Until(request.Deadline),
	}
	if !request.Target.IsZero() {
		query.TimeToTarget = max(time.Until(request.Target)-cellMargin-request.InstanceLag, time.Millisecond)
	}
	for _, shard := range homequery.group.Shards {
		query.Shards = append(query.Shards, shard.Name)
		query.Epochs = append(query.Epochs, shard.Epoch)
		query.ReplicaHashes = append(query.ReplicaHashes, hashesOf(shard.Replicas))
	}
	return query
}

// CandidateReplicas returns the replicas that a query may go to where both its home
// and this instance may send it: as many as its scope allows attempts, so that
// the two together do not send it to more. Replicas of the home's failure
// domain come first; those that fail or are slow come last.
func CandidateReplicas(replicas []*view.Replica, most int, failureDomain string) []*view.Replica {
	if most <= 0 || len(replicas) <= most {
		return replicas
	}
	now := view.MonotonicNow()
	chosen := make([]*view.Replica, 0, len(replicas))
	var far, last []*view.Replica
	for _, index := range rand.Perm(len(replicas)) {
		replica := replicas[index]
		switch {
		case replica.Stats.IsEjected(now) || replica.Stats.SlowUntil.Load() > int64(now):
			last = append(last, replica)
		case replica.Instance.FailureDomain == failureDomain:
			chosen = append(chosen, replica)
		default:
			far = append(far, replica)
		}
	}
	return slices.Concat(chosen, far, last)[:most]
}

// hashesOf names replicas briefly.
func hashesOf(replicas []*view.Replica) []uint32 {
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
func (homequery *homeQuery[C, H, L, P]) take(block api.PartialAnswer) {
	pass := homequery.pass
	homequery.isHeard.Store(true)
	pass.isHomeHeard.Store(true)
	if block.IsFinal && !block.MayHaveRun {
		pass.unproved.Add(-1)
	}
	homequery.avoid(block.SlowReplicaHashes)
	result := shardResult{records: block.Records}
	for index, name := range block.Shards {
		shard, isLeft := homequery.left[name]
		if !isLeft || index >= len(block.Signatures) {
			pass.fanout.Metrics.Add("blocks.foreign", 1)
			return
		}
		part := api.Part{Shard: name, Snapshot: pass.pin.Snapshot, Epoch: shard.Epoch, Signature: block.Signatures[index]}
		result.block = append(result.block, part)
	}
	for _, name := range block.Shards {
		delete(homequery.left, name)
	}
	if len(result.block) > 0 {
		homequery.deliver(result)
	}
	for _, missing := range block.MissingShards {
		if _, isLeft := homequery.left[missing.Shard]; isLeft && missing.Reason != api.MissingMoved {
			delete(homequery.left, missing.Shard)
			pass.request.Trace.Add(trace.ShardOmitted, missing.Shard, homequery.group.Peer.Instance.Name, string(missing.Reason))
			homequery.deliver(shardResult{shard: missing.Shard, reason: missing.Reason})
		}
	}
}

// slowTime is how long a replica that a home calls slow is asked last. Replicas
// that are slow for a cause stay so for seconds.
const slowTime = time.Second

// avoid notes the replicas that the home calls slow.
func (homequery *homeQuery[C, H, L, P]) avoid(slow []uint32) {
	if len(slow) == 0 {
		return
	}
	until := int64(view.MonotonicNow() + slowTime)
	for _, replica := range homequery.known {
		if slices.Contains(slow, ReplicaHash(replica)) {
			replica.Stats.SlowUntil.Store(until)
		}
	}
}

func (homequery *homeQuery[C, H, L, P]) deliver(result shardResult) {
	select {
	case homequery.pass.results <- result:
	case <-homequery.ctx.Done():
	}
}
