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
}

// AdmissionRequest describes the query that is to be admitted.
type AdmissionRequest struct {
	Scope     api.Scope
	Selection view.Selection
	Deadline  time.Time
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
