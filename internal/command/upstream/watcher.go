package upstream

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Times of the health checks.
const (
	healthInterval = time.Second
	healthTimeout  = 500 * time.Millisecond
	// keepInterval is the time between two looks at the links; a home that has
	// just become one needs its connections soon.
	keepInterval = 200 * time.Millisecond
)

// HealthChecker checks the health of the replicas that this instance owns. The
// owner is found by rendezvous hashing, so that each replica has one.
type HealthChecker struct {
	published *view.PublishedView
	mailbox   *mailbox.Mailbox[message.Message]
	links     *http.Links[*http.Link]
	relays    *http.Links[*http.RelayLink]
	// kept is the number of the View that the links were last kept by.
	kept uint64
}

// NewHealthChecker returns the watcher of an instance.
func NewHealthChecker(part *control.Control, links *http.Links[*http.Link], relays *http.Links[*http.RelayLink]) *HealthChecker {
	return &HealthChecker{published: part.CurrentView, mailbox: part.Mailbox, links: links, relays: relays}
}

// Start starts the watcher; it ends with ctx.
func (watcher *HealthChecker) Start(ctx context.Context) { go watcher.run(ctx) }

func (watcher *HealthChecker) run(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	keeper := time.NewTicker(keepInterval)
	defer keeper.Stop()
	for {
		select {
		case <-ticker.C:
			watcher.checkAll(ctx)
		case <-keeper.C:
			watcher.keepLinks()
		case <-ctx.Done():
			return
		}
	}
}

// keepLinks closes the links that are no longer needed and shares the
// connections of the others anew where the View changed.
func (watcher *HealthChecker) keepLinks() {
	current := watcher.published.Load()
	if current.Number != watcher.kept {
		watcher.kept = current.Number
		watcher.links.Keep(current)
		watcher.relays.Keep(current)
	}
	watcher.relays.WarmHome(current)
}

func (watcher *HealthChecker) checkAll(ctx context.Context) {
	current := watcher.published.Load()
	for _, replica := range current.Replicas {
		isChecked := replica.Upstream.Protocol != api.ProtocolRelay && !replica.Stats.IsLeaving.Load()
		if !isChecked || !IsOwner(current, replica.Instance.Name) {
			continue
		}
		check := &check{watcher: watcher, replica: replica, ctx: ctx}
		go check.run()
	}
}

// IsOwner reports whether this instance checks the health of replica.
func IsOwner(current *view.View, replica string) bool {
	own := ownerRank(current.Self.Instance.Name, replica)
	for name, member := range current.Members {
		if member.State == api.MemberAlive && ownerRank(name, replica) > own {
			return false
		}
	}
	return true
}

func ownerRank(instance, replica string) uint64 {
	return xxhash.Sum64String("owner/" + instance + "/" + replica)
}

// check is one health check of one replica.
type check struct {
	watcher *HealthChecker
	replica *view.Replica
	ctx     context.Context
}

func (check *check) run() {
	watcher := check.watcher
	ctx, cancel := context.WithTimeout(check.ctx, healthTimeout)
	defer cancel()
	instances := len(watcher.published.Load().Members)
	health, err := watcher.links.Get(check.replica, instances).Health(ctx)
	if err != nil {
		return
	}
	traffic := check.replica.Stats
	traffic.ReportedLoad.Store(int64(health.InFlight + health.Queued))
	traffic.ReportedAt.Store(int64(view.MonotonicNow()))
	if health.IsLeaving {
		message.ReportLeaving(watcher.mailbox, check.replica)
	}
	message.ReportSnapshots(watcher.mailbox, check.replica, health.HeldSnapshots)
}
