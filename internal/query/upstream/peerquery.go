package upstream

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// peerQuery collects the parts of the shards that a peer asked this instance to
// query.
type peerQuery[C Choice, H Hedge, L Link, P Placement] struct {
	pass *pass[C, H, L, P]
	send func(partialanswer api.PartialAnswer) error
	// unsentParts and unsentMissing hold the parts and the missing shards that
	// no partial answer has included yet.
	unsentParts   []api.Part
	unsentMissing []api.MissingShard
	// unsettledCount is the number of shards that have neither a part nor a
	// reason why they are missing.
	unsettledCount int
	// settledShards names the other shards.
	settledShards []string
}

// RunForPeer queries the replicas of the request's shards on behalf of a peer
// and passes the results to send in partial answers. It sends a partial answer
// when all shards have a result, at progressShare of the time to the target
// time so that the peer knows that this instance is alive, and at the target
// time; results after the target time are sent one by one. The unknownShards,
// which this instance cannot query, are reported as missing in the first partial
// answer.
func (fanout *Fanout[C, H, L, P]) RunForPeer(ctx context.Context, request Request, unknownShards []api.MissingShard, send func(partialanswer api.PartialAnswer) error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(api.ErrAnswered)
	snapshot := request.View.Indexes[request.Scope.Index].Snapshot
	peerquery := &peerQuery[C, H, L, P]{pass: fanout.newPass(request, snapshot), send: send, unsentMissing: unknownShards, unsettledCount: len(request.Selection.Shards)}
	// Attempts that still wait are not sent after the last partial answer.
	defer peerquery.pass.possibleRuns.Close()
	// The peer passes over a home that is silent for longer.
	if !peerquery.pass.start(ctx, min(peerquery.pass.memoryWait(), untargetedHomeTimeout/2)) {
		peerquery.refuse()
	}
	if err := peerquery.run(ctx); err != nil {
		fanout.Metrics.Add("cells.unsent", 1)
	}
}

// refuse reports all shards as missing.
func (peerquery *peerQuery[C, H, L, P]) refuse() {
	for _, shard := range peerquery.pass.request.Selection.Shards {
		peerquery.addResult(&shardResult{shard: shard.Name, reason: api.MissingRefused, retryAfter: noMemoryRetryAfter})
	}
}

func (peerquery *peerQuery[C, H, L, P]) run(ctx context.Context) error {
	progressTimer, targetTimer := peerquery.timers()
	defer progressTimer.stop()
	defer targetTimer.stop()
	var endTimer optionalTimer
	endTimer.start(time.Until(peerquery.pass.request.Deadline) - homeEndMargin)
	defer endTimer.stop()
	isPastTarget := false
	for peerquery.unsettledCount > 0 {
		var err error
		select {
		case result := <-peerquery.pass.results:
			peerquery.addResult(result)
			if isPastTarget && peerquery.unsettledCount > 0 {
				err = peerquery.sendPartialAnswer(false)
			}
		case <-progressTimer.channel():
			err = peerquery.sendPartialAnswer(false)
		case <-targetTimer.channel():
			isPastTarget = true
			err = peerquery.sendPartialAnswer(false)
		case <-endTimer.channel():
			if peerquery.endUnsent() {
				return peerquery.sendPartialAnswer(true)
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if err != nil {
			return err
		}
	}
	return peerquery.sendPartialAnswer(true)
}

// homeEndMargin is how long before the deadline of a query a home that has sent it to
// no replica says so. Its peer needs the time to tell its caller.
const homeEndMargin = 12 * time.Millisecond

// endUnsent ends the query if no replica may have run it, and reports whether it did.
// The shards without a result are then missing.
func (peerquery *peerQuery[C, H, L, P]) endUnsent() bool {
	pass := peerquery.pass
	if pass.possibleRuns.Count.Load() > 0 || !pass.possibleRuns.Close() {
		return false
	}
	for _, shard := range pass.request.Selection.Shards {
		if !slices.Contains(peerquery.settledShards, shard.Name) {
			peerquery.unsentMissing = append(peerquery.unsentMissing, api.MissingShard{Shard: shard.Name, Reason: api.MissingDeadline})
		}
	}
	return true
}

// timers returns the timer of the first partial answer, which shows the peer
// that this instance is alive, and the timer of the target time. Without a target
// time the first partial answer is sent after half of untargetedHomeTimeout, and
// the second timer never fires.
func (peerquery *peerQuery[C, H, L, P]) timers() (optionalTimer, optionalTimer) {
	var progressTimer, targetTimer optionalTimer
	target := peerquery.pass.request.TargetTime
	if target.IsZero() {
		progressTimer.start(untargetedHomeTimeout / 2)
		return progressTimer, targetTimer
	}
	timeToTarget := time.Until(target)
	progressTimer.start(time.Duration(progressShare * float64(timeToTarget)))
	targetTimer.start(timeToTarget)
	return progressTimer, targetTimer
}

func (peerquery *peerQuery[C, H, L, P]) addResult(result *shardResult) {
	peerquery.unsettledCount--
	peerquery.settledShards = append(peerquery.settledShards, result.shard)
	if result.reason != "" {
		peerquery.unsentMissing = append(peerquery.unsentMissing, api.MissingShard{Shard: result.shard, Reason: result.reason, RetryAfter: result.retryAfter})
		return
	}
	peerquery.unsentParts = append(peerquery.unsentParts, result.part)
}

const (
	// slowLatencyFactor is the multiple of the fastest replica's expected
	// latency above which another replica of the shard counts as slow.
	slowLatencyFactor = 3
	// slowFailureRate is the failure rate above which a replica counts as slow.
	slowFailureRate = 0.3
)

// slowReplicaHashes returns the hashed names of the replicas that are slow
// compared with the other replicas of their shard, or that fail often.
func slowReplicaHashes(shards []view.Shard) []uint32 {
	now := view.MonotonicNow()
	var hashes []uint32
	for _, shard := range shards {
		fastest := time.Duration(math.MaxInt64)
		for _, replica := range shard.Replicas {
			fastest = min(fastest, replica.Stats.ExpectedLatency(now))
		}
		for _, replica := range shard.Replicas {
			replicastats := replica.Stats
			isSlow := fastest > 0 && replicastats.ExpectedLatency(now) > slowLatencyFactor*fastest
			if isSlow || replicastats.FailureRateAt(now) > slowFailureRate {
				hashes = append(hashes, ReplicaHash(replica))
			}
		}
	}
	return hashes
}

// sendPartialAnswer sends the unsent parts and missing shards. The final
// partial answer also names the slow replicas.
func (peerquery *peerQuery[C, H, L, P]) sendPartialAnswer(isFinal bool) error {
	partialanswer := api.PartialAnswer{MissingShards: peerquery.unsentMissing, IsFinal: isFinal, MayHaveRun: peerquery.pass.possibleRuns.Count.Load() > 0}
	if isFinal {
		partialanswer.MayHaveRun = !peerquery.pass.possibleRuns.Close()
	}
	bodies := make([][]byte, 0, len(peerquery.unsentParts))
	for _, part := range peerquery.unsentParts {
		partialanswer.Shards = append(partialanswer.Shards, part.Shard)
		partialanswer.Signatures = append(partialanswer.Signatures, part.Signature)
		bodies = append(bodies, part.Body)
	}
	if isFinal {
		partialanswer.SlowReplicaHashes = slowReplicaHashes(peerquery.pass.request.Selection.Shards)
	}
	partialanswer.Records = TopRecords(bodies, peerquery.pass.request.Scope.TopK)
	peerquery.unsentParts, peerquery.unsentMissing = nil, nil
	return peerquery.send(partialanswer)
}
