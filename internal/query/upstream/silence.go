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
	leastSilence = 30 * time.Millisecond
	// silenceFactor is the same as a multiple of the replica's mean latency.
	silenceFactor = 3
	// proofTimeout is how long the check may take.
	proofTimeout = 30 * time.Millisecond
	// mostLate is how late this process may be before its own delay, and not
	// the connection, explains the silence.
	mostLate = 15 * time.Millisecond
)

// silenceWatch checks a connection that brought no bytes since an attempt was
// sent. The health endpoint answers on the same connection at once when only
// the attempt is slow; when it is silent too, the connection is renewed.
type silenceWatch struct {
	ctx     context.Context
	link    *http.Link
	replica *view.Replica
	start   time.Duration
	after   time.Duration
	silent  chan<- *view.Replica
}

// silenceOf returns how long the replica's connection may bring no bytes.
func silenceOf(replica *view.Replica) time.Duration {
	return max(leastSilence, silenceFactor*time.Duration(replica.Stats.Latency.Load()))
}

func (silencewatch *silenceWatch) run() {
	if silencewatch.isExplained(silencewatch.after) || !silencewatch.link.BeginCheck() {
		return
	}
	ctx, cancel := context.WithTimeout(silencewatch.ctx, proofTimeout)
	defer cancel()
	_, _ = silencewatch.link.Health(ctx)
	silencewatch.link.EndCheck()
	if silencewatch.isExplained(silencewatch.after + proofTimeout) {
		return
	}
	silencewatch.link.Renew(silencewatch.start)
	select {
	case silencewatch.silent <- silencewatch.replica:
	default:
	}
}

// isExplained reports whether bytes came, the attempt is over, or this
// process itself was late.
func (silencewatch *silenceWatch) isExplained(expected time.Duration) bool {
	isHeard := silencewatch.link.LastReceived() >= silencewatch.start
	isLate := view.MonotonicNow()-silencewatch.start > expected+mostLate
	return isHeard || isLate || silencewatch.ctx.Err() != nil
}
