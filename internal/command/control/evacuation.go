package control

import (
	"slices"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// evacuatedDomains returns the failure domains that the documents in force ask to
// evacuate, sorted.
func evacuatedDomains(state *State) []string {
	var evacuated []string
	forEachDocument(state, func(decoded api.DecodedDocument) {
		if decoded.Evacuation != nil {
			evacuated = append(evacuated, decoded.Evacuation.FailureDomain)
		}
	})
	slices.Sort(evacuated)
	return slices.Compact(evacuated)
}

// setEvacuated records whether the replica's failure domain is evacuated. A replica
// that is used again counts as cold for as long as after a start if its upstream
// states a rate, and begins with a pace.
func setEvacuated(replica *view.Replica, isEvacuated bool) {
	if replica.Stats.IsEvacuated.Load() && !isEvacuated {
		// The limits must be in force before traffic goroutines use the replica.
		now := view.MonotonicNow()
		if replica.Upstream.ColdRate > 0 {
			replica.Stats.ObserveCold(now, replica.Upstream.ColdTime.Duration)
		}
		replica.Stats.BeginPace(now)
	}
	replica.Stats.IsEvacuated.Store(isEvacuated)
}

// logEvacuations logs the failure domains whose evacuation began or ended between two
// Views.
func (control *Control) logEvacuations(previous, current *view.View) {
	for _, domain := range current.EvacuatedDomains {
		if !slices.Contains(previous.EvacuatedDomains, domain) {
			control.logger.Info("evacuation of a failure domain began", zap.String("failureDomain", domain), zap.Int("replicas", replicaCount(current, domain)))
		}
	}
	for _, domain := range previous.EvacuatedDomains {
		if !slices.Contains(current.EvacuatedDomains, domain) {
			control.logger.Info("evacuation of a failure domain ended", zap.String("failureDomain", domain), zap.Int("replicas", replicaCount(current, domain)))
		}
	}
}

// replicaCount returns the number of replicas in a failure domain.
func replicaCount(current *view.View, domain string) int {
	count := 0
	for _, replica := range current.Replicas {
		if replica.Instance.FailureDomain == domain {
			count++
		}
	}
	return count
}
