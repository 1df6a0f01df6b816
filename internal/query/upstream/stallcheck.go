package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Limits of the check for a stalled connection.
const (
	// minStallTimeout is the shortest time without received bytes after which a
	// connection with a waiting attempt is checked.
	minStallTimeout = 30 * time.Millisecond
	// stallLatencyFactor is the multiple of the replica's mean latency that the
	// connection may receive no bytes, if that is longer than minStallTimeout.
	stallLatencyFactor = 3
	// healthCheckTimeout limits the health check.
	healthCheckTimeout = 30 * time.Millisecond
	// maxProcessDelay is the delay of this process above which the delay is
	// taken as the cause of the silence, rather than the connection.
	maxProcessDelay = 15 * time.Millisecond
	// repeatedCheckDelay is the time from a check that came late, or that another
	// check prevented, to the next one. Bytes that arrived while this process was
	// delayed have been read by then.
	repeatedCheckDelay = 10 * time.Millisecond
)

// CheckedLink is a link on which a health check can run while an attempt is
// waiting.
type CheckedLink interface {
	// BeginCheck reports whether the caller may start a check, which it ends with
	// EndCheck.
	BeginCheck() bool
	EndCheck()
	// Health requests the replica's health on the connection of the link.
	Health(ctx context.Context) (api.ReplicaHealth, error)
	// LastReceived returns the time since view.MonotonicOrigin at which bytes
	// last arrived.
	LastReceived() time.Duration
	// Renew makes later attempts use a new connection unless the link was renewed
	// after the given time since view.MonotonicOrigin.
	Renew(after time.Duration)
}

// stallCheck checks a connection that has received no bytes since an attempt
// was sent. If only the attempt is slow, the health endpoint answers at once on
// the same connection. If it does not answer either, the connection is
// replaced.
type stallCheck[K CheckedLink] struct {
	ctx     context.Context
	link    K
	replica *view.Replica
	// attemptStart is the time since view.MonotonicOrigin at which the attempt
	// began.
	attemptStart    time.Duration
	stalledReplicas chan<- *view.Replica

	// mutex guards the fields below.
	mutex sync.Mutex
	timer *time.Timer
	// dueAt is the time since view.MonotonicOrigin at which the next step of the
	// check is due.
	dueAt     time.Duration
	isStopped bool
}

// stallTimeout returns how long the replica's connection may receive no bytes
// before it is checked.
func stallTimeout(replica *view.Replica) time.Duration {
	return max(minStallTimeout, stallLatencyFactor*time.Duration(replica.Stats.Latency.Load()))
}

// schedule starts run after delay unless stop was called.
func (stallcheck *stallCheck[K]) schedule(delay time.Duration) {
	stallcheck.mutex.Lock()
	defer stallcheck.mutex.Unlock()
	if stallcheck.isStopped {
		return
	}
	stallcheck.dueAt = view.MonotonicNow() + delay
	stallcheck.timer = time.AfterFunc(delay, stallcheck.run)
}

// stop prevents further checks. It must be called when the attempt has ended.
func (stallcheck *stallCheck[K]) stop() {
	stallcheck.mutex.Lock()
	defer stallcheck.mutex.Unlock()
	stallcheck.isStopped = true
	if stallcheck.timer != nil {
		stallcheck.timer.Stop()
	}
}

// run checks the connection. If it has stalled, run replaces it and sends the
// replica to stalledReplicas, so that the attempt is sent again. If this process
// was delayed, the connection may be sound, and run schedules another check.
func (stallcheck *stallCheck[K]) run() {
	if stallcheck.isOver() {
		return
	}
	if stallcheck.isLate() || !stallcheck.link.BeginCheck() {
		stallcheck.schedule(repeatedCheckDelay)
		return
	}
	stallcheck.requestHealth()
	switch {
	case stallcheck.isOver():
	case stallcheck.isLate():
		stallcheck.schedule(repeatedCheckDelay)
	default:
		stallcheck.link.Renew(stallcheck.attemptStart)
		select {
		case stallcheck.stalledReplicas <- stallcheck.replica:
		default:
		}
	}
}

// requestHealth requests the replica's health, so that a sound connection receives
// bytes. It sets dueAt to the time by which it should have returned.
func (stallcheck *stallCheck[K]) requestHealth() {
	defer stallcheck.link.EndCheck()
	stallcheck.mutex.Lock()
	stallcheck.dueAt = view.MonotonicNow() + healthCheckTimeout
	stallcheck.mutex.Unlock()
	ctx, cancel := context.WithTimeout(stallcheck.ctx, healthCheckTimeout)
	defer cancel()
	_, _ = stallcheck.link.Health(ctx)
}

// isOver reports whether bytes have arrived since the attempt began, or the attempt
// has ended.
func (stallcheck *stallCheck[K]) isOver() bool {
	stallcheck.mutex.Lock()
	defer stallcheck.mutex.Unlock()
	hasReceived := stallcheck.link.LastReceived() >= stallcheck.attemptStart
	return stallcheck.isStopped || hasReceived || stallcheck.ctx.Err() != nil
}

// isLate reports whether this process was delayed for more than maxProcessDelay
// beyond dueAt.
func (stallcheck *stallCheck[K]) isLate() bool {
	stallcheck.mutex.Lock()
	defer stallcheck.mutex.Unlock()
	return view.MonotonicNow()-stallcheck.dueAt > maxProcessDelay
}
