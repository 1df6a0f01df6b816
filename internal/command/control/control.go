// Package control holds the control state of an instance: the configuration
// documents, the members and what is derived from them. One goroutine applies
// messages to the state and publishes immutable Views of it, which the goroutines
// that serve traffic read.
package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/schedule/peer"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// tickInterval is the interval at which timeouts are checked.
	tickInterval = 100 * time.Millisecond
	// mailboxCapacity is the number of messages that can wait to be applied.
	mailboxCapacity = 8_192
	// maxBatchSize is the number of further waiting messages that are applied
	// before a View is published.
	maxBatchSize = 256
	// statsInterval is the least time between two Views if only loads, counts
	// and times changed.
	statsInterval = 250 * time.Millisecond
)

// PeerCalls holds the functions through which Control reaches the other
// instances. They must return without waiting for a peer.
type PeerCalls struct {
	// SendGossip sends changes to the neighbours.
	SendGossip func(gossip api.Gossip)
	// Refresh starts to request the complete state from a peer. Once the state has
	// been received, or the time for it is over, message.RefreshCompleted is sent
	// to the Mailbox.
	Refresh func()
}

// Control owns the control state of an instance. Its goroutine applies the
// messages of the Mailbox to the state and publishes Views of it.
type Control struct {
	// Mailbox receives the messages to apply, from any goroutine.
	Mailbox *mailbox.Mailbox[message.Message]
	// CurrentView holds the View published last; any goroutine may load it.
	CurrentView *view.PublishedView

	state     *State
	peerCalls PeerCalls
	logger    *zap.Logger
	// lastWake is the time at which the loop last handled a message or a tick.
	lastWake time.Time
	// isStatsUpdateDue is set while changed loads, counts or times are not yet
	// published.
	isStatsUpdateDue bool
	// isDocumentsUpdateDue is set while documents that are of no use are not yet published,
	// and delayedKeys holds those to send to the neighbours then.
	isDocumentsUpdateDue bool
	delayedKeys          map[string]api.KeyRevision
	// unusedLog limits the lines about documents that are of no use.
	unusedLog lineLimit
	// loggedPaces holds the replicas that were logged as cold or paced.
	loggedPaces map[string]bool
	// pacesLoggedAt is when logPaces last ran, as the time since view.MonotonicOrigin.
	pacesLoggedAt time.Duration
	// publishedAt is the time at which the last View was published.
	publishedAt time.Time
	// done is closed when the goroutine ends.
	done chan struct{}
}

// New returns a Control that owns state. It does nothing until Start is called.
func New(state *State, logger *zap.Logger) *Control {
	return &Control{
		Mailbox:     mailbox.New[message.Message](mailboxCapacity),
		CurrentView: view.NewPublishedView(),
		state:       state,
		logger:      logger,
		loggedPaces: make(map[string]bool),
		delayedKeys: make(map[string]api.KeyRevision),
		done:        make(chan struct{}),
	}
}

// Start publishes the first View and starts the goroutine, which runs until ctx
// is cancelled.
func (control *Control) Start(ctx context.Context, peercalls PeerCalls) {
	control.peerCalls = peercalls
	control.lastWake = time.Now()
	control.CurrentView.Publish(Build(control.state, RebuildAll))
	go control.run(ctx)
}

// Done returns a channel that is closed when the goroutine has ended.
func (control *Control) Done() <-chan struct{} { return control.done }

// run applies messages and ticks until ctx is cancelled.
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
			control.logPaces()
		case <-ctx.Done():
			return
		}
	}
}

// applyBatch applies first and up to maxBatchSize more waiting messages, so that
// one View covers them all.
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

// checkPause detects that the process was paused: by the monotonic clock, more
// than view.PauseThreshold has passed since the loop last ran. It then applies a
// tick with the length of the pause.
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

// execute carries out effects in the order that a refresh needs: requests start to
// wait before the peer is asked, and continue only after the refreshed View is
// published.
func (control *Control) execute(effects Effects) {
	if effects.BeginRefresh {
		control.CurrentView.BeginRefresh()
		control.peerCalls.Refresh()
	}
	delayedKeys := control.publish(effects)
	if effects.EndRefresh {
		control.CurrentView.EndRefresh()
	}
	control.CurrentView.Tick()
	if effects.IsEraRaised {
		control.logger.Info("store of the platform is in a new era", zap.Uint64("era", control.state.Era))
	}
	if effects.HeldBackCount > 0 {
		control.logger.Info("documents held back until their keys are written again", zap.Int("count", effects.HeldBackCount), zap.Uint64("era", control.state.Era))
	}
	control.logRemovals(effects.Removals)
	control.logSuperseded(effects)
	if effects.hasGossip() {
		control.logChanges(effects.Gossip)
		control.peerCalls.SendGossip(effects.Gossip)
	}
	if len(delayedKeys) > 0 {
		control.logUnused(delayedKeys)
		control.peerCalls.SendGossip(api.Gossip{Keys: delayedKeys})
	}
}

// publish builds and publishes a new View if effects ask for one. Changed loads,
// counts and times, and documents that are of no use, are published only once the last View
// is statsInterval old. It returns the documents of no use to send to the neighbours.
func (control *Control) publish(effects Effects) []api.KeyRevision {
	control.isStatsUpdateDue = control.isStatsUpdateDue || effects.PublishStats
	control.isDocumentsUpdateDue = control.isDocumentsUpdateDue || effects.RebuildDocuments
	for _, keyrevision := range effects.DelayedKeys {
		control.delayedKeys[keyrevision.Key] = keyrevision
	}
	now := time.Now()
	isUrgent := effects.RebuildConfiguration || effects.RebuildRoles || effects.PublishNow
	isDue := control.isStatsUpdateDue || control.isDocumentsUpdateDue
	if !isUrgent && (!isDue || now.Sub(control.publishedAt) < statsInterval) {
		return nil
	}
	effects.RebuildDocuments = control.isDocumentsUpdateDue
	control.isStatsUpdateDue, control.isDocumentsUpdateDue = false, false
	control.publishedAt = now
	previous := control.CurrentView.Load()
	current := Build(control.state, effects)
	control.CurrentView.Publish(current)
	control.logEvacuations(previous, current)
	if !maps.Equal(previous.Serving, current.Serving) {
		control.logServing(current)
	}
	if previous.Senders.ChangedAt != current.Senders.ChangedAt {
		control.logSenders(current)
	}
	return control.takeDelayedKeys(current)
}

// takeDelayedKeys returns the documents of no use that current has and that were not sent
// to the neighbours yet.
func (control *Control) takeDelayedKeys(current *view.View) []api.KeyRevision {
	var keys []api.KeyRevision
	for key, keyrevision := range control.delayedKeys {
		held := current.HeldVersions(key)
		if held.InForce.Stored == keyrevision.Version() || held.Refused == keyrevision.Version() {
			keys = append(keys, keyrevision)
		}
	}
	clear(control.delayedKeys)
	return keys
}

// logSenders logs which members divide the senders' part of the retry budget's slack.
func (control *Control) logSenders(current *view.View) {
	names := slices.Sorted(maps.Keys(current.Senders.Names))
	control.logger.Info("senders of the retry budget changed", zap.Int("senders", len(names)), zap.Int("members", len(current.Members)),
		zap.Strings("first", names[:min(len(names), maxLoggedMembers)]))
}

// logServing logs which members serve and what the choice was made from.
func (control *Control) logServing(current *view.View) {
	aliveCount, smallest := 0, 0
	var overloaded []string
	for name, member := range current.Members {
		if member.State != api.MemberAlive {
			continue
		}
		aliveCount++
		if member.IsOverloaded {
			overloaded = append(overloaded, name)
		}
		if capacity := peer.CapacityOf(member); current.IsServing(name) && (smallest == 0 || capacity < smallest) {
			smallest = capacity
		}
	}
	names := slices.Sorted(maps.Keys(current.Serving))
	control.logger.Info("serving members changed", zap.Int("serving", len(names)), zap.Int("alive", aliveCount), zap.Int("smallestMillicores", smallest),
		zap.Strings("first", names[:min(len(names), maxLoggedMembers)]), zap.Strings("overloaded", overloaded[:min(len(overloaded), maxLoggedMembers)]))
}

// maxLoggedMembers bounds the names in one log line.
const maxLoggedMembers = 16

// maxLoggedRemovals bounds the removals that are logged at once.
const maxLoggedRemovals = 64

// logRemovals logs by which rule removals were decided, and for how long the platform had
// been available then, or -1 ns if it was not known to have answered.
func (control *Control) logRemovals(removals []Removal) {
	steadyFor := time.Duration(-1)
	if steadySince := steadySince(control.state); !steadySince.IsZero() {
		steadyFor = time.Since(steadySince)
	}
	for _, removal := range removals[:min(len(removals), maxLoggedRemovals)] {
		control.logger.Info("removal decided", zap.String("key", removal.Document.Key), zap.Uint64("revision", removal.Document.Revision), zap.Uint64("era", removal.Document.Era),
			zap.String("rule", string(removal.Rule)), zap.Bool("fromListing", removal.IsInferred), zap.Duration("platformSteadyFor", steadyFor))
	}
	if omitted := len(removals) - maxLoggedRemovals; omitted > 0 {
		control.logger.Info("further removals decided", zap.Int("count", omitted))
	}
}

// logChanges logs changes that this instance learned or detected.
func (control *Control) logChanges(gossip api.Gossip) {
	for _, member := range gossip.Members {
		control.logger.Info("member changed", zap.String("peer", member.Instance.Name), zap.Stringer("state", member.State))
	}
	for _, keyrevision := range gossip.Keys {
		control.logDocument(keyrevision)
	}
	for _, leavingreplica := range gossip.LeavingReplicas {
		control.logger.Info("replica is leaving", zap.String("replica", leavingreplica.Replica))
	}
}

// logDocument logs that a new version of a key is in force. One that is superseded is logged
// by logSuperseded, one that is of no use by logUnused.
func (control *Control) logDocument(keyrevision api.KeyRevision) {
	if superseded := control.state.SupersededDocuments[keyrevision.Key].Decoded.Document; superseded.Version() == keyrevision.Version() {
		return
	}
	fields := []zap.Field{zap.String("key", keyrevision.Key), zap.Uint64("revision", keyrevision.Revision)}
	if !keyrevision.Number.IsZero() {
		fields = append(fields, zap.Uint64("number", keyrevision.Number.Sequence))
	}
	if keyrevision.Era > 0 {
		fields = append(fields, zap.Uint64("era", keyrevision.Era))
	}
	control.logger.Info("document in force", fields...)
}
