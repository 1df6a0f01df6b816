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

// checkAcceptsRequests returns an error that wraps ErrNotAccepting if the replica
// is leaving or has asked this instance to wait. Links call it directly before they
// write a request, so that it also holds for requests that waited for a connection.
// A nil stats accepts all requests.
func checkAcceptsRequests(stats *view.ReplicaStats) error {
	switch {
	case stats == nil:
		return nil
	case stats.IsLeaving.Load():
		return errors.WithMessage(ErrNotAccepting, "it is leaving")
	}
	if left := stats.BackoffLeft(view.MonotonicNow()); left > 0 {
		return errors.WithMessage(ErrNotAccepting, "it asked to wait for another "+left.String())
	}
	return nil
}

// observeAcceptance records in stats that the replica is leaving or asked this
// instance to wait. A nil stats records nothing.
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

// retryAfterOf returns the wait that the answer with the given status asks for. Only
// an answer with status 503 asks for one.
func retryAfterOf(status int, header http.Header) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	return parseRetryAfter(header.Get("Retry-After"), time.Now())
}
