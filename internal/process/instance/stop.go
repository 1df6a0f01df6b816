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
	handoverTimeout = 2 * time.Second
	// farewell is how long the last news may take to reach the neighbours.
	farewell = 200 * time.Millisecond
)

// Stop shuts the instance down without cutting a request: it leaves the
// addresses, serves the callers that still hold its own, finishes what is in
// flight and hands its command outcomes over. Requests that outlast the drain
// timeout are answered as they stand. When ctx ends it stops at once.
func (instance *Instance) Stop(ctx context.Context) {
	instance.stopping.Store(true)
	instance.logger.Info("instance is leaving")
	_ = instance.control.Mailbox.Send(ctx, message.ShutdownStarted{})
	leaveTime := instance.settings.Shutdown.LeaveTime.Duration
	if leaveTime == 0 {
		leaveTime = instance.settings.Callers.KeepTime.Duration
	}
	wait(ctx, leaveTime)
	instance.drain(ctx)
	heir := instance.handover()
	_ = instance.control.Mailbox.Send(context.Background(), message.SuccessorChosen{Successor: heir})
	wait(ctx, farewell)
	instance.close()
	instance.logger.Info("instance stopped")
}

// drain finishes the requests in flight within the drain timeout.
func (instance *Instance) drain(ctx context.Context) {
	drain, cancel := context.WithTimeout(ctx, instance.settings.Shutdown.DrainTimeout.Duration)
	defer cancel()
	if err := instance.caller.http.Shutdown(drain); err != nil {
		instance.logger.Warn("requests answered before their end", zap.Int64("count", instance.inFlight.Load()))
		instance.endRequests(errStopping)
		final, cancel := context.WithTimeout(ctx, finalTime)
		defer cancel()
		if err := instance.caller.http.Shutdown(final); err != nil {
			instance.logger.Warn("requests cut", zap.Int64("count", instance.inFlight.Load()), zap.Error(err))
		}
	}
	instance.home.Close(drain)
}

// finalTime is how long answers may take to be written once their requests
// were ended.
const finalTime = 300 * time.Millisecond

var errStopping = errors.New("the instance stops")

// Kill ends the instance at once, as a crash would.
func (instance *Instance) Kill() { instance.close() }

func (instance *Instance) close() {
	if instance.cancel != nil {
		instance.cancel()
	}
	for _, server := range []*server{instance.caller, instance.locator, instance.readiness, instance.operator} {
		if server != nil {
			_ = server.http.Close()
			_ = server.listener.Close()
		}
	}
	if instance.peers != nil {
		instance.peers.Close()
	}
}

func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// handover passes the outcomes to the first heir that takes them and returns
// its name; empty where none did.
func (instance *Instance) handover() string {
	if !instance.adapter.IsOwn {
		// Callers of an adapter hold no keys.
		return ""
	}
	handover := instance.home.Handover(time.Now())
	for _, heir := range Heirs(instance.View()) {
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		reply, err := instance.peers.Call(ctx, heir.Instance.PeerAddress, api.PeerRequest{Handover: &handover})
		cancel()
		if err == nil && reply.IsAlive {
			instance.logger.Info("outcomes handed over", zap.String("peer", heir.Instance.Name), zap.Int("count", len(handover.Results)))
			return heir.Instance.Name
		}
		instance.logger.Warn("outcomes not handed over", zap.String("peer", heir.Instance.Name), zap.Error(err))
	}
	return ""
}

// Heirs returns the members that may keep a stopping home's outcomes, in
// their order by rendezvous hashing.
func Heirs(current *view.View) []api.Member {
	var heirs []api.Member
	for name, member := range current.Members {
		if name != current.Self.Instance.Name && member.State == api.MemberAlive {
			heirs = append(heirs, member)
		}
	}
	slices.SortFunc(heirs, func(a, b api.Member) int {
		return cmp.Compare(heirRank(current, b), heirRank(current, a))
	})
	return heirs
}

func heirRank(current *view.View, member api.Member) uint64 {
	return xxhash.Sum64String("heir/" + current.Self.Instance.Name + "/" + member.Instance.Name)
}
