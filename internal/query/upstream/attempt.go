package upstream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// attemptResult is the outcome of one attempt: a part, or the reason why there
// is none.
type attemptResult struct {
	part   api.Part
	reason api.MissingReason
	// isNotRun is set if the attempt is known not to have run on the replica.
	isNotRun bool
	// isUnsent is set if the request was never sent to the replica.
	isUnsent     bool
	newerVersion newerVersion
}

// attempt is one request to one replica.
type attempt[C Choice, H Hedge, L Link, P Placement] struct {
	shardQuery *shardQuery[C, H, L, P]
	ctx        context.Context
	replica    *view.Replica
	// waitFactor is the replica's WaitFactor when the attempt began.
	waitFactor float64
	countedRun api.AttemptRun
}

// run sends the request and passes the result to the shardQuery, unless that has
// ended, which ends ctx.
func (attempt *attempt[C, H, L, P]) run() {
	result := attempt.send()
	select {
	case attempt.shardQuery.attemptResults <- &result:
	case <-attempt.ctx.Done():
	}
}

// send sends the request and waits for the reply. It sends nothing if the
// replica takes no requests any more since it was chosen. After a pause of this
// process it first waits for an up-to-date View.
func (attempt *attempt[C, H, L, P]) send() attemptResult {
	pass := attempt.shardQuery.pass
	pass.fanout.CurrentView.Current(attempt.ctx)
	replicastats := attempt.replica.Stats
	if replicastats.Wait(view.MonotonicNow()) > 0 || attempt.ctx.Err() != nil {
		return attemptResult{reason: api.MissingRefused, isNotRun: true, isUnsent: true}
	}
	attempt.countedRun = api.AttemptRun{Query: &pass.possibleRuns}
	if !attempt.countedRun.Add() {
		return attemptResult{reason: api.MissingDeadline, isNotRun: true, isUnsent: true}
	}
	link := pass.fanout.Links.Get(attempt.replica, len(pass.request.View.Members))
	pass.sentAttempts.Add(1)
	attempt.waitFactor = attempt.replica.WaitFactor(view.MonotonicNow())
	start := replicastats.BeginAttempt()
	stallcheck := attempt.startStallCheck(link, start)
	reply, err := link.Send(attempt.ctx, attempt.message())
	if stallcheck != nil {
		stallcheck.stop()
	}
	replicastats.EndAttempt()
	attempt.traceQueue()
	latency := view.MonotonicNow() - start
	if err != nil {
		return attempt.errorResult(err, latency)
	}
	attempt.reportReplica(reply)
	return attempt.replyResult(reply, latency)
}

// minTracedWait is the shortest wait for a connection that is recorded.
const minTracedWait = 5 * time.Millisecond

// traceQueue records how long the attempt waited for a connection, and behind what.
func (attempt *attempt[C, H, L, P]) traceQueue() {
	run := attempt.countedRun
	if run.QueuedFor < minTracedWait {
		return
	}
	request := attempt.shardQuery.pass.request
	attempt.shardQuery.pass.fanout.Metrics.AddLabelled("attempts.queued.priority", strconv.Itoa(request.Scope.Priority), 1)
	detail := fmt.Sprintf("%s behind %d, priority %d", run.QueuedFor.Round(time.Millisecond), run.QueuedBehind, request.Scope.Priority)
	attempt.shardQuery.addTrace(trace.AttemptQueued, attempt.replica.Instance.Name, detail)
}

// startStallCheck schedules a stallCheck for the attempt that began at start, a time
// since view.MonotonicOrigin. It returns nil if the link cannot run a health check
// on its connection while an attempt is waiting.
func (attempt *attempt[C, H, L, P]) startStallCheck(link L, start time.Duration) *stallCheck[*http.Link] {
	checkedLink := link.HealthCheckedLink()
	if checkedLink == nil {
		return nil
	}
	stallcheck := &stallCheck[*http.Link]{ctx: attempt.ctx, link: checkedLink, replica: attempt.replica, attemptStart: start, stalledReplicas: attempt.shardQuery.stalledReplicas}
	stallcheck.schedule(stallTimeout(attempt.replica))
	return stallcheck
}

func (attempt *attempt[C, H, L, P]) message() api.Attempt {
	shardquery := attempt.shardQuery
	message := api.Attempt{
		Shard:          shardquery.shard.Name,
		Kind:           shardquery.pass.request.Query.Kind,
		Snapshot:       shardquery.pass.partSpec.Snapshot,
		Epoch:          shardquery.shard.Epoch,
		Deadline:       shardquery.pass.request.Deadline,
		TargetTime:     shardquery.pass.request.TargetTime,
		Priority:       shardquery.pass.request.Scope.Priority,
		Rank:           shardquery.pass.rank,
		Body:           shardquery.pass.body,
		RelayedRequest: shardquery.pass.request.RelayedRequest,
		Replica:        attempt.replica.Instance.Name,
		Run:            &attempt.countedRun,
	}
	if message.RelayedRequest == nil {
		message.Identity = strconv.FormatUint(rand.Uint64(), 36)
	}
	return message
}

// A replica is ejected, that is, chosen only if no other is left, for
// ejectionTime after failuresUntilEjection failed attempts without a successful
// one in between.
const (
	failuresUntilEjection = 3
	ejectionTime          = time.Second
)

// errorResult records a failed request in the replica's statistics and returns
// its result. A request that ended with its query counts as cancelled and not
// as a failure of the replica.
func (attempt *attempt[C, H, L, P]) errorResult(err error, latency time.Duration) attemptResult {
	replicastats := attempt.replica.Stats
	var senderror *http.SendError
	isNotRun := errors.As(err, &senderror) && !senderror.MayHaveRun
	if isNotRun {
		attempt.countedRun.Remove()
	}
	if attempt.ctx.Err() != nil || errors.Is(err, http.ErrAnsweredBefore) {
		replicastats.ObserveCancelled(latency, attempt.waitFactor)
		attempt.observePace(view.PacedOutcome{IsCancelled: true, Latency: latency})
		return attemptResult{reason: api.MissingDeadline, isNotRun: isNotRun}
	}
	attempt.shardQuery.addTrace(trace.AttemptFailed, attempt.replica.Instance.Name, err.Error())
	if errors.Is(err, http.ErrNotAccepting) {
		return attemptResult{reason: api.MissingRefused, isNotRun: true, isUnsent: true}
	}
	replicastats.ObserveOutcome(false)
	attempt.observePace(view.PacedOutcome{})
	if http.IsUnreachable(err) {
		attempt.replica.ObserveUnreachable(view.MonotonicNow())
	}
	if replicastats.ConsecutiveFailures.Add(1) >= failuresUntilEjection {
		ejectedUntil := view.MonotonicNow() + ejectionTime
		replicastats.EjectedUntil.Store(int64(ejectedUntil))
		replicastats.BeginPace(ejectedUntil)
	}
	// Each connection that is reset costs the replica time. The retry budget bounds
	// them.
	isUnsent := isNotRun && !errors.Is(err, http.ErrResetBefore)
	return attemptResult{reason: api.MissingFailed, isNotRun: isNotRun, isUnsent: isUnsent}
}

// observePace advances the pace of the replica by the outcome of the attempt.
func (attempt *attempt[C, H, L, P]) observePace(outcome view.PacedOutcome) {
	outcome.WaitFactor = attempt.waitFactor
	attempt.replica.ObservePace(attempt.shardQuery.shard.Replicas, outcome)
}

// reportReplica records the load that the reply states, and reports to the
// control goroutine whether the replica is leaving and which snapshots it
// holds.
func (attempt *attempt[C, H, L, P]) reportReplica(reply api.Reply) {
	replica := attempt.replica
	mailbox := attempt.shardQuery.pass.fanout.Mailbox
	replica.Stats.ObserveReport(reply)
	if reply.IsLeaving || reply.Status == api.ReplyWrongReplica {
		message.ReportLeaving(mailbox, replica)
	}
	message.ReportSnapshots(mailbox, replica, reply.HeldSnapshots)
}

// replyResult records the reply's status in the replica's statistics and returns
// the attempt's result.
func (attempt *attempt[C, H, L, P]) replyResult(reply api.Reply, latency time.Duration) attemptResult {
	shardquery := attempt.shardQuery
	replicastats := attempt.replica.Stats
	if reply.Status.IsNotRun() {
		attempt.countedRun.Remove()
	}
	replicastats.ObserveOutcome(reply.Status == api.ReplyDone)
	attempt.observePace(view.PacedOutcome{Status: reply.Status, Latency: latency})
	if reply.Status != api.ReplyDone {
		shardquery.addTrace(trace.AttemptFailed, attempt.replica.Instance.Name, reply.Summary())
	}
	switch reply.Status {
	case api.ReplyDone:
		return attempt.doneResult(reply, latency)
	case api.ReplySnapshotGone:
		return attemptResult{reason: api.MissingSnapshotGone, isNotRun: true, newerVersion: newerSnapshot(shardquery.pass.partSpec.Snapshot, reply.HeldSnapshots)}
	case api.ReplyMoved:
		return attemptResult{reason: api.MissingMoved, isNotRun: true, newerVersion: shardquery.newerEpoch()}
	case api.ReplyFailed:
		part := api.Part{Shard: shardquery.shard.Name, Signature: reply.Signature, Response: reply.Response}
		return attemptResult{reason: api.MissingFailed, part: part}
	}
	return attemptResult{reason: api.MissingRefused, isNotRun: true}
}

// doneResult returns the part in a successful reply, or a failure if the part
// does not match the pass's snapshot, epoch and form.
func (attempt *attempt[C, H, L, P]) doneResult(reply api.Reply, latency time.Duration) attemptResult {
	shardquery := attempt.shardQuery
	part := api.Part{
		Shard:     shardquery.shard.Name,
		Snapshot:  reply.Snapshot,
		Epoch:     reply.Epoch,
		Body:      reply.Body,
		Signature: reply.Signature,
		Response:  reply.Response,
	}
	if shardquery.pass.partSpec.Check(part) != nil {
		shardquery.pass.fanout.Metrics.Add("parts.foreign", 1)
		return attemptResult{reason: api.MissingFailed}
	}
	attempt.replica.Stats.ConsecutiveFailures.Store(0)
	attempt.replica.Stats.ObserveLatency(latency, attempt.waitFactor)
	return attemptResult{part: part}
}

// newerSnapshot returns the newest of heldSnapshots if it is newer than
// snapshot.
func newerSnapshot(snapshot uint64, heldSnapshots []uint64) newerVersion {
	if len(heldSnapshots) == 0 || slices.Max(heldSnapshots) <= snapshot {
		return newerVersion{}
	}
	return newerVersion{isSet: true, snapshot: slices.Max(heldSnapshots)}
}

// newerEpoch returns a newer version if the current View has a different epoch
// of the shard, or no longer has the shard. The version names no snapshot.
func (shardquery *shardQuery[C, H, L, P]) newerEpoch() newerVersion {
	index := shardquery.pass.fanout.CurrentView.Load().Indexes[shardquery.pass.request.Scope.Index]
	for _, shard := range index.Shards {
		if shard.Name == shardquery.shard.Name {
			return newerVersion{isSet: shard.Epoch != shardquery.shard.Epoch}
		}
	}
	return newerVersion{isSet: true}
}
