// Package upstream sends commands to replicas, each at most once, and watches
// the replicas' health.
package upstream

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Times of the proof of life that precedes a command.
const (
	// proofAge is how old the last sign of life of a connection may be.
	proofAge     = 10 * time.Millisecond
	proofTimeout = 250 * time.Millisecond
)

// refusalRetry is the retry time that a refused command carries.
const refusalRetry = 200 * time.Millisecond

// Sender sends commands to replicas.
type Sender struct {
	published *view.PublishedView
	mailbox   *mailbox.Mailbox[message.Message]
	links     *http.Links[*http.Link]
	logger    *zap.Logger
}

// NewSender returns the sender of an instance.
func NewSender(part *control.Control, links *http.Links[*http.Link], logger *zap.Logger) *Sender {
	return &Sender{published: part.CurrentView, mailbox: part.Mailbox, links: links, logger: logger}
}

// Send runs command on one replica at most. It sends the command again only
// when the attempt before is proved not to have run.
func (sender *Sender) Send(ctx context.Context, command api.Command) api.Result {
	current := sender.published.Current(ctx)
	shard, err := Target(current, command)
	if err != nil {
		return Invalid(err)
	}
	tried := make(map[string]bool)
	for ctx.Err() == nil {
		replica := sender.choose(ctx, shard, tried)
		if replica == nil {
			return notRun(shard.Name, "no replica took the command")
		}
		tried[replica.Instance.Name] = true
		result, isFinal := sender.attempt(ctx, replica, shard, command)
		if isFinal {
			return result
		}
	}
	return notRun(shard.Name, "deadline passed before the command was sent")
}

// Target returns the one shard that command is for.
func Target(current *view.View, command api.Command) (view.Shard, error) {
	scope, isKnown := current.Scopes[command.Scope]
	if !isKnown {
		return view.Shard{}, &api.InvalidError{Field: "scope", Value: command.Scope, Allowed: "a configured scope"}
	}
	selection, isKnown := scope.Selections[command.Kind]
	if !isKnown || !selection.IsCommand {
		return view.Shard{}, &api.InvalidError{Field: "kind", Value: command.Kind, Allowed: "a kind that the scope configures for commands"}
	}
	for _, shard := range selection.Shards {
		isOnly := command.Shard == "" && len(selection.Shards) == 1
		if isOnly || shard.Name == command.Shard {
			return shard, nil
		}
	}
	return view.Shard{}, &api.InvalidError{Field: "shard", Value: command.Shard, Allowed: "a shard that the kind selects; empty only where it selects one"}
}

// Invalid returns the result of a command whose input is at fault.
func Invalid(err error) api.Result {
	result := api.Result{Outcome: api.OutcomeNotRun, IsInvalid: true, Reason: err.Error()}
	if invalid, isInvalid := err.(*api.InvalidError); isInvalid {
		result.Field = invalid.Field
	}
	return result
}

func notRun(shard, reason string) api.Result {
	return api.Result{Outcome: api.OutcomeNotRun, Shard: shard, Reason: reason, RetryAfter: refusalRetry}
}

func unknown(shard, reason string) api.Result {
	return api.Result{Outcome: api.OutcomeUnknown, Shard: shard, Reason: reason}
}

// choose returns the less loaded of two random replicas that may take work.
// It waits where this process was paused, so that it acts on fresh news.
func (sender *Sender) choose(ctx context.Context, shard view.Shard, tried map[string]bool) *view.Replica {
	sender.published.Current(ctx)
	var usable []*view.Replica
	for _, replica := range shard.Replicas {
		if !tried[replica.Instance.Name] && !replica.Stats.IsLeaving.Load() {
			usable = append(usable, replica)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	first := usable[rand.N(len(usable))]
	second := usable[rand.N(len(usable))]
	if second.Stats.InFlight.Load() < first.Stats.InFlight.Load() {
		return second
	}
	return first
}

// attempt sends command to replica. It reports false where the command is
// proved not to have run and may be tried elsewhere.
func (sender *Sender) attempt(ctx context.Context, replica *view.Replica, shard view.Shard, command api.Command) (api.Result, bool) {
	link := sender.links.Get(replica, len(sender.published.Load().Members))
	if err := prove(ctx, link); err != nil {
		sender.logger.Info("command not sent", zap.Error(err))
		return api.Result{}, false
	}
	if sender.published.Current(ctx); replica.Stats.IsLeaving.Load() {
		return api.Result{}, false
	}
	attempt := newAttempt(ctx, shard, command)
	replica.Stats.InFlight.Add(1)
	reply, err := link.Send(ctx, attempt)
	replica.Stats.InFlight.Add(-1)
	if err != nil {
		return sender.judgeError(shard, err)
	}
	return sender.judgeReply(replica, shard, reply)
}

// prove makes sure that the link's connection is alive before a command uses
// it, on a fresh connection if the old one is silent.
func prove(ctx context.Context, link *http.Link) error {
	now := view.MonotonicNow()
	if link.Heard() > 0 && now-link.Heard() < proofAge {
		return nil
	}
	if checkHealth(ctx, link) == nil {
		return nil
	}
	link.Renew(now)
	return checkHealth(ctx, link)
}

func checkHealth(ctx context.Context, link *http.Link) error {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	_, err := link.Health(ctx)
	return err
}

func newAttempt(ctx context.Context, shard view.Shard, command api.Command) api.Attempt {
	attempt := api.Attempt{
		Identity:  strconv.FormatUint(rand.Uint64(), 36),
		Shard:     shard.Name,
		Kind:      command.Kind,
		IsCommand: true,
		Epoch:     shard.Epoch,
		Body:      command.Body,
	}
	attempt.Deadline, _ = ctx.Deadline()
	return attempt
}

func (sender *Sender) judgeError(shard view.Shard, err error) (api.Result, bool) {
	sender.logger.Info("command attempt failed", zap.Error(err))
	if senderror, isSend := err.(*http.SendError); isSend && !senderror.MayHaveRun {
		return api.Result{}, false
	}
	return unknown(shard.Name, err.Error()), true
}

func (sender *Sender) judgeReply(replica *view.Replica, shard view.Shard, reply api.Reply) (api.Result, bool) {
	if reply.IsLeaving {
		message.ReportLeaving(sender.mailbox, replica)
	}
	switch {
	case reply.Status == api.ReplyDone:
		return api.Result{Outcome: api.OutcomeDone, Shard: shard.Name, Body: reply.Body}, true
	case reply.Status.IsNotRun():
		return api.Result{}, false
	}
	return unknown(shard.Name, "replica "+replica.Instance.Name+" answered "+string(reply.Status)), true
}
