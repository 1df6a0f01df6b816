package upstream

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/budget"
	"github.com/mimosaspring/mimosaspring/internal/state/choice"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
)

const (
	// refusalPause is the wait before a command that all replicas refused is
	// offered to them again. Most slots are free again after a few such pauses.
	refusalPause = 20 * time.Millisecond
	// budgetShare is the share of an upstream's retry budget that commands may use.
	budgetShare = 1
)

// Relayer sends non-idempotent requests of the relay protocol to replicas,
// unchanged, so that each runs at most once. The policy C chooses the replica.
type Relayer[C choice.Policy] struct {
	Choice      C
	Links       *http.Links[*http.RelayLink]
	CurrentView *view.PublishedView
	Mailbox     *mailbox.Mailbox[message.Message]
	Budget      *budget.Budget
	Metrics     *metrics.Metrics
}

// RelayedCommand is a non-idempotent request that is passed to one replica unchanged.
type RelayedCommand struct {
	View           *view.View
	Shard          view.Shard
	RelayedRequest *api.RelayedRequest
	// Deadline is the time by which the answer must have come from the replica.
	Deadline time.Time
	// RetryUntil is the time until which a command that all replicas refused is
	// offered to them again. After it, the command is refused.
	RetryUntil time.Time
	// Trace records the decisions about the command; nil records none.
	Trace *trace.Trace
	// Priority and TargetTime order the command among the requests that wait for a
	// connection to the same replica (see api.Attempt).
	Priority   int
	TargetTime time.Time
}

// addTrace records an event of the command and its shard in the trace.
func (relayedcommand RelayedCommand) addTrace(kind trace.Kind, replica, detail string) {
	relayedcommand.Trace.Add(kind, relayedcommand.Shard.Name, replica, detail)
}

// Send sends a command to the replicas of its shard, one after the other, until one
// may have run it. It sends the command again only if it is certain that the
// previous attempt did not run, and only as often as the upstream's retry budget
// allows. It gives up after maxRefusals refusals or at the deadline.
func (relayer *Relayer[C]) Send(ctx context.Context, relayedcommand RelayedCommand) api.Answer {
	ctx, cancel := context.WithDeadline(ctx, relayedcommand.Deadline)
	defer cancel()
	relayer.Budget.RecordFirst(relayedcommand.Shard.Upstream.Name)
	tried := make(map[string]bool)
	refusals := 0
	isRepeat := false
	for ctx.Err() == nil {
		replica := relayer.choose(ctx, relayedcommand.Shard, tried)
		if replica == nil {
			wait := view.CoverageWait([]view.Shard{relayedcommand.Shard}, 1, view.MonotonicNow())
			if wait > 0 {
				return refusedAnswer("no replica of upstream "+relayedcommand.Shard.Name+" takes a command now", wait)
			}
			if len(tried) == 0 || !pauseBefore(ctx, relayedcommand.RetryUntil) {
				return refusedAnswer("no replica of upstream "+relayedcommand.Shard.Name+" took the command", refusalRetryAfter)
			}
			clear(tried)
			continue
		}
		if isRepeat && !relayer.Budget.Allow(relayedcommand.Shard.Upstream.Name, budgetShare) {
			relayedcommand.addTrace(trace.RetryBudgetExhausted, "", "upstream "+relayedcommand.Shard.Upstream.Name)
			return refusedAnswer("the retry budget of upstream "+relayedcommand.Shard.Name+" is spent", refusalRetryAfter)
		}
		tried[replica.Instance.Name] = true
		relayedcommand.addTrace(trace.AttemptSent, replica.Instance.Name, "")
		outcome := relayer.attempt(ctx, replica, relayedcommand)
		if outcome.isFinal {
			return outcome.answer
		}
		isRepeat = isRepeat || outcome.isSent
		refusals++
		if refusals >= maxRefusals {
			break
		}
	}
	return refusedAnswer("no replica of upstream "+relayedcommand.Shard.Name+" took the command in time", refusalRetryAfter)
}

// maxRefusals bounds the attempts at one command, none of which ran it.
const maxRefusals = 8

// refusedAnswer returns the answer to a command that did not run, with the time
// after which the caller is told to try again.
func refusedAnswer(reason string, retryAfter time.Duration) api.Answer {
	return api.Answer{Outcome: api.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter, IsProvenNotRun: true}
}

// pauseBefore waits for refusalPause. It reports false at once if the pause would
// end after limit, and as soon as ctx ends.
func pauseBefore(ctx context.Context, limit time.Time) bool {
	if time.Until(limit) < refusalPause {
		return false
	}
	timer := time.NewTimer(refusalPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// choose returns a usable replica that is not in tried, or nil if there is none.
// After a pause of this process it first waits, for at most view.MaxRefreshWait,
// so that it does not act on an outdated View.
func (relayer *Relayer[C]) choose(ctx context.Context, shard view.Shard, tried map[string]bool) *view.Replica {
	relayer.CurrentView.Current(ctx)
	usable := view.UsableReplicas(shard.Replicas, func(name string) bool { return tried[name] })
	if len(usable) == 0 {
		return nil
	}
	return relayer.Choice.Choose(usable)
}

// attemptOutcome is what is known after an attempt at a command.
type attemptOutcome struct {
	answer api.Answer
	// isFinal is set if the command may have run, so that answer is its answer.
	isFinal bool
	// isSent is set if the replica may have received the command. Only then does
	// the next attempt draw on the retry budget.
	isSent bool
}

// attempt sends the command to replica.
func (relayer *Relayer[C]) attempt(ctx context.Context, replica *view.Replica, relayedcommand RelayedCommand) attemptOutcome {
	link := relayer.Links.Get(replica, len(relayedcommand.View.Members))
	attempt := api.Attempt{
		Shard:          relayedcommand.Shard.Name,
		IsCommand:      true,
		Deadline:       relayedcommand.Deadline,
		Priority:       relayedcommand.Priority,
		TargetTime:     relayedcommand.TargetTime,
		RelayedRequest: relayedcommand.RelayedRequest,
		Replica:        replica.Instance.Name,
	}
	waitFactor := replica.WaitFactor(view.MonotonicNow())
	start := replica.Stats.BeginAttempt()
	reply, err := link.Send(ctx, attempt)
	replica.Stats.EndAttempt()
	if !errors.Is(err, http.ErrNotAccepting) {
		outcome := view.PacedOutcome{Status: reply.Status, IsCancelled: ctx.Err() != nil, Latency: view.MonotonicNow() - start, WaitFactor: waitFactor}
		replica.ObservePace(relayedcommand.Shard.Replicas, outcome)
	}
	if err != nil {
		relayedcommand.addTrace(trace.AttemptFailed, replica.Instance.Name, err.Error())
		return relayer.answerOfError(ctx, replica, err)
	}
	if reply.Status != api.ReplyDone {
		relayedcommand.addTrace(trace.AttemptFailed, replica.Instance.Name, reply.Summary())
	}
	return relayer.answerOfReply(replica, reply, view.MonotonicNow()-start, waitFactor)
}

// answerOfError returns the outcome of an attempt that got no reply.
func (relayer *Relayer[C]) answerOfError(ctx context.Context, replica *view.Replica, err error) attemptOutcome {
	if errors.Is(err, http.ErrNotAccepting) {
		return attemptOutcome{}
	}
	replica.Stats.ObserveOutcome(false)
	var senderror *http.SendError
	if errors.As(err, &senderror) && !senderror.MayHaveRun {
		if ctx.Err() == nil && http.IsUnreachable(err) {
			replica.ObserveUnreachable(view.MonotonicNow())
		}
		return attemptOutcome{}
	}
	reason := "the command may have run: " + err.Error()
	answer := api.Answer{Outcome: api.OutcomeUnknown, Reason: reason, IsDeadlineExceeded: ctx.Err() != nil}
	return attemptOutcome{answer: answer, isFinal: true, isSent: true}
}

// answerOfReply returns the outcome of an attempt from its reply, and records the
// reply in the replica's statistics.
func (relayer *Relayer[C]) answerOfReply(replica *view.Replica, reply api.Reply, latency time.Duration, waitFactor float64) attemptOutcome {
	stats := replica.Stats
	stats.ObserveOutcome(reply.Status == api.ReplyDone)
	stats.ObserveReport(reply)
	if reply.IsLeaving || reply.Status == api.ReplyWrongReplica {
		message.ReportLeaving(relayer.Mailbox, replica)
	}
	switch {
	case reply.Status == api.ReplyDone:
		stats.ObserveLatency(latency, waitFactor)
		answer := api.Answer{Outcome: api.OutcomeDone, Response: reply.Response, SentRequests: 1}
		return attemptOutcome{answer: answer, isFinal: true, isSent: true}
	case reply.Status.IsNotRun():
		return attemptOutcome{isSent: true}
	}
	reason := "replica " + replica.Instance.Name + " failed the command"
	answer := api.Answer{Outcome: api.OutcomeUnknown, Reason: reason, Response: reply.Response}
	if http.PromisesNotRun(reply.Response.StatusCode) {
		// The caller would repeat the command, which may have run.
		answer.Reason += " with status " + strconv.Itoa(reply.Response.StatusCode) + ", which does not prove that it has not run"
		answer.Response = nil
		relayer.Metrics.Add("commands.unprovenRefusals", 1)
	}
	return attemptOutcome{answer: answer, isFinal: true, isSent: true}
}
