package instance

import "github.com/mimosaspring/mimosaspring/internal/state/view"

// exportGauges adds the gauges of the current View to the metrics.
func (instance *Instance) exportGauges() {
	gauges := map[string]func(current *view.View) int64{
		"platform.era":                      func(current *view.View) int64 { return int64(current.Era) },
		"platform.pendingDocuments":         func(current *view.View) int64 { return int64(current.PendingCount) },
		"platform.supersededDocuments":      func(current *view.View) int64 { return int64(len(current.SupersededKeys)) },
		"platform.supersededConfigurations": func(current *view.View) int64 { return int64(len(current.SupersededConfigurations())) },
		"platform.refusedDocuments":         func(current *view.View) int64 { return int64(current.UnusedKeys.Count(view.UnusedRefused)) },
		"platform.ignoredDocuments":         func(current *view.View) int64 { return int64(current.UnusedKeys.Count(view.UnusedIgnored)) },
		"platform.unusedBytes":              func(current *view.View) int64 { return current.UnusedKeys.Bytes },
		"platform.unnamedEntries":           func(current *view.View) int64 { return int64(current.UnusedKeys.UnnamedCount) },
		"platform.omittedDocuments":         func(current *view.View) int64 { return current.UnusedKeys.OmittedCount },
		"kept.documents":                    func(current *view.View) int64 { return int64(len(current.KeyStatuses)) },
		"kept.removals":                     func(current *view.View) int64 { return int64(len(current.RemovedAt)) },
		"kept.leavingReplicas":              func(current *view.View) int64 { return int64(len(current.LeavingReplicas)) },
		"kept.stoppedHomes":                 func(current *view.View) int64 { return int64(len(current.StoppedHomes)) },
		"kept.members":                      func(current *view.View) int64 { return int64(len(current.Members)) },
		"removals.applied":                  func(current *view.View) int64 { return current.RemovalCounts[view.RemovalApplied] },
		"removals.heldBack":                 func(current *view.View) int64 { return current.RemovalCounts[view.RemovalHeldBack] },
		"removals.lostByStore":              func(current *view.View) int64 { return current.RemovalCounts[view.RemovalLost] },
		"members.serving":                   func(current *view.View) int64 { return int64(current.ServingCount()) },
		"members.overloaded":                func(current *view.View) int64 { return int64(current.OverloadedCount()) },
		"retries.senders":                   func(current *view.View) int64 { return int64(len(current.Senders.Names)) },
	}
	for name, valueOf := range gauges {
		instance.metrics.Gauge(name, func() int64 { return valueOf(instance.View()) })
	}
	instance.metrics.Gauge("retries.slackPerMillion", func() int64 { return int64(1e6 * instance.slackShare()) })
	instance.metrics.Gauge("kept.labels", func() int64 { return int64(instance.metrics.Labels()) })
	instance.metrics.Gauge("kept.budgetWindows", func() int64 { return int64(instance.budget.Upstreams()) })
	instance.metrics.Gauge("kept.peerConnections", func() int64 { return int64(instance.peers.Connections()) })
	instance.metrics.Gauge("kept.compressedKeys", func() int64 { return int64(instance.peers.CompressedKeys()) })
	replicaGauges := map[string]func(replica *view.Replica) int64{
		"replicas.cold":       func(replica *view.Replica) int64 { return boolCount(replica.Stats.IsCold(view.MonotonicNow())) },
		"replicas.paced":      func(replica *view.Replica) int64 { return boolCount(replica.Stats.Pace().IsActive()) },
		"replicas.evacuated":  func(replica *view.Replica) int64 { return boolCount(replica.Stats.IsEvacuated.Load()) },
		"replicas.pacedSkips": func(replica *view.Replica) int64 { return replica.Stats.PacedSkips.Load() },
	}
	for name, valueOf := range replicaGauges {
		instance.metrics.Gauge(name, func() int64 { return sumOverReplicas(instance.View(), valueOf) })
	}
}

// sumOverReplicas returns the sum of a value over the replicas of a View.
func sumOverReplicas(current *view.View, valueOf func(replica *view.Replica) int64) int64 {
	var sum int64
	for _, replica := range current.Replicas {
		sum += valueOf(replica)
	}
	return sum
}

func boolCount(isSet bool) int64 {
	if isSet {
		return 1
	}
	return 0
}
