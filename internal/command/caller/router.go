// Package caller serves commands and requests for idempotency keys. The instance
// that issues a key is the key's home and runs the key's command at most once;
// other instances forward the command to it. A home that stops as planned hands
// its outcomes over to another instance, its successor. Messages to callers call
// the successor the heir.
package caller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/cbor"
)

// forwardAttempts is how often a command is sent to its home until an answer
// comes. The time left is divided evenly among the attempts left. Repeats are
// safe because the home runs the command at most once.
const forwardAttempts = 3

// Forwarder sends calls to peers.
type Forwarder struct {
	// Call sends one call to the peer at address.
	Call func(ctx context.Context, address string, call api.PeerRequest) (api.PeerReply, error)
	// Reset makes the next call to address open a new connection.
	Reset func(address string)
}

// Router runs a command at this instance or forwards it to the home of its key.
type Router struct {
	home        *Home
	currentView *view.PublishedView
	forwarder   Forwarder
	sendCommand func(ctx context.Context, command api.Command) api.Result
	logger      *zap.Logger
}

// NewRouter returns a Router that runs the commands with keys of home in home,
// and those without a key with sendCommand.
func NewRouter(home *Home, currentView *view.PublishedView, forwarder Forwarder, sendCommand func(context.Context, api.Command) api.Result, logger *zap.Logger) *Router {
	return &Router{home: home, currentView: currentView, forwarder: forwarder, sendCommand: sendCommand, logger: logger}
}

// Route runs command at this instance if it has no key, and else at the home of
// its key, or at that home's successor.
func (router *Router) Route(ctx context.Context, command api.Command) api.Result {
	if command.Key == "" {
		return router.sendCommand(ctx, command)
	}
	signed, err := cbor.DecodeKey(command.Key)
	if err != nil {
		return invalidKeyResult(err.Error())
	}
	target, result := FindHome(router.currentView.Current(ctx), signed.Key)
	switch {
	case result != nil:
		return *result
	case target.Instance.Name == router.home.self.Instance.Name:
		return router.home.Run(ctx, command)
	}
	return router.forward(ctx, target.Instance.PeerAddress, command)
}

// FindHome returns the member that answers commands with key: its home or, after
// a planned stop, the home's successor. If there is none, it returns the result
// that the command gets.
func FindHome(current *view.View, key api.IdempotencyKey) (api.Member, *api.Result) {
	if successor, isStopped := findSuccessor(current, key); isStopped {
		return successor, nil
	}
	home, isKnown := current.Members[key.Home]
	switch {
	case !isKnown:
		return homeGone("the key's home is not known here")
	case home.Incarnation != key.Incarnation:
		return homeGone("the key's home has restarted")
	case home.State == api.MemberFailed:
		return homeGone("the key's home has failed")
	case home.State == api.MemberLeft:
		return homeGone("the key's home has stopped and its heir is gone")
	}
	return home, nil
}

// findSuccessor returns the successor of key's home if that home has stopped as
// planned and the successor neither failed nor left.
func findSuccessor(current *view.View, key api.IdempotencyKey) (api.Member, bool) {
	for _, timestamped := range current.StoppedHomes {
		stopped := timestamped.Value
		if stopped.Home != key.Home || stopped.Incarnation != key.Incarnation {
			continue
		}
		successor, isKnown := current.Members[stopped.Successor]
		isPresent := successor.State != api.MemberFailed && successor.State != api.MemberLeft
		return successor, isKnown && isPresent
	}
	return api.Member{}, false
}

// homeGone returns the result of a command whose home can no longer say whether
// the command ran.
func homeGone(reason string) (api.Member, *api.Result) {
	result := unknownResult(reason + "; an earlier request with the key may have run")
	return api.Member{}, &result
}

// forward sends a keyed command to its home, up to forwardAttempts times. The
// home runs the command at most once, however often it is sent.
func (router *Router) forward(ctx context.Context, address string, command api.Command) api.Result {
	for attempt := range forwardAttempts {
		result, err := router.forwardOnce(ctx, address, command, forwardAttempts-attempt)
		if err == nil {
			return result
		}
		router.logger.Info("command not forwarded", zap.Error(err))
		if ctx.Err() != nil {
			break
		}
		router.forwarder.Reset(address)
	}
	return unknownResult("the key's home did not answer; the command may have run")
}

// forwardOnce sends command to its home once. It waits for the answer for the
// time left until the deadline of ctx, divided by attemptsLeft. It returns an
// error if the home did not answer.
func (router *Router) forwardOnce(ctx context.Context, address string, command api.Command, attemptsLeft int) (api.Result, error) {
	if deadline, isSet := ctx.Deadline(); isSet {
		timeLeft := time.Until(deadline)
		command.Deadline = timeLeft
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeLeft/time.Duration(attemptsLeft))
		defer cancel()
	}
	reply, err := router.forwarder.Call(ctx, address, api.PeerRequest{Command: &command})
	if err != nil {
		return api.Result{}, err
	}
	if reply.Result == nil {
		return unknownResult("the key's home gave no result"), nil
	}
	return *reply.Result, nil
}

// RunForwarded runs a command that a peer forwarded to this instance as the home
// of its key, or as that home's successor. After a pause of this process it first
// waits for control to refresh the View, for at most view.MaxRefreshWait.
func (router *Router) RunForwarded(ctx context.Context, command api.Command) api.Result {
	ctx, cancel := context.WithTimeout(ctx, command.Deadline)
	defer cancel()
	router.currentView.Current(ctx)
	return router.home.Run(ctx, command)
}
