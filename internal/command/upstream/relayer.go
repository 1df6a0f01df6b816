package upstream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/budget"
	"github.com/mimosaspring/mimosaspring/internal/state/choice"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
)

const (
	// refusedPause is the wait before replicas that all refused a command are
	// asked again; most slots are free again after a few such times.
	refusedPause = 20 * time.Millisecond
	// retryPart is the part of the retry budget that commands may use.
	retryPart = 1
)

// Relayer passes non-idempotent requests whole to a replica, each at most
// once.
type Relayer[C choice.Policy] struct {
	Choice    C
	Links     *http.Links[*http.RelayLink]
	Published *view.PublishedView
	Mailbox   *mailbox.Mailbox[message.Message]
	Budget    *budget.Budget
}

// Command is a non-idempotent request that is passed whole to one replica.
type Command struct {
	View    *view.View
	Shard   view.Shard
	Relayed *api.RelayedRequest
	// Deadline is when the answer must be on its way.
	Deadline time.Time
	// RefuseAt is from when a command that no replica took is refused rather
	// than offered again.
	RefuseAt time.Time
	// Trace takes the decisions about the command; nil takes none.
	Trace *trace.Trace
}

func (command Command) note(kind trace.Kind, replica, detail string) {
	command.Trace.Add(kind, command.Shard.Name, replica, detail)
}

// Send runs command on one replica at most. It is sent again only where the
// attempt before is proved not to have run.
func (relayer *Relayer[C]) Send(ctx context.Context, command Command) api.Answer {
	ctx, cancel := context.WithDeadline(ctx, command.Deadline)
	defer cancel()
	relayer.Budget.RecordFirst(command.Shard.Upstream.Name)
	tried := make(map[string]bool)
	refusals := 0
	for isFirst := true; ctx.Err() == nil; isFirst = false {
		replica := relayer.choose(ctx, command.Shard, tried)
		if replica == nil {
			if len(tried) == 0 || !pauseUntil(ctx, command.RefuseAt) {
				return refused("no replica of upstream " + command.Shard.Name + " took the command")
			}
			clear(tried)
			continue
		}
		if !isFirst && !relayer.Budget.Allow(command.Shard.Upstream.Name, retryPart) {
			command.note(trace.RetryBudgetExhausted, "", "upstream "+command.Shard.Upstream.Name)
			return refused("the retry budget of upstream " + command.Shard.Name + " is spent")
		}
		tried[replica.Instance.Name] = true
		command.note(trace.AttemptSent, replica.Instance.Name, "")
		answer, isFinal := relayer.attempt(ctx, replica, command)
		if isFinal {
			return answer
		}
		refusals++
		if refusals >= mostRefusals {
			break
		}
	}
	return refused("no replica of upstream " + command.Shard.Name + " took the command in time")
}

// mostRefusals bounds how often one command is offered.
const mostRefusals = 8

func refused(reason string) api.Answer {
	return api.Answer{Outcome: api.OutcomeNotRun, Reason: reason, RetryAfter: refusalRetry, IsProvenNotRun: true}
}

// pauseUntil waits for refusedPause. It reports false where that would pass
// the given time or ctx ends first.
func pauseUntil(ctx context.Context, most time.Time) bool {
	if time.Until(most) < refusedPause {
		return false
	}
	timer := time.NewTimer(refusedPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// choose picks a replica that was not tried and may take work. It waits where
// this process was paused, so that it acts on fresh news.
func (relayer *Relayer[C]) choose(ctx context.Context, shard view.Shard, tried map[string]bool) *view.Replica {
	relayer.Published.Current(ctx)
	usable := view.UsableReplicas(shard.Replicas, func(name string) bool { return tried[name] })
	if len(usable) == 0 {
		return nil
	}
	return relayer.Choice.Choose(usable)
}

// attempt sends command to replica. It reports false where the command is
// proved not to have run and may be tried elsewhere.
func (relayer *Relayer[C]) attempt(ctx context.Context, replica *view.Replica, command Command) (api.Answer, bool) {
	link := relayer.Links.Get(replica, len(command.View.Members))
	attempt := api.Attempt{
		Shard:          command.Shard.Name,
		IsCommand:      true,
		Deadline:       command.Deadline,
		RelayedRequest: command.Relayed,
		Replica:        replica.Instance.Name,
	}
	start := replica.Stats.BeginAttempt()
	reply, err := link.Send(ctx, attempt)
	replica.Stats.EndAttempt()
	if err != nil {
		command.note(trace.AttemptFailed, replica.Instance.Name, err.Error())
		return relayer.judgeError(ctx, replica, err)
	}
	if reply.Status != api.ReplyDone {
		command.note(trace.AttemptFailed, replica.Instance.Name, "the replica answered "+string(reply.Status))
	}
	return relayer.judgeReply(replica, reply, view.MonotonicNow()-start)
}

func (relayer *Relayer[C]) judgeError(ctx context.Context, replica *view.Replica, err error) (api.Answer, bool) {
	replica.Stats.ObserveOutcome(false)
	var senderror *http.SendError
	if errors.As(err, &senderror) && !senderror.MayHaveRun {
		return api.Answer{}, false
	}
	reason := "the command may have run: " + err.Error()
	return api.Answer{Outcome: api.OutcomeUnknown, Reason: reason, IsDeadlineExceeded: ctx.Err() != nil}, true
}

func (relayer *Relayer[C]) judgeReply(replica *view.Replica, reply api.Reply, latency time.Duration) (api.Answer, bool) {
	traffic := replica.Stats
	traffic.ObserveOutcome(reply.Status == api.ReplyDone)
	traffic.ObserveReport(reply)
	if reply.Status == api.ReplyWrongReplica {
		message.ReportLeaving(relayer.Mailbox, replica)
	}
	switch {
	case reply.Status == api.ReplyDone:
		traffic.ObserveLatency(latency)
		return api.Answer{Outcome: api.OutcomeDone, Response: reply.Response, SentRequests: 1}, true
	case reply.Status.IsNotRun():
		return api.Answer{}, false
	}
	reason := "replica " + replica.Instance.Name + " failed the command"
	return api.Answer{Outcome: api.OutcomeUnknown, Reason: reason, Response: reply.Response}, true
}
