package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	tickInterval    = 100 * time.Millisecond
	mailboxCapacity = 8_192
	// maxBatchSize is how many waiting messages are applied before a View is
	// published.
	maxBatchSize = 256
	// statsInterval is the least age of a View that only new figures replace.
	statsInterval = 250 * time.Millisecond
)

// Peers is what control asks of the part that speaks to peers.
type Peers struct {
	// SendGossip passes news to the neighbours.
	SendGossip func(gossip api.Gossip)
	// Refresh asks a peer for all news, and sends Refreshed when it is here.
	Refresh func()
}

// Control is the goroutine that owns the control state.
type Control struct {
	Mailbox     *mailbox.Mailbox[message.Message]
	CurrentView *view.Published

	state    *State
	peers    Peers
	logger   *zap.Logger
	lastWake time.Time
	// isStatsUpdateDue is set while figures wait to be published.
	isStatsUpdateDue bool
	publishedAt      time.Time
	done             chan struct{}
}

// New returns the control part of an instance.
func New(state *State, logger *zap.Logger) *Control {
	return &Control{
		Mailbox:     mailbox.New[message.Message](mailboxCapacity),
		CurrentView: view.NewPublished(),
		state:       state,
		logger:      logger,
		done:        make(chan struct{}),
	}
}

// Start starts the goroutine; it ends with ctx.
func (control *Control) Start(ctx context.Context, peers Peers) {
	control.peers = peers
	control.lastWake = time.Now()
	control.CurrentView.Publish(Build(control.state, RebuildAll))
	go control.run(ctx)
}

// Done is closed when the goroutine has ended.
func (control *Control) Done() <-chan struct{} { return control.done }

func (control *Control) run(ctx context.Context) {
	defer close(control.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case message := <-control.Mailbox.Messages():
			control.execute(control.checkPause())
			control.execute(control.applyBatch(message))
		case <-ticker.C:
			control.execute(control.checkPause())
			control.execute(Apply(control.state, message.Ticked{}, time.Now()))
		case <-ctx.Done():
			return
		}
	}
}

func (control *Control) applyBatch(first message.Message) Effects {
	effects := Apply(control.state, first, time.Now())
	for range maxBatchSize {
		select {
		case message := <-control.Mailbox.Messages():
			effects.merge(Apply(control.state, message, time.Now()))
		default:
			return effects
		}
	}
	return effects
}

// checkPause compares two wakes of the loop with the monotonic clock.
func (control *Control) checkPause() Effects {
	now := time.Now()
	gap := now.Sub(control.lastWake)
	control.lastWake = now
	if gap <= view.PauseThreshold {
		return Effects{}
	}
	control.logger.Warn("process was paused", zap.Duration("gap", gap))
	return Apply(control.state, message.Ticked{Gap: gap}, now)
}

func (control *Control) execute(effects Effects) {
	if effects.RequestRefresh {
		control.CurrentView.Hold()
		control.peers.Refresh()
	}
	control.publish(effects)
	if effects.ReleaseTraffic {
		control.CurrentView.Release()
	}
	control.CurrentView.Tick()
	if effects.hasGossip() {
		control.logChanges(effects.Gossip)
		control.peers.SendGossip(effects.Gossip)
	}
}

// publish publishes a new View for effects that need one. Figures alone wait
// until the last View is figuresInterval old.
func (control *Control) publish(effects Effects) {
	control.isStatsUpdateDue = control.isStatsUpdateDue || effects.PublishStats
	now := time.Now()
	isUrgent := effects.RebuildConfiguration || effects.RebuildRoles
	if !isUrgent && (!control.isStatsUpdateDue || now.Sub(control.publishedAt) < statsInterval) {
		return
	}
	control.isStatsUpdateDue = false
	control.publishedAt = now
	control.CurrentView.Publish(Build(control.state, effects))
}

func (control *Control) logChanges(gossip api.Gossip) {
	for _, member := range gossip.Members {
		control.logger.Info("member changed", zap.String("peer", member.Instance.Name), zap.Stringer("state", member.State))
	}
	for _, key := range gossip.Keys {
		control.logDocument(key)
	}
	for _, mark := range gossip.Marks {
		control.logger.Info("replica is leaving", zap.String("replica", mark.Replica))
	}
}

func (control *Control) logDocument(key api.KeyRevision) {
	refused := control.state.RefusedDocuments[key.Key]
	if refused.Document.Revision == key.Revision {
		control.logger.Warn("document refused", zap.String("key", key.Key), zap.Uint64("revision", key.Revision), zap.String("reason", refused.Refusal))
		return
	}
	control.logger.Info("document in force", zap.String("key", key.Key), zap.Uint64("revision", key.Revision))
}
