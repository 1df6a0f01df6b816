package upstream

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// silentLink is a link whose connection receives nothing unless isSound is set.
type silentLink struct {
	isSound bool
	// busyUntil is the time since view.MonotonicOrigin until which another check
	// runs.
	busyUntil time.Duration

	// mutex guards the fields below.
	mutex sync.Mutex
	// healthDelays holds how long each health check takes to return, in order.
	// Further checks return when their context ends.
	healthDelays []time.Duration
	lastReceived time.Duration
	renewCount   int
}

func (silentlink *silentLink) BeginCheck() bool { return view.MonotonicNow() >= silentlink.busyUntil }
func (silentlink *silentLink) EndCheck()        {}

func (silentlink *silentLink) LastReceived() time.Duration {
	silentlink.mutex.Lock()
	defer silentlink.mutex.Unlock()
	return silentlink.lastReceived
}

func (silentlink *silentLink) Renew(time.Duration) {
	silentlink.mutex.Lock()
	defer silentlink.mutex.Unlock()
	silentlink.renewCount++
}

func (silentlink *silentLink) renewals() int {
	silentlink.mutex.Lock()
	defer silentlink.mutex.Unlock()
	return silentlink.renewCount
}

func (silentlink *silentLink) Health(ctx context.Context) (api.ReplicaHealth, error) {
	if delay := silentlink.nextHealthDelay(); delay > 0 {
		time.Sleep(delay)
		return api.ReplicaHealth{}, context.DeadlineExceeded
	}
	if !silentlink.isSound {
		<-ctx.Done()
		return api.ReplicaHealth{}, ctx.Err()
	}
	silentlink.mutex.Lock()
	defer silentlink.mutex.Unlock()
	silentlink.lastReceived = view.MonotonicNow()
	return api.ReplicaHealth{}, nil
}

// nextHealthDelay removes and returns the first of healthDelays, or returns 0 if none
// is left.
func (silentlink *silentLink) nextHealthDelay() time.Duration {
	silentlink.mutex.Lock()
	defer silentlink.mutex.Unlock()
	if len(silentlink.healthDelays) == 0 {
		return 0
	}
	delay := silentlink.healthDelays[0]
	silentlink.healthDelays = silentlink.healthDelays[1:]
	return delay
}

// TestStallCheckAfterDelay checks a connection while this process itself is delayed.
// The delay hides whether the connection is sound, so the check must be made again:
// an attempt on a silent connection has no other way to learn of it.
func TestStallCheckAfterDelay(t *testing.T) {
	const timeout = 110 * time.Millisecond
	tests := map[string]struct {
		// link is a silent link if it is not set.
		link *silentLink
		// startDelay is how much later than after the timeout the check starts.
		startDelay  time.Duration
		isStopped   bool
		wantRenewed bool
	}{
		"silent":                              {wantRenewed: true},
		"silent, the check starts late":       {startDelay: 223 * time.Millisecond, wantRenewed: true},
		"silent, the check ends late":         {link: &silentLink{healthDelays: []time.Duration{200 * time.Millisecond}}, wantRenewed: true},
		"silent, another check runs":          {link: &silentLink{busyUntil: timeout + 40*time.Millisecond}, wantRenewed: true},
		"sound":                               {link: &silentLink{isSound: true}},
		"sound, the check starts late":        {link: &silentLink{isSound: true}, startDelay: 223 * time.Millisecond},
		"silent, the attempt ended before":    {isStopped: true},
		"silent, late, the attempt has ended": {startDelay: 223 * time.Millisecond, isStopped: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				view.MonotonicOrigin = time.Now().Add(-time.Second)
				link := test.link
				if link == nil {
					link = &silentLink{}
				}
				if link.busyUntil > 0 {
					link.busyUntil += view.MonotonicNow()
				}
				stalledReplicas := make(chan *view.Replica, 1)
				stallcheck := &stallCheck[*silentLink]{ctx: t.Context(), link: link, replica: &view.Replica{}, attemptStart: view.MonotonicNow(), stalledReplicas: stalledReplicas}
				stallcheck.dueAt = view.MonotonicNow() + timeout
				time.Sleep(timeout + test.startDelay)
				if test.isStopped {
					stallcheck.stop()
				}
				stallcheck.run()
				time.Sleep(300 * time.Millisecond)
				stallcheck.stop()
				assert.Equal(t, len(stalledReplicas) == 1, test.wantRenewed)
				assert.Equal(t, link.renewals() > 0, test.wantRenewed)
			})
		})
	}
}
