// Package upstream sends commands to replicas, so that each runs at most once, and
// checks the replicas' health.
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

// Times of the check that a connection works before a command is sent over it.
const (
	// maxVerifiedAge is how long ago data may last have come over a connection
	// that is used without a check.
	maxVerifiedAge = 10 * time.Millisecond
	verifyTimeout  = 250 * time.Millisecond
)

// refusalRetryAfter is the time after which the caller of a refused command is
// told to try again.
const refusalRetryAfter = 200 * time.Millisecond

// Sender sends commands to replicas.
type Sender struct {
	currentView *view.PublishedView
	mailbox     *mailbox.Mailbox[message.Message]
	links       *http.Links[*http.Link]
	logger      *zap.Logger
}

// NewSender returns a Sender that sends over links and tells control which
// replicas are leaving.
func NewSender(control *control.Control, links *http.Links[*http.Link], logger *zap.Logger) *Sender {
	return &Sender{currentView: control.CurrentView, mailbox: control.Mailbox, links: links, logger: logger}
}

// Send sends command to the replicas of its shard, one after the other, until one
// may have run it or ctx ends. It sends the command again only if it is certain
// that the previous attempt did not run.
func (sender *Sender) Send(ctx context.Context, command api.Command) api.Result {
	current := sender.currentView.Current(ctx)
	if reason := current.UnreadyReason(); reason != "" {
		return api.Result{Outcome: api.OutcomeNotRun, Reason: reason, RetryAfter: api.UnreadyRetryAfter}
	}
	shard, err := FindShard(current, command)
	if err != nil {
		return InvalidResult(err)
	}
	tried := make(map[string]bool)
	for ctx.Err() == nil {
		replica := sender.choose(ctx, shard, tried)
		if replica == nil {
			return notRunResult(shard.Name, "no replica took the command")
		}
		tried[replica.Instance.Name] = true
		result, isFinal := sender.attempt(ctx, replica, shard, command)
		if isFinal {
			return result
		}
	}
	return notRunResult(shard.Name, "deadline passed before the command was sent")
}

// FindShard returns the one shard that command is for. It returns an
// api.InvalidError if the command names no configured scope, kind or shard.
func FindShard(current *view.View, command api.Command) (view.Shard, error) {
	scope, isKnown := current.Scopes[command.Scope]
	if !isKnown {
		return view.Shard{}, &api.InvalidError{Field: "scope", Value: command.Scope, Allowed: "a configured scope"}
	}
	selection, isKnown := scope.Selections[command.Kind]
	if !isKnown || !selection.IsCommand {
		return view.Shard{}, &api.InvalidError{Field: "kind", Value: command.Kind, Allowed: "a kind that the scope configures for commands"}
	}
	for _, shard := range selection.Shards {
		isOnlyShard := command.Shard == "" && len(selection.Shards) == 1
		if isOnlyShard || shard.Name == command.Shard {
			return shard, nil
		}
	}
	return view.Shard{}, &api.InvalidError{Field: "shard", Value: command.Shard, Allowed: "a shard that the kind selects; empty only where it selects one"}
}

// InvalidResult returns the result of a command that was refused because of its
// input. If err is an api.InvalidError, the result names the field.
func InvalidResult(err error) api.Result {
	result := api.Result{Outcome: api.OutcomeNotRun, IsInvalid: true, Reason: err.Error()}
	if invalid, isInvalid := err.(*api.InvalidError); isInvalid {
		result.Field = invalid.Field
	}
	return result
}

func notRunResult(shard, reason string) api.Result {
	return api.Result{Outcome: api.OutcomeNotRun, Shard: shard, Reason: reason, RetryAfter: refusalRetryAfter}
}

func unknownResult(shard, reason string) api.Result {
	return api.Result{Outcome: api.OutcomeUnknown, Shard: shard, Reason: reason}
}

// choose returns that of two random replicas which has fewer requests in flight.
// It leaves out replicas that may not be sent a request now or are in tried, and
// returns nil if there is no other. After a pause of this process it first waits, for
// at most view.MaxRefreshWait, so that it does not act on an outdated View.
func (sender *Sender) choose(ctx context.Context, shard view.Shard, tried map[string]bool) *view.Replica {
	sender.currentView.Current(ctx)
	now := view.MonotonicNow()
	var usable []*view.Replica
	for _, replica := range shard.Replicas {
		if !tried[replica.Instance.Name] && replica.Stats.Wait(now) == 0 {
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

// attempt sends command to replica. It reports false if the command certainly did
// not run there, so that it may be sent to another replica.
func (sender *Sender) attempt(ctx context.Context, replica *view.Replica, shard view.Shard, command api.Command) (api.Result, bool) {
	link := sender.links.Get(replica, len(sender.currentView.Load().Members))
	if err := verifyConnection(ctx, link); err != nil {
		sender.logger.Info("command not sent", zap.Error(err))
		return api.Result{}, false
	}
	if sender.currentView.Current(ctx); replica.Stats.IsLeaving.Load() {
		return api.Result{}, false
	}
	attempt := newAttempt(ctx, shard, command)
	replica.Stats.InFlight.Add(1)
	reply, err := link.Send(ctx, attempt)
	replica.Stats.InFlight.Add(-1)
	if err != nil {
		return sender.resultOfError(shard, err)
	}
	return sender.resultOfReply(replica, shard, reply)
}

// verifyConnection checks that the link's connection works before a command is
// sent over it. If the connection does not answer, it opens and checks a new one.
func verifyConnection(ctx context.Context, link *http.Link) error {
	now := view.MonotonicNow()
	if link.LastReceived() > 0 && now-link.LastReceived() < maxVerifiedAge {
		return nil
	}
	if checkHealth(ctx, link) == nil {
		return nil
	}
	link.Renew(now)
	return checkHealth(ctx, link)
}

func checkHealth(ctx context.Context, link *http.Link) error {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	_, err := link.Health(ctx)
	return err
}

// newAttempt returns an attempt at command with a random identity and the deadline
// of ctx.
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

// resultOfError returns the result of an attempt that got no reply. It reports
// false if the command certainly did not run.
func (sender *Sender) resultOfError(shard view.Shard, err error) (api.Result, bool) {
	sender.logger.Info("command attempt failed", zap.Error(err))
	if senderror, isSendError := err.(*http.SendError); isSendError && !senderror.MayHaveRun {
		return api.Result{}, false
	}
	return unknownResult(shard.Name, err.Error()), true
}

// resultOfReply returns the result of an attempt from its reply. It reports false
// if the reply says that the command did not run.
func (sender *Sender) resultOfReply(replica *view.Replica, shard view.Shard, reply api.Reply) (api.Result, bool) {
	if reply.IsLeaving {
		message.ReportLeaving(sender.mailbox, replica)
	}
	switch {
	case reply.Status == api.ReplyDone:
		return api.Result{Outcome: api.OutcomeDone, Shard: shard.Name, Body: reply.Body}, true
	case reply.Status.IsNotRun():
		return api.Result{}, false
	}
	return unknownResult(shard.Name, "replica "+replica.Instance.Name+" answered "+string(reply.Status)), true
}
