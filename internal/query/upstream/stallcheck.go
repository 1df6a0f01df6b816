package upstream

import (
	"context"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
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
)

// stallCheck checks a connection that has received no bytes since an attempt
// was sent. If only the attempt is slow, the health endpoint answers at once on
// the same connection. If it does not answer either, the connection is
// replaced.
type stallCheck struct {
	ctx     context.Context
	link    *http.Link
	replica *view.Replica
	// start is the time since view.MonotonicOrigin at which the attempt began.
	start time.Duration
	// timeout is the time from start to the check.
	timeout         time.Duration
	stalledReplicas chan<- *view.Replica
}

// stallTimeout returns how long the replica's connection may receive no bytes
// before it is checked.
func stallTimeout(replica *view.Replica) time.Duration {
	return max(minStallTimeout, stallLatencyFactor*time.Duration(replica.Stats.Latency.Load()))
}

// run checks the connection. If it has stalled, run replaces it and sends the
// replica to stalledReplicas, so that the attempt is sent again.
func (stallcheck *stallCheck) run() {
	if stallcheck.isSilenceExplained(stallcheck.timeout) || !stallcheck.link.BeginCheck() {
		return
	}
	ctx, cancel := context.WithTimeout(stallcheck.ctx, healthCheckTimeout)
	defer cancel()
	_, _ = stallcheck.link.Health(ctx)
	stallcheck.link.EndCheck()
	if stallcheck.isSilenceExplained(stallcheck.timeout + healthCheckTimeout) {
		return
	}
	stallcheck.link.Renew(stallcheck.start)
	select {
	case stallcheck.stalledReplicas <- stallcheck.replica:
	default:
	}
}

// isSilenceExplained reports whether bytes have arrived, the attempt is over,
// or this process itself was delayed for more than maxProcessDelay beyond the
// expected time since the attempt began.
func (stallcheck *stallCheck) isSilenceExplained(expected time.Duration) bool {
	hasReceived := stallcheck.link.LastReceived() >= stallcheck.start
	isProcessDelayed := view.MonotonicNow()-stallcheck.start > expected+maxProcessDelay
	return hasReceived || isProcessDelayed || stallcheck.ctx.Err() != nil
}
