package check

import (
	"maps"
	"slices"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/schedule/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// checkLimits reports limits that contradict each other or those of the settings.
func (checker *checker) checkLimits() {
	checker.forEachScope(func(scope view.Scope) {
		checker.checkTimes(scopeEntry(scope.Scope.Name), scope.Scope)
	})
	for _, name := range slices.Sorted(maps.Keys(checker.upstreams)) {
		checker.checkUpstreamLimits(checker.upstreams[name])
	}
	if settings := checker.input.Settings; settings != nil {
		checker.checkBodyLimit()
		for _, name := range slices.Sorted(maps.Keys(checker.upstreams)) {
			checker.checkColdRate(checker.upstreams[name], settings.Schedule)
		}
	}
}

// checkTimes reports times of a scope that exceed others.
func (checker *checker) checkTimes(entry string, scope api.Scope) {
	timeout, target := scope.Timeout.Duration, scope.TargetLatency.Duration
	if timeout > api.MaxDeadline {
		checker.warn(entry, "timeout %s exceeds the longest deadline of a caller, %s", timeout, api.MaxDeadline)
	}
	if timeout > 0 && target > timeout {
		checker.warn(entry, "targetLatency %s exceeds timeout %s", target, timeout)
	}
	settings := checker.input.Settings
	if settings == nil {
		return
	}
	if margin := settings.Callers.TargetMargin.Duration; target > 0 && target <= margin {
		checker.warn(entry, "targetLatency %s does not exceed callers.targetMargin %s", target, margin)
	}
	if drain := settings.Shutdown.DrainTimeout.Duration; scope.IsCommand && timeout > drain {
		checker.warn(entry, "timeout %s of a command exceeds stop.drainTimeout %s; a stopping instance refuses it", timeout, drain)
	}
}

// checkUpstreamLimits reports replicas that run more requests than they accept
// connections.
func (checker *checker) checkUpstreamLimits(upstream api.Upstream) {
	slots := upstream.Slots
	for _, instance := range checker.instances {
		if instance.Upstream == upstream.Name {
			slots = max(slots, instance.Slots)
		}
	}
	if upstream.ConnectionLimit < slots && upstream.Protocol != "" && upstream.Protocol != api.ProtocolHTTP2 {
		checker.warn(upstreamEntry(upstream.Name), "connectionLimit %d is less than the slots of a replica, %d", upstream.ConnectionLimit, slots)
	}
}

// checkColdRate reports a rate that lets no instance send to a cold replica.
func (checker *checker) checkColdRate(coldUpstream api.Upstream, schedule settings.Schedule) {
	const sender = "only"
	bound := upstream.ColdBound{Rate: coldUpstream.ColdRate, Overshoot: schedule.ColdOvershoot, Slack: schedule.ColdSlack}
	senders := upstream.ColdSenders{Upstream: coldUpstream.Name, Candidates: []string{sender}, AliveCount: 1, KnownCount: 1}
	if bound.IsSet() && upstream.ColdShare(bound, senders, sender) == 0 {
		checker.warn(upstreamEntry(coldUpstream.Name), "coldRate %g with schedule.coldOvershoot %g and schedule.coldSlack %g lets nothing through to a cold replica", bound.Rate, bound.Overshoot, bound.Slack)
	}
}

// checkBodyLimit reports a limit of bodies that an instance without other callers has
// no memory for.
func (checker *checker) checkBodyLimit() {
	document, isSet := checker.definedIn[limitsEntry]
	if !isSet {
		return
	}
	memory := caller.NewMemory[struct{}](checker.input.CallerMemory)
	holder, _ := memory.Open(struct{}{}, "", 0)
	maxBytes := checker.current.Limits.MaxBodyBytes
	if isGranted, _ := memory.Grow(holder, maxBytes, 0); !isGranted {
		checker.report(SeverityWarning, document, limitsEntry, "a body of %d bytes does not fit the memory for callers, %d bytes for large requests", maxBytes, checker.input.CallerMemory.LargeBytes)
	}
}
