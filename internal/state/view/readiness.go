package view

import "github.com/mimosaspring/mimosaspring/internal/state/api"

// UnreadyReason returns why the instance cannot serve requests yet, or "" if it
// can.
func (view *View) UnreadyReason() string {
	if !view.IsConfigured {
		return api.ReasonUnconfigured
	}
	return ""
}
