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

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// ErrNoResponse is the cause with which a request to a home is cancelled if the
// home has sent nothing within its timeout.
var ErrNoResponse = errors.New("the home sent nothing in time")

const (
	// homeRoundTripMargin is the part of the time to the target time that is
	// reserved for the round trip to a home and for merging its partial answers.
	homeRoundTripMargin = 4 * time.Millisecond
	// progressShare is the share of the time to the target time after which a home
	// sends the results that it has, so that its peer knows that it is alive.
	// Most answers are complete by then.
	progressShare = 0.35
	// homeTimeoutMargin is how long after progressShare of the time to the
	// target time the peer stops waiting for the home's first partial answer.
	homeTimeoutMargin = 12 * time.Millisecond
	// untargetedHomeTimeout is how long a home may send nothing if the query
	// has no target time.
	untargetedHomeTimeout = 300 * time.Millisecond
)

// homeQuery asks one home to query its shards. If the home fails, it queries
// the replicas of the remaining shards from this instance.
type homeQuery[C Choice, H Hedge, L Link, P Placement] struct {
	pass  *pass[C, H, L, P]
	ctx   context.Context
	group ShardGroup
	// unsettledShards holds the shards for which the home has reported neither
	// a part nor a reason why they are missing, by name.
	unsettledShards map[string]view.Shard
	// replicas holds all replicas of the group's shards.
	replicas []*view.Replica
	// countedRun counts the query to the home among those that may have run.
	countedRun api.AttemptRun
	// hasResponded is set once a partial answer has arrived.
	hasResponded atomic.Bool
}

// run asks the home and waits for its partial answers. When the request to the
// home ends, it starts a shardQuery for each shard that is still unsettled, unless
// the query itself has ended.
func (homequery *homeQuery[C, H, L, P]) run() {
	pass := homequery.pass
	homequery.unsettledShards = make(map[string]view.Shard, len(homequery.group.Shards))
	for index, shard := range homequery.group.Shards {
		homequery.replicas = append(homequery.replicas, shard.Replicas...)
		shard.Replicas = CandidateReplicas(shard.Replicas, pass.request.Scope.MaxAttempts, homequery.group.Peer.Instance.FailureDomain)
		homequery.group.Shards[index] = shard
		homequery.unsettledShards[shard.Name] = shard
	}
	query := homequery.message()
	ctx, cancel := context.WithCancelCause(homequery.ctx)
	defer cancel(api.ErrAnswered)
	timeout := untargetedHomeTimeout
	if query.TimeToTarget > 0 {
		timeout = time.Duration(progressShare*float64(query.TimeToTarget)) + homeTimeoutMargin
	}
	hometimeout := &homeTimeout[C, H, L, P]{homequery: homequery, cancel: cancel, timeout: timeout}
	hometimeout.start()
	defer hometimeout.stop()
	homequery.countedRun = api.AttemptRun{Query: &pass.possibleRuns}
	if !homequery.countedRun.Add() {
		return
	}
	homequery.addTrace(trace.HomeQueried, strconv.Itoa(len(query.Shards))+" shards")
	err := pass.fanout.Placement.Ask(ctx, homequery.group, query, homequery.handlePartialAnswer)
	if homequery.ctx.Err() != nil {
		return
	}
	isSent := !errors.Is(err, api.ErrNotSent)
	if !isSent {
		homequery.countedRun.Remove()
	}
	if err != nil {
		pass.fanout.Metrics.Add("homes.passedOver", 1)
		if errors.Is(context.Cause(ctx), ErrNoResponse) {
			err = ErrNoResponse
		}
		homequery.addTrace(trace.HomeFailed, err.Error())
	}
	if !caller.AccountFrom(homequery.ctx).Hold(caller.PartFanout, int64(len(homequery.unsettledShards)*shardQueryBytes)) {
		for name := range homequery.unsettledShards {
			pass.request.Trace.Add(trace.ShardOmitted, name, "", reasonNoMemory)
			pass.deliver(homequery.ctx, &shardResult{shard: name, reason: api.MissingRefused, retryAfter: noMemoryRetryAfter})
		}
		return
	}
	for _, shard := range homequery.unsettledShards {
		shardquery := &shardQuery[C, H, L, P]{pass: pass, ctx: homequery.ctx, shard: shard, isRepeat: err != nil && isSent}
		go shardquery.run()
	}
}

// homeTimeout cancels the request to a home that sends nothing in time. If none
// of the query's homes has sent anything, this instance is assumed to be slow,
// and each home gets the same time once more.
type homeTimeout[C Choice, H Hedge, L Link, P Placement] struct {
	homequery *homeQuery[C, H, L, P]
	cancel    context.CancelCauseFunc
	timeout   time.Duration

	// mutex guards timer and isExtended.
	mutex sync.Mutex
	timer *time.Timer
	// isExtended is set once the timeout has been extended.
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

// check is called when the timeout expires.
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

// message returns the message that asks the home for its shards.
func (homequery *homeQuery[C, H, L, P]) message() api.HomeQuery {
	request := &homequery.pass.request
	query := api.HomeQuery{
		Index:          request.Scope.Index,
		Form:           request.Scope.Form,
		TopK:           request.Scope.TopK,
		MaxAttempts:    request.Scope.MaxAttempts,
		RelayedRequest: *request.RelayedRequest,
		TimeToDeadline: time.Until(request.Deadline),
		Priority:       request.Scope.Priority,
	}
	if !request.TargetTime.IsZero() {
		query.TimeToTarget = max(time.Until(request.TargetTime)-homeRoundTripMargin-request.InstanceLag, time.Millisecond)
	}
	for _, shard := range homequery.group.Shards {
		query.Shards = append(query.Shards, shard.Name)
		query.Epochs = append(query.Epochs, shard.Epoch)
		query.ReplicaHashes = append(query.ReplicaHashes, replicaHashes(shard.Replicas))
	}
	return query
}

// CandidateReplicas returns the replicas that a query may be sent to if both a
// shard's home and this instance may send it. There are as many as the scope
// allows attempts, so that the two together cannot exceed that limit. A limit
// of 0 means no limit. Replicas in the home's failure domain are preferred;
// behind them and the others come those whose pace is exhausted, those that fail, are
// slow or cold, and those that may not be used.
func CandidateReplicas(replicas []*view.Replica, limit int, failureDomain string) []*view.Replica {
	if limit <= 0 || len(replicas) <= limit {
		return replicas
	}
	now := view.MonotonicNow()
	sameDomain := make([]*view.Replica, 0, len(replicas))
	var otherDomains, paced, failingOrSlow, unusable []*view.Replica
	for _, index := range rand.Perm(len(replicas)) {
		replica := replicas[index]
		switch {
		case replica.Stats.IsEvacuated.Load() || replica.Stats.IsLeaving.Load():
			unusable = append(unusable, replica)
		case replica.Stats.ColdWait(now) > 0 || replica.Stats.IsEjected(now) || replica.Stats.SlowUntil.Load() > int64(now):
			failingOrSlow = append(failingOrSlow, replica)
		case !replica.Stats.AllowsPace(now):
			paced = append(paced, replica)
		case replica.Instance.FailureDomain == failureDomain:
			sameDomain = append(sameDomain, replica)
		default:
			otherDomains = append(otherDomains, replica)
		}
	}
	return slices.Concat(sameDomain, otherDomains, paced, failingOrSlow, unusable)[:limit]
}

// replicaHashes returns the hashed names of the replicas.
func replicaHashes(replicas []*view.Replica) []uint32 {
	hashes := make([]uint32, len(replicas))
	for index, replica := range replicas {
		hashes[index] = ReplicaHash(replica)
	}
	return hashes
}

// ReplicaHash returns the hash of the replica's name by which messages between
// instances refer to it.
func ReplicaHash(replica *view.Replica) uint32 {
	return uint32(xxhash.Sum64String(replica.Instance.Name))
}

// handlePartialAnswer delivers the results that a partial answer holds. A shard
// that the home reports as moved, because it does not know the shard's
// replicas, stays unsettled and is queried by this instance.
func (homequery *homeQuery[C, H, L, P]) handlePartialAnswer(partialanswer api.PartialAnswer) {
	pass := homequery.pass
	homequery.hasResponded.Store(true)
	pass.hasHomeResponded.Store(true)
	if partialanswer.IsFinal && !partialanswer.MayHaveRun {
		homequery.countedRun.Remove()
	}
	homequery.markSlow(partialanswer.SlowReplicaHashes)
	result := &shardResult{mergedRecords: partialanswer.Records}
	for index, name := range partialanswer.Shards {
		shard, isUnsettled := homequery.unsettledShards[name]
		if !isUnsettled || index >= len(partialanswer.Signatures) {
			pass.fanout.Metrics.Add("blocks.foreign", 1)
			return
		}
		part := api.Part{Shard: name, Snapshot: pass.partSpec.Snapshot, Epoch: shard.Epoch, Signature: partialanswer.Signatures[index]}
		result.mergedParts = append(result.mergedParts, part)
	}
	for _, name := range partialanswer.Shards {
		delete(homequery.unsettledShards, name)
	}
	if len(result.mergedParts) > 0 {
		pass.deliver(homequery.ctx, result)
	}
	for _, missing := range partialanswer.MissingShards {
		if _, isUnsettled := homequery.unsettledShards[missing.Shard]; isUnsettled && missing.Reason != api.MissingMoved {
			delete(homequery.unsettledShards, missing.Shard)
			pass.request.Trace.Add(trace.ShardOmitted, missing.Shard, homequery.group.Peer.Instance.Name, string(missing.Reason))
			pass.deliver(homequery.ctx, &shardResult{shard: missing.Shard, reason: missing.Reason, retryAfter: max(missing.RetryAfter, 0)})
		}
	}
}

// slowReplicaTime is how long a replica that a home reports as slow is chosen
// last. A replica that is slow for a persistent cause stays slow for seconds.
const slowReplicaTime = time.Second

// markSlow marks the replicas with these hashed names as slow for
// slowReplicaTime.
func (homequery *homeQuery[C, H, L, P]) markSlow(slowHashes []uint32) {
	if len(slowHashes) == 0 {
		return
	}
	until := int64(view.MonotonicNow() + slowReplicaTime)
	for _, replica := range homequery.replicas {
		if slices.Contains(slowHashes, ReplicaHash(replica)) {
			replica.Stats.SlowUntil.Store(until)
		}
	}
}
