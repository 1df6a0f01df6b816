package caller

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Admission decides which queries an instance runs.
type Admission interface {
	// Admit returns nil if the query is admitted, and the refusal otherwise.
	Admit(request AdmissionRequest) *Refusal
	// Observe records whether the answer to an admitted query was late.
	Observe(request AdmissionRequest, isLate bool)
}

// AdmissionRequest describes the query that is to be admitted.
type AdmissionRequest struct {
	Scope     api.Scope
	Selection view.Selection
	Deadline  time.Time
	// TargetTime is the time by which the answer should be ready; zero if the scope
	// has no target latency.
	TargetTime time.Time
	// Rank orders the query among those that wait for the same replica, as in
	// upstream.Rank.
	Rank uint32
	// IsReturning is set if the caller has spent so much of its time that it
	// probably returns after a refusal.
	IsReturning bool
}

// Refusal states why a query was not admitted.
type Refusal struct {
	Reason string
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// AdmitAll admits every query. It is the baseline that other implementations of
// Admission are compared with.
type AdmitAll struct{}

// Admit returns nil.
func (AdmitAll) Admit(AdmissionRequest) *Refusal { return nil }

// Observe does nothing.
func (AdmitAll) Observe(AdmissionRequest, bool) {}
