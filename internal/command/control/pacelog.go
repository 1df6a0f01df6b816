package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// maxPaceLines bounds the lines that one call of logPaces writes. The rest follows with
// the next calls.
const maxPaceLines = 8

// paceLogInterval is the least time between two checks of the paces to log.
const paceLogInterval = time.Second

// logPaces logs which replicas have become cold or paced, or are so no longer, since
// the last call. It does nothing if no replica can be paced or bounded.
func (control *Control) logPaces() {
	now := view.MonotonicNow()
	isInUse := control.state.PacesReplicas || len(control.state.coldRoles) > 0
	if !isInUse || now-control.pacesLoggedAt < paceLogInterval {
		return
	}
	control.pacesLoggedAt = now
	lines := 0
	for name, replica := range control.state.Replicas {
		pace := replica.Stats.Pace()
		isLimited := replica.Stats.IsCold(now) || pace.IsActive()
		if isLimited == control.loggedPaces[name] || lines == maxPaceLines {
			continue
		}
		lines++
		if !isLimited {
			delete(control.loggedPaces, name)
			control.logger.Info("replica is at full use", zap.String("replica", name), zap.Int64("pacedSkips", replica.Stats.PacedSkips.Load()))
			continue
		}
		control.loggedPaces[name] = true
		control.logger.Info("replica is paced", zap.String("replica", name), zap.Float64("limit", pace.Limit),
			zap.Duration("coldLeft", replica.Stats.ColdLeft(now)),
			zap.Duration("wait", replica.Stats.ColdWait(now)))
	}
	for name := range control.loggedPaces {
		if control.state.Replicas[name] == nil {
			delete(control.loggedPaces, name)
		}
	}
}
