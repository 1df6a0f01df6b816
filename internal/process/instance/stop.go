package instance

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// handoverTimeout bounds the handover of command outcomes to one member.
	handoverTimeout = 2 * time.Second
	// finalGossipTime is how long the instance keeps running after its last change,
	// so that gossip can carry the change to its neighbours.
	finalGossipTime = 200 * time.Millisecond
)

// Stop shuts the instance down gracefully. It announces the shutdown, so that new
// callers are directed to other instances, and serves the callers that still use its
// address for Stop.LeaveTime, or Callers.KeepTime if that is 0. It then waits for the
// requests in flight and hands its command outcomes over to a successor. Requests
// that outlast the drain timeout are cancelled and answered with the results that
// have arrived so far. When ctx ends, Stop skips the remaining waits, but still
// attempts the handover, for at most handoverTimeout per candidate.
func (instance *Instance) Stop(ctx context.Context) {
	leaveTime := instance.settings.Shutdown.LeaveTime.Duration
	if leaveTime == 0 {
		leaveTime = instance.settings.Callers.KeepTime.Duration
	}
	drainEnd := time.Now().Add(leaveTime + instance.settings.Shutdown.DrainTimeout.Duration)
	instance.drainEnd.Store(&drainEnd)
	instance.isStopping.Store(true)
	instance.logger.Info("instance is leaving", zap.Time("drainEnd", drainEnd))
	_ = instance.control.Mailbox.Send(ctx, message.ShutdownStarted{})
	wait(ctx, leaveTime)
	instance.drain(ctx)
	successor := instance.handOver()
	_ = instance.control.Mailbox.Send(context.Background(), message.SuccessorChosen{Successor: successor})
	wait(ctx, finalGossipTime)
	instance.close()
	instance.logger.Info("instance stopped")
}

// drain closes the listener for callers and waits for the requests in flight. After
// the drain timeout it cancels those that remain, so that they are answered, and
// waits for up to cancelledAnswerTime more. It then closes the home for commands with
// new keys; it waits for the running ones only within the drain timeout.
func (instance *Instance) drain(ctx context.Context) {
	drainCtx, cancel := context.WithTimeout(ctx, instance.settings.Shutdown.DrainTimeout.Duration)
	defer cancel()
	if err := instance.callerServer.http.Shutdown(drainCtx); err != nil {
		instance.logger.Warn("requests answered before their end", zap.Int64("count", instance.inFlight.Load()))
		instance.cancelRequests(errStopping)
		finalCtx, cancel := context.WithTimeout(ctx, cancelledAnswerTime)
		defer cancel()
		if err := instance.callerServer.http.Shutdown(finalCtx); err != nil {
			instance.logger.Warn("requests cut", zap.Int64("count", instance.inFlight.Load()), zap.Error(err))
		}
	}
	instance.home.Close(drainCtx)
}

// cancelledAnswerTime bounds the time to write the answers of cancelled requests.
const cancelledAnswerTime = 300 * time.Millisecond

// errStopping is the cause with which requests are cancelled at the end of the
// drain.
var errStopping = errors.New("the instance stops")

// Kill ends the instance immediately, without a graceful shutdown, to simulate a
// crash. Requests in flight are cut off.
func (instance *Instance) Kill() { instance.close() }

// close stops the goroutines and closes all listeners and connections. It may be
// called on an instance that is only partly started.
func (instance *Instance) close() {
	if instance.cancel != nil {
		instance.cancel()
	}
	for _, server := range []*server{instance.callerServer, instance.locatorServer, instance.readinessServer, instance.operatorServer} {
		if server != nil {
			_ = server.http.Close()
			_ = server.listener.Close()
		}
	}
	if instance.peers != nil {
		instance.peers.Close()
	}
}

// wait waits for duration or until ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// handOver sends the command outcomes to the first successor candidate that accepts
// them and returns its name, or an empty string if none did.
func (instance *Instance) handOver() string {
	if !instance.adapter.IsNative {
		// Only the system's own interface issues idempotency keys. Without them
		// there are no outcomes to hand over.
		return ""
	}
	handover := instance.home.Handover(time.Now())
	for _, candidate := range successorCandidates(instance.View()) {
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		reply, err := instance.peers.Call(ctx, candidate.Instance.PeerAddress, api.PeerRequest{Handover: &handover})
		cancel()
		if err == nil && reply.IsAlive {
			instance.logger.Info("outcomes handed over", zap.String("peer", candidate.Instance.Name), zap.Int("count", len(handover.Results)))
			return candidate.Instance.Name
		}
		instance.logger.Warn("outcomes not handed over", zap.String("peer", candidate.Instance.Name), zap.Error(err))
	}
	return ""
}

// successorCandidates returns the live members that can take over the command
// outcomes of this instance, in descending order of their rendezvous hash.
func successorCandidates(current *view.View) []api.Member {
	var candidates []api.Member
	for name, member := range current.Members {
		if name != current.Self.Instance.Name && member.State == api.MemberAlive {
			candidates = append(candidates, member)
		}
	}
	slices.SortFunc(candidates, func(a, b api.Member) int {
		return cmp.Compare(successorHash(current, b), successorHash(current, a))
	})
	return candidates
}

// successorHash returns the rendezvous hash of member as the successor of this
// instance. The prefix makes it independent of the other hashes of names.
func successorHash(current *view.View, member api.Member) uint64 {
	return xxhash.Sum64String("heir/" + current.Self.Instance.Name + "/" + member.Instance.Name)
}
