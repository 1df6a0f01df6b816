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

// Link carries attempts to one replica.
type Link interface {
	// Send sends one attempt and reads the whole reply. The error is a
	// *http.SendError.
	Send(ctx context.Context, attempt api.Attempt) (api.Reply, error)
	// Checked returns the link whose connection can be checked while an
	// attempt waits on it; nil where a connection carries one request at a
	// time.
	HealthCheckedLink() *http.Link
	http.ManagedLink
}

// Hedge decides when a second attempt joins one that has no answer yet.
type Hedge interface {
	// Delay returns the delay of the second attempt of one shard of a query,
	// and false where there shall be none.
	Delay(request *Request, shard view.Shard) (time.Duration, bool)
	// Allow takes one second attempt to replica from the budget. A late one
	// has waited twice the delay and may use what is kept in reserve.
	Allow(replica *view.Replica, isLate bool) bool
	// CountFirstAttempt counts one first attempt.
	CountFirstAttempt()
}

// NoHedge sends no second attempt. It is the baseline of Hedge.
type NoHedge struct{}

// Delay returns false.
func (NoHedge) Delay(*Request, view.Shard) (time.Duration, bool) { return 0, false }

// Allow returns false.
func (NoHedge) Allow(*view.Replica, bool) bool { return false }

// CountFirstAttempt does nothing.
func (NoHedge) CountFirstAttempt() {}
