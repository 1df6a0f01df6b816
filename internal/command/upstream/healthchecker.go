package upstream

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	schedule "github.com/mimosaspring/mimosaspring/internal/schedule/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Times of the health checks and of the updates of links.
const (
	healthInterval = time.Second
	healthTimeout  = 500 * time.Millisecond
	// linkInterval is the time between two updates of the links. It is short
	// because an instance that becomes the home of a shard needs connections soon.
	linkInterval = 200 * time.Millisecond
)

// HealthChecker checks the health of the replicas that this instance owns, and
// closes links that are no longer needed. Rendezvous hashing gives each replica
// one owner among the instances.
type HealthChecker struct {
	currentView *view.PublishedView
	mailbox     *mailbox.Mailbox[message.Message]
	links       *http.Links[*http.Link]
	relayLinks  *http.Links[*http.RelayLink]
	// viewNumber is the number of the View that the links were last updated to.
	viewNumber uint64
	// staleAfter is the schedule.ColdCheck's; 0 disables these checks.
	staleAfter time.Duration
	tickTimes  schedule.TickTimes
	metrics    *metrics.Metrics
	logger     *zap.Logger
	// isCheckingCold is set from the first of these checks until the platform is heard
	// of again.
	isCheckingCold bool
}

// HealthCheckerOption changes what a HealthChecker checks.
type HealthCheckerOption func(healthchecker *HealthChecker)

// WithColdChecks makes the HealthChecker ask replicas of the relay protocol for their
// cold time while nothing was heard of the platform for longer than staleAfter, if
// their upstream states a rate for cold replicas and a health path.
func WithColdChecks(staleAfter time.Duration, metrics *metrics.Metrics, logger *zap.Logger) HealthCheckerOption {
	return func(healthchecker *HealthChecker) {
		healthchecker.staleAfter, healthchecker.metrics, healthchecker.logger = staleAfter, metrics, logger
	}
}

// NewHealthChecker returns a HealthChecker that reports to control and checks
// replicas over links. It also opens, limits and closes connections of relayLinks.
func NewHealthChecker(control *control.Control, links *http.Links[*http.Link], relayLinks *http.Links[*http.RelayLink], options ...HealthCheckerOption) *HealthChecker {
	healthchecker := &HealthChecker{currentView: control.CurrentView, mailbox: control.Mailbox, links: links, relayLinks: relayLinks}
	for _, option := range options {
		option(healthchecker)
	}
	return healthchecker
}

// Start starts the checks and link updates. They end when ctx ends.
func (healthchecker *HealthChecker) Start(ctx context.Context) { go healthchecker.run(ctx) }

func (healthchecker *HealthChecker) run(ctx context.Context) {
	healthTicker := time.NewTicker(healthInterval)
	defer healthTicker.Stop()
	linkTicker := time.NewTicker(linkInterval)
	defer linkTicker.Stop()
	for {
		select {
		case <-healthTicker.C:
			healthchecker.checkOwned(ctx)
		case <-linkTicker.C:
			healthchecker.updateLinks()
			healthchecker.checkCold(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// updateLinks closes the links that are no longer needed and divides the
// connections of the replicas among the instances again, if the View changed. It
// also opens connections ahead of use to the replicas of shards whose home is
// this instance.
func (healthchecker *HealthChecker) updateLinks() {
	current := healthchecker.currentView.Load()
	if current.Number != healthchecker.viewNumber {
		healthchecker.viewNumber = current.Number
		healthchecker.links.ApplyView(current)
		healthchecker.relayLinks.ApplyView(current)
	}
	healthchecker.relayLinks.PreconnectHomeReplicas(current)
}

// checkOwned starts a check of each replica that this instance owns. Replicas
// that speak the relay protocol, which checkCold checks, and those that are
// leaving are not checked.
func (healthchecker *HealthChecker) checkOwned(ctx context.Context) {
	current := healthchecker.currentView.Load()
	for _, replica := range current.Replicas {
		isChecked := replica.Upstream.Protocol != api.ProtocolRelay && !replica.Stats.IsLeaving.Load()
		if !isChecked || !IsOwner(current, replica.Instance.Name) {
			continue
		}
		healthcheck := &healthCheck{healthchecker: healthchecker, replica: replica, ctx: ctx}
		go healthcheck.run()
	}
}

// IsOwner reports whether this instance checks the health of replica: it has the
// highest rank for it among the instances that are alive.
func IsOwner(current *view.View, replica string) bool {
	ownRank := ownerRank(current.Self.Instance.Name, replica)
	for name, member := range current.Members {
		if member.State == api.MemberAlive && ownerRank(name, replica) > ownRank {
			return false
		}
	}
	return true
}

// ownerRank returns the rank of instance in the rendezvous hashing for replica.
func ownerRank(instance, replica string) uint64 {
	return xxhash.Sum64String("owner/" + instance + "/" + replica)
}

// healthCheck is one health check of one replica.
type healthCheck struct {
	healthchecker *HealthChecker
	replica       *view.Replica
	ctx           context.Context
}

// run asks the replica for its health and reports its load, the snapshots that
// it holds, and whether it is leaving. It ignores a check that fails.
func (healthcheck *healthCheck) run() {
	healthchecker := healthcheck.healthchecker
	ctx, cancel := context.WithTimeout(healthcheck.ctx, healthTimeout)
	defer cancel()
	instances := len(healthchecker.currentView.Load().Members)
	health, err := healthchecker.links.Get(healthcheck.replica, instances).Health(ctx)
	if err != nil {
		return
	}
	stats := healthcheck.replica.Stats
	stats.ReportedLoad.Store(int64(health.InFlight + health.Queued))
	stats.ReportedAt.Store(int64(view.MonotonicNow()))
	if health.IsLeaving {
		message.ReportLeaving(healthchecker.mailbox, healthcheck.replica)
	}
	message.ReportSnapshots(healthchecker.mailbox, healthcheck.replica, health.HeldSnapshots)
}
