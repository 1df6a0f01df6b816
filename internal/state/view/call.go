package view

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/trace"
)

// Call is one request in the caller's own format. It keeps the View, scope and
// kind that were current when it arrived.
type Call struct {
	View           *View
	Scope          Scope
	Kind           string
	RelayedRequest *api.RelayedRequest
	// Start is when the request arrived.
	Start time.Time
	// RoundTrip is the network round-trip time to the caller; 0 if unknown.
	RoundTrip time.Duration
	// Deadline is the time by which the answer has to be sent.
	Deadline time.Time
	// Trace records the decisions that are taken for the request.
	Trace *trace.Trace
}
