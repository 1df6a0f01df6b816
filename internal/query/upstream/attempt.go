package upstream

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// attemptResult is what one attempt brought.
type attemptResult struct {
	part   api.Part
	reason api.MissingReason
	newer  newer
}

// attempt is one request to one replica.
type attempt[C Choice, H Hedge] struct {
	fetch   *fetch[C, H]
	ctx     context.Context
	replica *view.Replica
}

func (attempt *attempt[C, H]) run() { attempt.fetch.attempts <- attempt.send() }

// send sends the attempt, unless its replica began to leave since it was
// chosen. It waits first where this process was paused.
func (attempt *attempt[C, H]) send() attemptResult {
	fetch := attempt.fetch
	fanout := fetch.fanout
	fanout.Published.Current(attempt.ctx)
	traffic := attempt.replica.Traffic
	if traffic.Leaving.Load() || attempt.ctx.Err() != nil {
		return attemptResult{reason: api.MissingRefused}
	}
	link := fanout.Links.Get(attempt.replica, len(fetch.request.View.Members))
	fetch.sent.Add(1)
	traffic.InFlight.Add(1)
	start := view.Since()
	after := silenceOf(attempt.replica)
	watch := &silenceWatch{ctx: attempt.ctx, link: link, replica: attempt.replica, start: start, after: after, silent: fetch.silent}
	timer := time.AfterFunc(after, watch.run)
	reply, err := link.Send(attempt.ctx, attempt.message())
	timer.Stop()
	latency := view.Since() - start
	traffic.InFlight.Add(-1)
	if err != nil {
		return attempt.judgeError(latency)
	}
	attempt.observe(reply)
	return attempt.judgeReply(reply, latency)
}

func (attempt *attempt[C, H]) message() api.Attempt {
	fetch := attempt.fetch
	return api.Attempt{
		Identity: strconv.FormatUint(rand.Uint64(), 36),
		Shard:    fetch.shard.Name,
		Kind:     fetch.request.Query.Kind,
		Snapshot: fetch.pin.Snapshot,
		Epoch:    fetch.shard.Epoch,
		Timeout:  time.Until(fetch.request.Deadline),
		Body:     fetch.body,
	}
}

// Times and counts after which a failing replica is set aside.
const (
	failuresToSetAside = 3
	setAsideTime       = time.Second
)

func (attempt *attempt[C, H]) judgeError(latency time.Duration) attemptResult {
	traffic := attempt.replica.Traffic
	if attempt.ctx.Err() != nil {
		traffic.ObserveCancelled(latency)
		return attemptResult{reason: api.MissingDeadline}
	}
	if traffic.Failures.Add(1) >= failuresToSetAside {
		traffic.FailedUntil.Store(int64(view.Since() + setAsideTime))
	}
	return attemptResult{reason: api.MissingFailed}
}

// observe tells control what the reply says of its replica.
func (attempt *attempt[C, H]) observe(reply api.Reply) {
	replica := attempt.replica
	mailbox := attempt.fetch.fanout.Mailbox
	replica.Traffic.ReportedLoad.Store(int64(reply.Load))
	replica.Traffic.ReportedAt.Store(int64(view.Since()))
	if reply.Leaving {
		message.ReportLeaving(mailbox, replica)
	}
	message.ReportHeld(mailbox, replica, reply.Held)
}

func (attempt *attempt[C, H]) judgeReply(reply api.Reply, latency time.Duration) attemptResult {
	fetch := attempt.fetch
	switch reply.Status {
	case api.ReplyDone:
		part := api.Part{Shard: fetch.shard.Name, Snapshot: reply.Snapshot, Epoch: reply.Epoch, Body: reply.Body}
		if fetch.pin.Check(part) != nil {
			fetch.fanout.Metrics.Add("parts.foreign", 1)
			return attemptResult{reason: api.MissingFailed}
		}
		attempt.replica.Traffic.Failures.Store(0)
		attempt.replica.Traffic.ObserveLatency(latency)
		return attemptResult{part: part}
	case api.ReplySnapshotGone:
		return attemptResult{reason: api.MissingSnapshotGone, newer: newerThan(fetch.pin.Snapshot, reply.Held)}
	case api.ReplyMoved:
		return attemptResult{reason: api.MissingMoved, newer: fetch.movedEpoch()}
	case api.ReplyFailed:
		return attemptResult{reason: api.MissingFailed}
	}
	return attemptResult{reason: api.MissingRefused}
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
func (fetch *fetch[C, H]) movedEpoch() newer {
	index := fetch.fanout.Published.Load().Indexes[fetch.request.Scope.Index]
	for _, shard := range index.Shards {
		if shard.Name == fetch.shard.Name {
			return newer{isSet: shard.Epoch != fetch.shard.Epoch}
		}
	}
	return newer{isSet: true}
}
