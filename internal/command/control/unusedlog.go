package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

const (
	// maxUnusedLines is the number of lines about documents of no use in each
	// unusedLogInterval: another writer may leave any number of them.
	maxUnusedLines    = 16
	unusedLogInterval = 10 * time.Second
)

// lineLimit limits the lines of a log in each interval, and counts those left out.
type lineLimit struct {
	startedAt               time.Time
	lineCount, leftOutCount int
}

// allow reports whether a line may be logged at now. At the start of an interval it returns
// the number of lines that were left out before.
func (linelimit *lineLimit) allow(now time.Time) (isAllowed bool, omittedCount int) {
	if now.Sub(linelimit.startedAt) >= unusedLogInterval {
		omittedCount = linelimit.leftOutCount
		*linelimit = lineLimit{startedAt: now}
	}
	if linelimit.lineCount >= maxUnusedLines {
		linelimit.leftOutCount++
		return false, omittedCount
	}
	linelimit.lineCount++
	return true, omittedCount
}

// logUnused logs the documents that are newly of no use, with their lengths and why. A key
// that was of no use before is not logged again.
func (control *Control) logUnused(keys []api.KeyRevision) {
	now := time.Now()
	for _, keyrevision := range keys {
		times, isUnused := control.state.retention.unused[keyrevision.Key]
		if !isUnused || !times.since.Equal(times.takenAt) {
			continue
		}
		isAllowed, omittedCount := control.unusedLog.allow(now)
		if omittedCount > 0 {
			control.logger.Warn("further documents of no use", zap.Int("count", omittedCount), zap.Int("known", len(control.state.RefusedDocuments)))
		}
		if !isAllowed {
			continue
		}
		decoded := control.state.RefusedDocuments[keyrevision.Key]
		line := "document refused"
		if decoded.IgnoredReason != "" {
			line = "document names nothing to use"
		}
		control.logger.Warn(line, zap.String("key", keyrevision.Key), zap.Uint64("revision", keyrevision.Revision), zap.Uint64("era", keyrevision.Era),
			zap.Int64("bytes", decoded.Document.Refusal.Bytes), zap.String("reason", decoded.Document.Refusal.Reason))
	}
}
