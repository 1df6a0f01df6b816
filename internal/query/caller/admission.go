package caller

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Admission decides which queries an instance takes.
type Admission interface {
	// Admit takes or refuses a query.
	Admit(ticket AdmissionRequest) *Refusal
}

// AdmissionRequest is what admission knows of a query.
type AdmissionRequest struct {
	Scope     api.Scope
	Selection view.Selection
	Deadline  time.Time
}

// Refusal says why a query was not taken.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// AdmitAll takes every query. It is the baseline of Admission.
type AdmitAll struct{}

// Admit returns nil.
func (AdmitAll) Admit(AdmissionRequest) *Refusal { return nil }
