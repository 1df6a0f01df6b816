package view

import "github.com/mimosaspring/mimosaspring/internal/state/api"

// UnreadyReason returns why the instance cannot serve requests yet, or "" if it
// can.
func (view *View) UnreadyReason() string {
	switch {
	case !view.IsConfigured:
		return api.ReasonUnconfigured
	case !view.IsSettled:
		return api.ReasonUnsettled
	}
	return ""
}
