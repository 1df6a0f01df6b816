// Package caller takes commands and key requests from callers.
package caller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/cbor"
)

// forwardTries is how many times a command is passed to its home, each with
// its share of the time; the home runs it once.
const forwardTries = 3

// Forwarder passes calls to peers.
type Forwarder struct {
	// Call sends one call to the peer at address.
	Call func(ctx context.Context, address string, call api.PeerRequest) (api.PeerReply, error)
	// Reset makes the next call to address use a fresh connection.
	Reset func(address string)
}

// Router brings a command to where it may run.
type Router struct {
	home      *Home
	published *view.PublishedView
	forwarder Forwarder
	send      func(ctx context.Context, command api.Command) api.Result
	logger    *zap.Logger
}

// NewRouter returns the router of an instance.
func NewRouter(home *Home, published *view.PublishedView, forwarder Forwarder, send func(context.Context, api.Command) api.Result, logger *zap.Logger) *Router {
	return &Router{home: home, published: published, forwarder: forwarder, send: send, logger: logger}
}

// Route runs command here, or at the home or heir that its key names.
func (router *Router) Route(ctx context.Context, command api.Command) api.Result {
	if command.Key == "" {
		return router.send(ctx, command)
	}
	signed, err := cbor.DecodeKey(command.Key)
	if err != nil {
		return notIssued(err.Error())
	}
	target, result := FindHome(router.published.Current(ctx), signed.Key)
	switch {
	case result != nil:
		return *result
	case target.Instance.Name == router.home.self.Instance.Name:
		return router.home.Run(ctx, command)
	}
	return router.forward(ctx, target.Instance.PeerAddress, command)
}

// FindHome returns the member that answers for key, or the result where none
// does.
func FindHome(current *view.View, key api.Key) (api.Member, *api.Result) {
	if heir, isStopped := findHeir(current, key); isStopped {
		return heir, nil
	}
	home, isKnown := current.Members[key.Home]
	switch {
	case !isKnown:
		return gone("the key's home is not known here")
	case home.Incarnation != key.Incarnation:
		return gone("the key's home has restarted")
	case home.State == api.MemberFailed:
		return gone("the key's home has failed")
	case home.State == api.MemberLeft:
		return gone("the key's home has stopped and its heir is gone")
	}
	return home, nil
}

// findHeir returns the heir of a home that stopped, where it is heard.
func findHeir(current *view.View, key api.Key) (api.Member, bool) {
	for _, learned := range current.StoppedHomes {
		stopped := learned.Value
		if stopped.Home != key.Home || stopped.Incarnation != key.Incarnation {
			continue
		}
		heir, isKnown := current.Members[stopped.Successor]
		isHeard := heir.State != api.MemberFailed && heir.State != api.MemberLeft
		return heir, isKnown && isHeard
	}
	return api.Member{}, false
}

func gone(reason string) (api.Member, *api.Result) {
	result := unknown(reason + "; an earlier request with the key may have run")
	return api.Member{}, &result
}

// forward passes a keyed command to its home. The home runs it once, however
// often it is passed.
func (router *Router) forward(ctx context.Context, address string, command api.Command) api.Result {
	for try := range forwardTries {
		result, err := router.forwardOnce(ctx, address, command, forwardTries-try)
		if err == nil {
			return result
		}
		router.logger.Info("command not forwarded", zap.Error(err))
		if ctx.Err() != nil {
			break
		}
		router.forwarder.Reset(address)
	}
	return unknown("the key's home did not answer; the command may have run")
}

func (router *Router) forwardOnce(ctx context.Context, address string, command api.Command, tries int) (api.Result, error) {
	if deadline, isSet := ctx.Deadline(); isSet {
		left := time.Until(deadline)
		command.Deadline = left
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left/time.Duration(tries))
		defer cancel()
	}
	reply, err := router.forwarder.Call(ctx, address, api.PeerRequest{Command: &command})
	if err != nil {
		return api.Result{}, err
	}
	if reply.Result == nil {
		return unknown("the key's home gave no result"), nil
	}
	return *reply.Result, nil
}

// RunForwarded runs a command that a peer passed on to this home.
func (router *Router) RunForwarded(ctx context.Context, command api.Command) api.Result {
	ctx, cancel := context.WithTimeout(ctx, command.Deadline)
	defer cancel()
	router.published.Current(ctx)
	return router.home.Run(ctx, command)
}
