package platform_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/command/platform"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
)

// peerEvent is a message that control receives on behalf of a peer.
type peerEvent struct {
	at       time.Duration
	received message.Message
	// platform returns the message, if set, from the time of the start.
	platform func(start time.Time) message.Message
}

// removalOrder is one order of events around a key that the store may have removed.
type removalOrder struct {
	// answers are those of the store, from the start of the process on.
	answers []answer
	events  []peerEvent
	// key is the key that the case is about; "entry" by default.
	key string
	// usedAt and goneAt are times at which the key must be, and must no longer be, in
	// force.
	usedAt, goneAt []time.Duration
}

// removalOrders returns the orders in which a restarted or running reader learns that a
// key is gone. A reader of a store with an era waits for peers before it uses its first
// listing, for 100 ms here.
func removalOrders() map[string]removalOrder {
	other := func(era uint64) api.Document { return documentOf(era, "other", 10, "x") }
	listing := func(era, revision uint64, documents ...api.Document) answer {
		return answer{changes: api.Changes{Era: era, Revision: revision, Documents: append(documents, other(era)), IsComplete: true}}
	}
	change := func(delay time.Duration, era, revision uint64, documents ...api.Document) answer {
		return answer{delay: delay, changes: api.Changes{Era: era, Revision: revision, Documents: documents}}
	}
	deletion := func(era, revision uint64) api.Document {
		return api.Document{Key: "entry", Era: era, Revision: revision, IsDeleted: true}
	}
	copyOf := func(at time.Duration, era uint64, key string, revision uint64) peerEvent {
		return peerEvent{at: at, received: message.DocumentReceived{Decoded: parseConfiguration(documentOf(era, key, revision, "x"))}}
	}
	// knows returns what a peer knows of the platform. The times are relative to the start
	// of the process; returned is 0 if the peer knows of no outage.
	knows := func(at time.Duration, era uint64, since, answered, returned time.Duration) peerEvent {
		return peerEvent{at: at, platform: func(start time.Time) message.Message {
			known := message.PlatformAnswered{Era: era, KnownSince: start.Add(since), AnsweredAt: start.Add(answered)}
			if returned != 0 {
				known.ReturnedAt = start.Add(returned)
			}
			return known
		}}
	}
	incomplete := listing(0, 20)
	incomplete.changes.IsComplete, incomplete.changes.UnreadableCount = false, 1
	down, historyGone := answer{err: errors.New("down")}, answer{err: errors.WithStack(api.ErrHistoryGone)}
	ms, minute := time.Millisecond, time.Minute
	return map[string]removalOrder{
		"a restart while the store is up: what a peer knows, its copy, the listing": {
			answers: []answer{{delay: 20 * ms, changes: listing(0, 20).changes}},
			events:  []peerEvent{knows(0, 0, -minute, -2500*ms, 0), copyOf(10*ms, 0, "entry", 12)},
			usedAt:  []time.Duration{15 * ms},
			goneAt:  []time.Duration{30 * ms, 9000 * ms},
		},
		"a restart while the store is up: the listing, what a peer knows, its copy": {
			answers: []answer{listing(0, 20)},
			events:  []peerEvent{knows(30*ms, 0, -minute, -2500*ms, 0), copyOf(31*ms, 0, "entry", 12)},
			goneAt:  []time.Duration{40 * ms, 9000 * ms},
		},
		"a restart while the store is up: the listing, a peer's copy, what it knows": {
			answers: []answer{listing(0, 20)},
			events:  []peerEvent{copyOf(30*ms, 0, "entry", 12), knows(500*ms, 0, -minute, 400*ms, 0)},
			usedAt:  []time.Duration{400 * ms},
			goneAt:  []time.Duration{700 * ms, 9000 * ms},
		},
		"a restart while the store is up, of an era": {
			answers: []answer{{delay: 20 * ms, changes: listing(1, 20).changes}},
			events:  []peerEvent{knows(0, 1, -minute, -2500*ms, 0), copyOf(10*ms, 1, "entry", 12)},
			goneAt:  []time.Duration{150 * ms, 9000 * ms},
		},
		"a restart while the store is up, a change reports the removal": {
			answers: []answer{listing(0, 20, documentOf(0, "entry", 12, "x")), change(100*ms, 0, 22, deletion(0, 22))},
			events:  []peerEvent{knows(30*ms, 0, -minute, -2500*ms, 0)},
			usedAt:  []time.Duration{450 * ms},
			goneAt:  []time.Duration{520 * ms, 9000 * ms},
		},
		"a restart after an outage that a peer noticed": {
			answers: []answer{listing(0, 20)},
			events:  []peerEvent{knows(30*ms, 0, -minute, -100*ms, -500*ms), copyOf(31*ms, 0, "entry", 12)},
			usedAt:  []time.Duration{40 * ms, 1900 * ms},
			goneAt:  []time.Duration{2200 * ms, 9000 * ms},
		},
		"a restart after an outage that nobody noticed": {
			answers: []answer{listing(0, 20)},
			events:  []peerEvent{knows(30*ms, 0, -minute, -4000*ms, 0), copyOf(31*ms, 0, "entry", 12)},
			usedAt:  []time.Duration{40 * ms, 2400 * ms},
			goneAt:  []time.Duration{2700 * ms, 9000 * ms},
		},
		"a restart after an outage that nobody noticed, and the key is registered again": {
			answers: []answer{listing(0, 20), change(1500*ms, 0, 22, documentOf(0, "entry", 22, "x"))},
			events:  []peerEvent{knows(30*ms, 0, -minute, -4000*ms, 0), copyOf(31*ms, 0, "entry", 12)},
			usedAt:  []time.Duration{40 * ms, 2400 * ms, 3000 * ms, 9000 * ms},
		},
		"a restart during an outage": {
			answers: []answer{down, down, listing(0, 20)},
			events:  []peerEvent{knows(30*ms, 0, -minute, -500*ms, 0), copyOf(31*ms, 0, "entry", 12)},
			usedAt:  []time.Duration{40 * ms, 2400 * ms},
			goneAt:  []time.Duration{3000 * ms, 9000 * ms},
		},
		"a restart after a restore that the peer has not noticed": {
			answers: []answer{listing(2, 20)},
			events:  []peerEvent{knows(30*ms, 1, -minute, -500*ms, 0), copyOf(31*ms, 1, "entry", 30)},
			usedAt:  []time.Duration{40 * ms, 2400 * ms},
			goneAt:  []time.Duration{2700 * ms, 9000 * ms},
		},
		"a restart long after a restore": {
			answers: []answer{listing(2, 20)},
			events:  []peerEvent{knows(30*ms, 2, -minute, -500*ms, -minute/2), copyOf(31*ms, 1, "entry", 30)},
			goneAt:  []time.Duration{150 * ms, 9000 * ms},
		},
		"an instance that was not read for takes over when its peers are gone": {
			answers: []answer{{delay: 3000 * ms, changes: listing(0, 20).changes}},
			events:  []peerEvent{knows(0, 0, -minute, -400*ms, 0), copyOf(10*ms, 0, "entry", 12)},
			usedAt:  []time.Duration{2900 * ms},
			goneAt:  []time.Duration{3100 * ms, 9000 * ms},
		},
		"an instance that was cut off from peers and store for long": {
			answers: []answer{{delay: 2900 * ms, changes: listing(0, 20).changes}},
			events:  []peerEvent{knows(0, 0, -minute, -4000*ms, 0), copyOf(10*ms, 0, "entry", 12)},
			usedAt:  []time.Duration{3000 * ms, 5300 * ms},
			goneAt:  []time.Duration{5700 * ms, 9000 * ms},
		},
		"a peer's copy after the first listing": {
			answers: []answer{listing(0, 20)},
			events:  []peerEvent{copyOf(300*ms, 0, "entry", 12)},
			goneAt:  []time.Duration{3000 * ms, 9000 * ms},
		},
		"a peer's copy long after the first listing": {
			answers: []answer{listing(0, 20)},
			events:  []peerEvent{copyOf(4000*ms, 0, "entry", 12)},
			goneAt:  []time.Duration{4010 * ms, 9000 * ms},
		},
		"a peer's copy before the first listing": {
			answers: []answer{listing(0, 20)},
			events:  []peerEvent{copyOf(0, 0, "entry", 12)},
			goneAt:  []time.Duration{3000 * ms, 9000 * ms},
		},
		"a peer's copy while the first listing is on its way": {
			answers: []answer{{delay: 500 * ms, changes: listing(0, 20).changes}},
			events:  []peerEvent{copyOf(499*ms, 0, "entry", 12)},
			goneAt:  []time.Duration{3500 * ms, 9000 * ms},
		},
		"a peer's copy of a key that was written after the listing": {
			answers: []answer{listing(0, 20)},
			events:  []peerEvent{copyOf(300*ms, 0, "entry", 22)},
			usedAt:  []time.Duration{310 * ms, 9000 * ms},
		},
		"a peer's copy after a listing with an unreadable item": {
			answers: []answer{incomplete},
			events:  []peerEvent{copyOf(300*ms, 0, "entry", 12)},
			usedAt:  []time.Duration{310 * ms, 9000 * ms},
		},
		"a peer's older copy of a listed key": {
			answers: []answer{listing(0, 20, documentOf(0, "entry", 15, "x"))},
			events:  []peerEvent{copyOf(300*ms, 0, "entry", 12)},
			usedAt:  []time.Duration{310 * ms, 9000 * ms},
		},
		"a peer's copy of a key that is registered again": {
			answers: []answer{listing(0, 20), change(2000*ms, 0, 22, documentOf(0, "entry", 22, "x"))},
			events:  []peerEvent{copyOf(300*ms, 0, "entry", 12)},
			usedAt:  []time.Duration{310 * ms, 2100 * ms, 2700 * ms, 9000 * ms},
		},
		"a peer's copy of a configuration that was withdrawn": {
			answers: []answer{listing(0, 20)},
			events:  []peerEvent{copyOf(300*ms, 0, "config", 12)},
			key:     "config",
			goneAt:  []time.Duration{310 * ms, 9000 * ms},
		},
		"a configuration that was withdrawn before a second listing": {
			answers: []answer{listing(0, 20, documentOf(0, "config", 12, "x")), historyGone, listing(0, 24)},
			key:     "config",
			usedAt:  []time.Duration{250 * ms},
			goneAt:  []time.Duration{1000 * ms, 9000 * ms},
		},
		"a peer's copy after a listing that follows an outage": {
			answers: []answer{down, listing(0, 20)},
			events:  []peerEvent{copyOf(300*ms, 0, "entry", 12)},
			usedAt:  []time.Duration{310 * ms, 2400 * ms},
			goneAt:  []time.Duration{3000 * ms, 9000 * ms},
		},
		"a change reports the removal, the store was available": {
			answers: []answer{listing(0, 20, documentOf(0, "entry", 12, "x")), change(3000*ms, 0, 22, deletion(0, 22))},
			usedAt:  []time.Duration{3350 * ms},
			goneAt:  []time.Duration{3510 * ms, 9000 * ms},
		},
		"a change reports the removal after an outage": {
			answers: []answer{listing(0, 20, documentOf(0, "entry", 12, "x")), {delay: 4000 * ms, err: errors.New("down")}, change(0, 0, 22, deletion(0, 22))},
			usedAt:  []time.Duration{4500 * ms, 6500 * ms},
			goneAt:  []time.Duration{7200 * ms, 9000 * ms},
		},
		"a change reports the removal after an outage, and the key is registered again": {
			answers: []answer{
				listing(0, 20, documentOf(0, "entry", 12, "x")), {delay: 4000 * ms, err: errors.New("down")},
				change(0, 0, 22, deletion(0, 22)), change(1500*ms, 0, 23, documentOf(0, "entry", 23, "x")),
			},
			usedAt: []time.Duration{4500 * ms, 6500 * ms, 7500 * ms, 9000 * ms},
		},
		"a peer's copy of before a restore, lost": {
			answers: []answer{listing(2, 20)},
			events:  []peerEvent{copyOf(300*ms, 1, "entry", 30)},
			usedAt:  []time.Duration{310 * ms, 2400 * ms},
			goneAt:  []time.Duration{3000 * ms, 9000 * ms},
		},
		"a peer's copy of before a restore, written again": {
			answers: []answer{listing(2, 20), change(2000*ms, 2, 21, documentOf(2, "entry", 21, "x"))},
			events:  []peerEvent{copyOf(300*ms, 1, "entry", 30)},
			usedAt:  []time.Duration{310 * ms, 2400 * ms, 3000 * ms, 9000 * ms},
		},
		"a peer's copy of a configuration that the restored store lost": {
			answers: []answer{listing(2, 20)},
			events:  []peerEvent{copyOf(300*ms, 1, "config", 30)},
			key:     "config",
			usedAt:  []time.Duration{310 * ms, 3000 * ms, 9000 * ms},
		},
		"a peer's copy of the era of the listing": {
			answers: []answer{listing(1, 20)},
			events:  []peerEvent{copyOf(4000*ms, 1, "entry", 12)},
			goneAt:  []time.Duration{4010 * ms, 9000 * ms},
		},
	}
}

// TestRemovalOrders guards against replicas that are used after their entries are gone,
// and against those that are given up while they register again: it plays the orders of
// listings, changes, peers' copies, restarts, outages and restores.
func TestRemovalOrders(t *testing.T) {
	for name, order := range removalOrders() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRemovalOrder(t, order) })
		})
	}
}

func playRemovalOrder(t *testing.T, order removalOrder) {
	ctx, cancel := context.WithCancel(t.Context())
	state := control.NewState(api.Member{Instance: api.Instance{Name: "a"}}, time.Second, time.Now())
	state.OutageAfter = 3600 * time.Millisecond
	controlPart := control.New(state, zap.NewNop())
	controlPart.Start(ctx, control.PeerCalls{SendGossip: func(api.Gossip) {}, Refresh: func() {}})
	start := time.Now()
	for _, event := range order.events {
		time.AfterFunc(event.at, func() {
			received := event.received
			if event.platform != nil {
				received = event.platform(start)
			}
			_ = controlPart.Mailbox.Send(ctx, received)
		})
	}
	synctest.Wait()
	store := &scriptedStore{answers: order.answers}
	platform.NewReader([]*scriptedStore{store}, parseConfiguration, settings.Default().Reading, controlPart, zap.NewNop()).Start(ctx)
	key := order.key
	if key == "" {
		key = "entry"
	}
	for _, check := range []struct {
		times  []time.Duration
		isUsed bool
	}{{order.usedAt, true}, {order.goneAt, false}} {
		for _, at := range check.times {
			time.AfterFunc(at, func() {
				_, isUsed := versions(controlPart.CurrentView.Load())[key]
				assert.Check(t, isUsed == check.isUsed, "after %s the key is in force: %v", at, isUsed)
			})
		}
	}
	time.Sleep(10 * time.Second)
	cancel()
	synctest.Wait()
}
