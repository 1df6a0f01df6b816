package view

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
)

// Call is one request of a caller's own form with the View, scope and kind
// that it is pinned to.
type Call struct {
	View           *View
	Scope          Scope
	Kind           string
	RelayedRequest *api.RelayedRequest
	// Start is when the request arrived.
	Start time.Time
	// RoundTrip is the time to the caller and back; 0 where it is not known.
	RoundTrip time.Duration
	// Deadline is when the answer must be on its way.
	Deadline time.Time
	// Trace takes the decisions about the call.
	Trace *trace.Trace
}
