package http

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// ErrNotAccepting is the cause of a SendError if nothing was sent because the
// replica takes no requests of this instance now.
var ErrNotAccepting = errors.New("the replica takes no requests")

// takeRequest returns an error that wraps ErrNotAccepting if the replica may not be
// sent a request now, and counts the request otherwise. Links call it directly before
// they write a request, so that it also holds for requests that waited for a
// connection, and for those that were routed by an older View. A nil stats accepts all
// requests.
func takeRequest(stats *view.ReplicaStats) error {
	if err := checkAcceptsRequests(stats); err != nil || stats == nil {
		return err
	}
	if wait := stats.TakeColdShare(view.MonotonicNow()); wait > 0 {
		return errors.WithMessage(ErrNotAccepting, "it is cold and gets no request of this instance for another "+wait.String())
	}
	return nil
}

// recordSent records that a request is written to the replica. A nil stats records nothing.
func recordSent(stats *view.ReplicaStats) {
	if stats != nil {
		stats.SentAt.Store(int64(view.MonotonicNow()))
	}
}

// checkAcceptsRequests returns an error that wraps ErrNotAccepting if the replica is
// leaving, its failure domain is evacuated or it has asked this instance to wait. A nil
// stats accepts all requests.
func checkAcceptsRequests(stats *view.ReplicaStats) error {
	switch {
	case stats == nil:
		return nil
	case stats.IsLeaving.Load():
		return errors.WithMessage(ErrNotAccepting, "it is leaving")
	case stats.IsEvacuated.Load():
		return errors.WithMessage(ErrNotAccepting, "its failure domain is evacuated")
	}
	if left := stats.BackoffLeft(view.MonotonicNow()); left > 0 {
		return errors.WithMessage(ErrNotAccepting, "it asked to wait for another "+left.String())
	}
	return nil
}

// observeAcceptance records in stats that the replica is leaving, is cold or asked
// this instance to wait. A nil stats records nothing.
func observeAcceptance(stats *view.ReplicaStats, reply api.Reply) {
	if stats == nil {
		return
	}
	if reply.IsLeaving {
		stats.IsLeaving.Store(true)
	}
	if reply.RetryAfter > 0 {
		stats.Backoff(view.MonotonicNow(), reply.RetryAfter)
	}
	if reply.ColdTimeLeft > 0 {
		stats.ObserveCold(view.MonotonicNow(), reply.ColdTimeLeft)
	}
}

// parseRetryAfter returns the wait that a Retry-After header states, in seconds with
// optional decimals or as a date. It returns 0 for a header that is missing or
// invalid, or whose date has passed.
func parseRetryAfter(text string, now time.Time) time.Duration {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0
	}
	if date, err := http.ParseTime(text); err == nil {
		return max(date.Sub(now), 0)
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 || strings.ContainsAny(text, "xXpP_+iI") {
		return 0
	}
	if seconds >= view.NeverAvailable.Seconds() {
		return view.NeverAvailable
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxColdTime is the longest time for which a replica is believed to be cold.
const maxColdTime = time.Minute

// parseColdTime returns how much longer a replica says that it is cold, in
// milliseconds. It returns 0 for text that is empty or invalid.
func parseColdTime(text string) time.Duration {
	millis, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || millis <= 0 {
		return 0
	}
	return time.Duration(min(millis, maxColdTime.Milliseconds())) * time.Millisecond
}

// retryAfterOf returns the wait that the answer with the given status asks for. Only
// an answer with status 503 asks for one.
func retryAfterOf(status int, header http.Header) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	return parseRetryAfter(header.Get("Retry-After"), time.Now())
}
