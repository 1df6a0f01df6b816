package upstream

import (
	"context"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/choice"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Choice picks the replica of a shard's next attempt.
type Choice = choice.Policy

// Link holds the connections to one replica.
type Link interface {
	// Send sends one attempt and reads the whole reply. The error is an
	// *http.SendError.
	Send(ctx context.Context, attempt api.Attempt) (api.Reply, error)
	// HealthCheckedLink returns the link on which a health check can run while
	// an attempt is waiting. It returns nil if a connection carries one request
	// at a time.
	HealthCheckedLink() *http.Link
	http.ManagedLink
}

// Hedge decides whether and when a second attempt, the hedge, is sent while the
// first one is still waiting.
type Hedge interface {
	// Delay returns the time from the first attempt to the hedge for one shard
	// of a query. It returns false if there is to be no hedge.
	Delay(request *Request, shard view.Shard) (time.Duration, bool)
	// Allow reports whether a hedge may be sent to the replica, and deducts it
	// from the policy's credit if there is one. A postponed hedge has waited
	// twice the delay and may use the reserved credit.
	Allow(replica *view.Replica, isPostponed bool) bool
	// CountFirstAttempt counts one first attempt, from which a policy may
	// derive how many hedges it allows.
	CountFirstAttempt()
}

// NoHedge sends no hedges. It is the baseline to compare other policies with.
type NoHedge struct{}

// Delay returns false.
func (NoHedge) Delay(*Request, view.Shard) (time.Duration, bool) { return 0, false }

// Allow returns false.
func (NoHedge) Allow(*view.Replica, bool) bool { return false }

// CountFirstAttempt does nothing.
func (NoHedge) CountFirstAttempt() {}
