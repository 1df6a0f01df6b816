package control

import (
	"slices"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// logSuperseded logs of which keys the store states an older document than the one in
// force, or none, why and what an operator can do about it, and of which it no longer does.
func (control *Control) logSuperseded(effects Effects) {
	keys := slices.Compact(slices.Sorted(slices.Values(effects.Superseded)))
	for _, key := range keys[:min(len(keys), maxLoggedRemovals)] {
		described, isSuperseded := describeSuperseded(control.state, key)
		if !isSuperseded {
			continue
		}
		line := "store states an older document than the one in force"
		if described.Reason == view.SupersededByLoss {
			line = "store lacks a document in force"
		}
		control.logger.Warn(line, zap.String("key", key),
			zap.Uint64("statedNumber", described.StatedNumber.Sequence), zap.Uint64("statedEra", described.StatedEra), zap.Uint64("statedRevision", described.StatedRevision),
			zap.Uint64("numberInForce", described.NumberInForce.Sequence), zap.Uint64("eraInForce", described.EraInForce), zap.Uint64("revisionInForce", described.RevisionInForce),
			zap.Bool("removed", described.IsRemoved), zap.String("reason", string(described.Reason)), zap.String("remedy", described.Remedy()))
	}
	if omitted := len(keys) - maxLoggedRemovals; omitted > 0 {
		control.logger.Warn("store states further older documents", zap.Int("count", omitted))
	}
	if restatedCount := len(effects.Restated); restatedCount > 0 {
		control.logger.Info("store states the documents in force again", zap.Int("count", restatedCount), zap.Strings("first", effects.Restated[:min(restatedCount, maxLoggedMembers)]))
	}
}
