package upstream

import (
	"context"
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

// attemptResult is what one attempt brought.
type attemptResult struct {
	part   api.Part
	reason api.MissingReason
	// isNotRun is set where the attempt is proved not to have run.
	isNotRun bool
	// isUnsent is set where it did not reach the replica.
	isUnsent bool
	newer    newer
}

// attempt is one request to one replica.
type attempt[C Choice, H Hedge, L Link, P Placement] struct {
	fetch   *fetch[C, H, L, P]
	ctx     context.Context
	replica *view.Replica
}

func (attempt *attempt[C, H, L, P]) run() { attempt.fetch.attempts <- attempt.send() }

// send sends the attempt, unless its replica began to leave since it was
// chosen. It waits first where this process was paused.
func (attempt *attempt[C, H, L, P]) send() attemptResult {
	pass := attempt.fetch.pass
	pass.fanout.Published.Current(attempt.ctx)
	traffic := attempt.replica.Stats
	if traffic.IsLeaving.Load() || attempt.ctx.Err() != nil {
		return attemptResult{reason: api.MissingRefused, isNotRun: true}
	}
	link := pass.fanout.Links.Get(attempt.replica, len(pass.request.View.Members))
	pass.sent.Add(1)
	pass.unproved.Add(1)
	start := traffic.BeginAttempt()
	watch := attempt.watch(link, start)
	reply, err := link.Send(attempt.ctx, attempt.message())
	if watch != nil {
		watch.Stop()
	}
	traffic.EndAttempt()
	latency := view.MonotonicNow() - start
	if err != nil {
		return attempt.judgeError(err, latency)
	}
	attempt.observe(reply)
	return attempt.judgeReply(reply, latency)
}

// watch starts the check for a silent connection where the link's connection
// can be checked beside an attempt.
func (attempt *attempt[C, H, L, P]) watch(link L, start time.Duration) *time.Timer {
	checked := link.HealthCheckedLink()
	if checked == nil {
		return nil
	}
	after := silenceOf(attempt.replica)
	watch := &silenceWatch{ctx: attempt.ctx, link: checked, replica: attempt.replica, start: start, after: after, silent: attempt.fetch.silent}
	return time.AfterFunc(after, watch.run)
}

func (attempt *attempt[C, H, L, P]) message() api.Attempt {
	fetch := attempt.fetch
	message := api.Attempt{
		Shard:          fetch.shard.Name,
		Kind:           fetch.pass.request.Query.Kind,
		Snapshot:       fetch.pass.pin.Snapshot,
		Epoch:          fetch.shard.Epoch,
		Deadline:       fetch.pass.request.Deadline,
		TargetTime:     fetch.pass.request.Target,
		Rank:           fetch.pass.rank,
		Body:           fetch.pass.body,
		RelayedRequest: fetch.pass.request.RelayedRequest,
		Replica:        attempt.replica.Instance.Name,
	}
	if message.RelayedRequest == nil {
		message.Identity = strconv.FormatUint(rand.Uint64(), 36)
	}
	return message
}

// Times and counts after which a failing replica is set aside.
const (
	failuresToSetAside = 3
	setAsideTime       = time.Second
)

func (attempt *attempt[C, H, L, P]) judgeError(err error, latency time.Duration) attemptResult {
	traffic := attempt.replica.Stats
	var senderror *http.SendError
	isNotRun := errors.As(err, &senderror) && !senderror.MayHaveRun
	if isNotRun {
		attempt.fetch.pass.unproved.Add(-1)
	}
	if attempt.ctx.Err() != nil {
		traffic.ObserveCancelled(latency)
		return attemptResult{reason: api.MissingDeadline, isNotRun: isNotRun}
	}
	traffic.ObserveOutcome(false)
	attempt.fetch.note(trace.AttemptFailed, attempt.replica.Instance.Name, err.Error())
	if traffic.ConsecutiveFailures.Add(1) >= failuresToSetAside {
		traffic.EjectedUntil.Store(int64(view.MonotonicNow() + setAsideTime))
	}
	return attemptResult{reason: api.MissingFailed, isNotRun: isNotRun, isUnsent: isNotRun}
}

// observe tells control what the reply says of its replica.
func (attempt *attempt[C, H, L, P]) observe(reply api.Reply) {
	replica := attempt.replica
	mailbox := attempt.fetch.pass.fanout.Mailbox
	replica.Stats.ObserveReport(reply)
	if reply.IsLeaving || reply.Status == api.ReplyWrongReplica {
		message.ReportLeaving(mailbox, replica)
	}
	message.ReportSnapshots(mailbox, replica, reply.HeldSnapshots)
}

func (attempt *attempt[C, H, L, P]) judgeReply(reply api.Reply, latency time.Duration) attemptResult {
	fetch := attempt.fetch
	traffic := attempt.replica.Stats
	if reply.Status.IsNotRun() {
		fetch.pass.unproved.Add(-1)
	}
	traffic.ObserveOutcome(reply.Status == api.ReplyDone)
	if reply.Status != api.ReplyDone {
		fetch.note(trace.AttemptFailed, attempt.replica.Instance.Name, "the replica answered "+string(reply.Status))
	}
	switch reply.Status {
	case api.ReplyDone:
		return attempt.take(reply, latency)
	case api.ReplySnapshotGone:
		return attemptResult{reason: api.MissingSnapshotGone, isNotRun: true, newer: newerThan(fetch.pass.pin.Snapshot, reply.HeldSnapshots)}
	case api.ReplyMoved:
		return attemptResult{reason: api.MissingMoved, isNotRun: true, newer: fetch.movedEpoch()}
	case api.ReplyFailed:
		part := api.Part{Shard: fetch.shard.Name, Signature: reply.Signature, Response: reply.Response}
		return attemptResult{reason: api.MissingFailed, part: part}
	}
	return attemptResult{reason: api.MissingRefused, isNotRun: true}
}

func (attempt *attempt[C, H, L, P]) take(reply api.Reply, latency time.Duration) attemptResult {
	fetch := attempt.fetch
	part := api.Part{
		Shard:     fetch.shard.Name,
		Snapshot:  reply.Snapshot,
		Epoch:     reply.Epoch,
		Body:      reply.Body,
		Signature: reply.Signature,
		Response:  reply.Response,
	}
	if fetch.pass.pin.Check(part) != nil {
		fetch.pass.fanout.Metrics.Add("parts.foreign", 1)
		return attemptResult{reason: api.MissingFailed}
	}
	attempt.replica.Stats.ConsecutiveFailures.Store(0)
	attempt.replica.Stats.ObserveLatency(latency)
	return attemptResult{part: part}
}

// newerThan names the newest snapshot that a replica holds, if it is beyond
// the pinned one.
func newerThan(snapshot uint64, held []uint64) newer {
	if len(held) == 0 || slices.Max(held) <= snapshot {
		return newer{}
	}
	return newer{isSet: true, snapshot: slices.Max(held)}
}

// movedEpoch asks for a restart where a newer View has another epoch of the
// shard, or none.
func (fetch *fetch[C, H, L, P]) movedEpoch() newer {
	index := fetch.pass.fanout.Published.Load().Indexes[fetch.pass.request.Scope.Index]
	for _, shard := range index.Shards {
		if shard.Name == fetch.shard.Name {
			return newer{isSet: shard.Epoch != fetch.shard.Epoch}
		}
	}
	return newer{isSet: true}
}
