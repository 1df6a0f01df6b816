package upstream

import (
	"context"
	"time"

	"go.uber.org/zap"

	schedule "github.com/mimosaspring/mimosaspring/internal/schedule/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// checkCold starts a check of each replica that may have become cold without this
// instance having learned of it (see schedule.ColdCheck). While the platform answers, it
// does nothing.
func (healthchecker *HealthChecker) checkCold(ctx context.Context) {
	current := healthchecker.currentView.Load()
	entryAge := time.Since(current.PlatformAnsweredAt)
	now := view.MonotonicNow()
	healthchecker.tickTimes = healthchecker.tickTimes.Tick(now)
	if healthchecker.staleAfter == 0 || entryAge <= healthchecker.staleAfter {
		healthchecker.logColdChecks(false, entryAge)
		return
	}
	if !healthchecker.tickTimes.HasResumed() {
		return
	}
	for _, replica := range current.Replicas {
		stats := replica.Stats
		isBounded := replica.Upstream.ColdRate > 0 && replica.Upstream.HealthPath != ""
		if !isBounded || stats.Wait(now) > 0 {
			continue
		}
		check := schedule.ColdCheck{
			EntryAge:   entryAge,
			StaleAfter: healthchecker.staleAfter,
			SentAt:     time.Duration(stats.SentAt.Load()),
			CheckedAt:  time.Duration(stats.CheckedAt.Load()),
			ColdUntil:  time.Duration(stats.ColdUntil.Load()),
		}
		if check.IsDue(now) {
			healthchecker.logColdChecks(true, entryAge)
			stats.CheckedAt.Store(int64(now))
			coldcheck := &coldCheck{healthchecker: healthchecker, replica: replica, ctx: ctx}
			go coldcheck.run()
		}
	}
}

// logColdChecks logs that the checks for cold times begin or end.
func (healthchecker *HealthChecker) logColdChecks(isChecking bool, entryAge time.Duration) {
	if isChecking == healthchecker.isCheckingCold {
		return
	}
	healthchecker.isCheckingCold = isChecking
	if !isChecking {
		healthchecker.logger.Info("platform is heard of again; replicas are no longer checked for cold times", zap.Duration("entryAge", entryAge))
		return
	}
	healthchecker.logger.Warn("nothing is heard of the platform; replicas are checked for cold times", zap.Duration("entryAge", entryAge))
}

// coldCheck is one check of one replica for its cold time.
type coldCheck struct {
	healthchecker *HealthChecker
	replica       *view.Replica
	ctx           context.Context
}

// run asks the replica for its cold time. A check that fails says nothing about it.
func (coldcheck *coldCheck) run() {
	healthchecker := coldcheck.healthchecker
	ctx, cancel := context.WithTimeout(coldcheck.ctx, healthTimeout)
	defer cancel()
	// After a pause of this process, the replica may be of an evacuated failure domain.
	instances := len(healthchecker.currentView.Current(ctx).Members)
	coldTimeLeft, err := healthchecker.relayLinks.Get(coldcheck.replica, instances).CheckCold(ctx, coldcheck.replica.Upstream.HealthPath)
	healthchecker.metrics.Add("replicas.coldChecks", 1)
	switch {
	case err != nil:
		healthchecker.metrics.Add("replicas.coldChecksFailed", 1)
		healthchecker.logger.Debug("replica not checked for its cold time", zap.String("replica", coldcheck.replica.Instance.Name), zap.Error(err))
	case coldTimeLeft > 0:
		healthchecker.metrics.Add("replicas.coldTimesLearned", 1)
	}
}
