package upstream

import (
	"context"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Times of the check for a silent connection.
const (
	// leastSilence is how long a connection may at least bring no bytes under
	// a waiting attempt before it is checked.
	minStallTimeout = 30 * time.Millisecond
	// silenceFactor is the same as a multiple of the replica's mean latency.
	stallLatencyFactor = 3
	// proofTimeout is how long the check may take.
	healthCheckTimeout = 30 * time.Millisecond
	// mostLate is how late this process may be before its own delay, and not
	// the connection, explains the silence.
	maxProcessDelay = 15 * time.Millisecond
)

// silenceWatch checks a connection that brought no bytes since an attempt was
// sent. The health endpoint answers on the same connection at once when only
// the attempt is slow; when it is silent too, the connection is renewed.
type stallCheck struct {
	ctx             context.Context
	link            *http.Link
	replica         *view.Replica
	start           time.Duration
	timeout         time.Duration
	stalledReplicas chan<- *view.Replica
}

// silenceOf returns how long the replica's connection may bring no bytes.
func stallTimeout(replica *view.Replica) time.Duration {
	return max(minStallTimeout, stallLatencyFactor*time.Duration(replica.Traffic.Latency.Load()))
}

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

// isExplained reports whether bytes came, the attempt is over, or this
// process itself was late.
func (stallcheck *stallCheck) isSilenceExplained(expected time.Duration) bool {
	isHeard := stallcheck.link.Heard() >= stallcheck.start
	isLate := view.Since()-stallcheck.start > expected+maxProcessDelay
	return isHeard || isLate || stallcheck.ctx.Err() != nil
}
