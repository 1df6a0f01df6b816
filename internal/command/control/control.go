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
	tickInterval = 100 * time.Millisecond
	mailboxSize  = 8_192
	// batchSize is how many waiting messages are applied before a View is
	// published.
	batchSize = 256
	// figuresInterval is the least age of a View that only new figures replace.
	figuresInterval = 250 * time.Millisecond
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
	CurrentView *view.PublishedView

	state  *State
	peers  Peers
	logger *zap.Logger
	woken  time.Time
	// isDue is set while figures wait to be published.
	isDue       bool
	publishedAt time.Time
	done        chan struct{}
}

// New returns the control part of an instance.
func New(state *State, logger *zap.Logger) *Control {
	return &Control{
		Mailbox:     mailbox.New[message.Message](mailboxSize),
		CurrentView: view.NewPublishedView(),
		state:       state,
		logger:      logger,
		done:        make(chan struct{}),
	}
}

// Start starts the goroutine; it ends with ctx.
func (control *Control) Start(ctx context.Context, peers Peers) {
	control.peers = peers
	control.woken = time.Now()
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
			control.perform(control.checkPause())
			control.perform(control.applyBatch(message))
		case <-ticker.C:
			control.perform(control.checkPause())
			control.perform(Apply(control.state, message.Ticked{}, time.Now()))
		case <-ctx.Done():
			return
		}
	}
}

func (control *Control) applyBatch(first message.Message) Effects {
	effects := Apply(control.state, first, time.Now())
	for range batchSize {
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
	gap := now.Sub(control.woken)
	control.woken = now
	if gap <= view.PauseThreshold {
		return Effects{}
	}
	control.logger.Warn("process was paused", zap.Duration("gap", gap))
	return Apply(control.state, message.Ticked{Gap: gap}, now)
}

func (control *Control) perform(effects Effects) {
	if effects.Refresh {
		control.CurrentView.BeginRefresh()
		control.peers.Refresh()
	}
	control.publish(effects)
	if effects.Release {
		control.CurrentView.EndRefresh()
	}
	control.CurrentView.Tick()
	if effects.hasGossip() {
		control.logNews(effects.Gossip)
		control.peers.SendGossip(effects.Gossip)
	}
}

// publish publishes a new View for effects that need one. Figures alone wait
// until the last View is figuresInterval old.
func (control *Control) publish(effects Effects) {
	control.isDue = control.isDue || effects.Figures
	now := time.Now()
	isUrgent := effects.Rebuild || effects.Membership
	if !isUrgent && (!control.isDue || now.Sub(control.publishedAt) < figuresInterval) {
		return
	}
	control.isDue = false
	control.publishedAt = now
	control.CurrentView.Publish(Build(control.state, effects))
}

func (control *Control) logNews(gossip api.Gossip) {
	for _, member := range gossip.Members {
		control.logger.Info("member changed", zap.String("peer", member.Instance.Name), zap.Stringer("state", member.State))
	}
	for _, key := range gossip.Keys {
		control.logKey(key)
	}
	for _, mark := range gossip.LeavingReplicas {
		control.logger.Info("replica is leaving", zap.String("replica", mark.Replica))
	}
}

func (control *Control) logKey(key api.KeyRevision) {
	refused := control.state.Refused[key.Key]
	if refused.Document.Revision == key.Revision {
		control.logger.Warn("document refused", zap.String("key", key.Key), zap.Uint64("revision", key.Revision), zap.String("reason", refused.RefusalReason))
		return
	}
	control.logger.Info("document in force", zap.String("key", key.Key), zap.Uint64("revision", key.Revision))
}
