package caller

import (
	"context"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// Close makes the home refuse commands with keys that it has not seen yet. It
// then waits until the running keyed commands have ended, or until ctx ends.
func (home *Home) Close(ctx context.Context) {
	home.mutex.Lock()
	home.isClosed = true
	home.mutex.Unlock()
	drainwaiter := &drainWaiter{home: home, done: make(chan struct{})}
	go drainwaiter.run()
	select {
	case <-drainwaiter.done:
	case <-ctx.Done():
	}
}

// drainWaiter closes done once no command of a closed home runs any more.
type drainWaiter struct {
	home *Home
	done chan struct{}
}

func (drainwaiter *drainWaiter) run() {
	drainwaiter.home.runningCommands.Wait()
	close(drainwaiter.done)
}

// Handover returns the outcomes that a closed home holds, for the instance
// that becomes its successor. The outcome of a command that is still running is
// given as unknown.
func (home *Home) Handover(now time.Time) api.Handover {
	handover := api.Handover{
		Home:        home.self.Instance.Name,
		Incarnation: home.self.Incarnation,
		ExpiresAt:   now.Add(home.settings.KeyLifetime.Duration),
	}
	home.commands.Each(now, func(key string, entry *commandEntry, expires time.Time) {
		result := api.KeyedResult{Key: key, CommandDigest: entry.digest, ExpiresAt: expires}
		select {
		case <-entry.done:
			result.Result = entry.result
		default:
			result.Result = unknownResult("the home stopped while the command ran")
		}
		handover.Results = append(handover.Results, result)
	})
	return handover
}

// AcceptHandover stores the outcomes of another home that stopped, so that this
// instance answers for that home's keys. If a result does not fit into the
// table, the handover counts as incomplete, and runInherited answers unknown for
// the keys that it has no result of.
func (home *Home) AcceptHandover(handover api.Handover) {
	now := time.Now()
	isComplete := true
	for _, result := range handover.Results {
		entry := &commandEntry{digest: result.CommandDigest, done: closedChannel, result: result.Result}
		if _, _, err := home.inheritedCommands.GetOrAdd(result.Key, entry, result.ExpiresAt, now); err != nil {
			isComplete = false
		}
	}
	if !isComplete {
		return
	}
	// Without an entry, keys of the home that were not used are answered as unknown.
	_, _, _ = home.inheritedHomes.GetOrAdd(inheritedHome{name: handover.Home, incarnation: handover.Incarnation}, struct{}{}, handover.ExpiresAt, now)
}

// closedChannel is the done channel of commands that ended at another home.
var closedChannel = func() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}()

// runInherited answers a command whose key belongs to a home that stopped. It
// runs nothing. A key that a complete handover does not list was never used,
// and can no longer be used.
func (home *Home) runInherited(key api.IdempotencyKey, command api.Command) api.Result {
	if entry, isKnown := home.inheritedCommands.Get(command.Key); isKnown {
		return awaitOutcome(context.Background(), entry, commandDigest(command))
	}
	_, isInherited := home.inheritedHomes.Get(inheritedHome{name: key.Home, incarnation: key.Incarnation})
	isExpired := time.Now().After(key.ExpiresAt())
	if isInherited && !isExpired {
		return notRunResult("the key's home stopped before it was used; take a new key")
	}
	return unknownResult("the key's home is gone; an earlier request with it may have run")
}
