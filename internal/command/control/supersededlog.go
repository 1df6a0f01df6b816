package control

import (
	"slices"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// logLost logs the documents that stay in force although the store lacks them, and what an
// operator can do about it.
func (control *Control) logLost(removals []Removal) {
	for _, removal := range removals {
		if removal.Rule != view.RemovalLost {
			continue
		}
		inForce := control.state.DocumentsInForce[removal.Document.Key].Document
		described := view.SupersededKey{NumberInForce: inForce.Number, IsConfiguration: true}
		control.logger.Warn("store lacks a document in force", zap.String("key", inForce.Key), zap.Uint64("numberInForce", inForce.Number.Sequence),
			zap.Uint64("eraInForce", inForce.Era), zap.Uint64("revisionInForce", inForce.Revision), zap.String("reason", string(view.SupersededByLoss)), zap.String("remedy", described.Remedy()))
	}
}

// logSuperseded logs of which keys the store states an older document than the one in
// force, why and what an operator can do about it, and of which it no longer does.
func (control *Control) logSuperseded(effects Effects) {
	keys := slices.Compact(slices.Sorted(slices.Values(effects.Superseded)))
	for _, key := range keys[:min(len(keys), maxLoggedRemovals)] {
		superseded, isSuperseded := control.state.SupersededDocuments[key]
		if !isSuperseded {
			continue
		}
		described := supersededKey(control.state, key, superseded)
		control.logger.Warn("store states an older document than the one in force", zap.String("key", key),
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
