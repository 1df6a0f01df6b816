package caller

import (
	"context"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// Close stops taking new keyed commands and waits for those that run, at
// most until ctx ends.
func (home *Home) Close(ctx context.Context) {
	home.mutex.Lock()
	home.closed = true
	home.mutex.Unlock()
	waiter := &waiter{home: home, done: make(chan struct{})}
	go waiter.run()
	select {
	case <-waiter.done:
	case <-ctx.Done():
	}
}

// waiter waits for the running commands of a closed home.
type waiter struct {
	home *Home
	done chan struct{}
}

func (waiter *waiter) run() {
	waiter.home.running.Wait()
	close(waiter.done)
}

// Handover returns the outcomes of a closed home. A command that is still
// running is handed over as unknown.
func (home *Home) Handover(now time.Time) api.Handover {
	handover := api.Handover{
		Home:        home.self.Instance.Name,
		Incarnation: home.self.Incarnation,
		Expires:     now.Add(home.settings.KeyLifetime.Duration),
	}
	home.kept.Each(now, func(key string, entry *keptCommand, expires time.Time) {
		kept := api.KeyedResult{Key: key, CommandDigest: entry.digest, Expires: expires}
		select {
		case <-entry.done:
			kept.Result = entry.result
		default:
			kept.Result = unknown("the home stopped while the command ran")
		}
		handover.Results = append(handover.Results, kept)
	})
	return handover
}

// AcceptHandover takes the outcomes of another home that stopped.
func (home *Home) AcceptHandover(handover api.Handover) {
	now := time.Now()
	isWhole := true
	for _, kept := range handover.Results {
		entry := &keptCommand{digest: kept.CommandDigest, done: closedChannel, result: kept.Result}
		if _, _, err := home.heirs.GetOrAdd(kept.Key, entry, kept.Expires, now); err != nil {
			isWhole = false
		}
	}
	if !isWhole {
		return
	}
	home.mutex.Lock()
	defer home.mutex.Unlock()
	home.inherited[handover.Home] = handover.Incarnation
}

var closedChannel = func() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}()

// runInherited answers for a home that stopped. It runs nothing: a key that
// the whole handover does not name never ran and never will.
func (home *Home) runInherited(key api.Key, command api.Command) api.Result {
	if entry, isKept := home.heirs.Get(command.Key); isKept {
		return await(context.Background(), entry, commandDigest(command))
	}
	home.mutex.Lock()
	incarnation, isInherited := home.inherited[key.Home]
	home.mutex.Unlock()
	isExpired := time.Now().After(key.Expires())
	if isInherited && incarnation == key.Incarnation && !isExpired {
		return notRun("the key's home stopped before it was used; take a new key")
	}
	return unknown("the key's home is gone; an earlier request with it may have run")
}
