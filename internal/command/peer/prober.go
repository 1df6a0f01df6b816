package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// indirectProbes is how many other neighbours probe for this one.
	indirectProbes = 2
	// probeSlack is the part of the probe interval, as one in so many, by which
	// a neighbour's sign of life may be old at the next tick.
	probeSlack = 10
)

// prober probes every neighbour once an interval.
type prober struct{ peers *Peers }

func (prober *prober) run() {
	peers := prober.peers
	timer := time.NewTimer(peers.probeInterval())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(peers.probeInterval())
			prober.probeAll()
		case <-peers.ctx.Done():
			return
		}
	}
}

func (prober *prober) probeAll() {
	members := prober.peers.neighbours()
	forgetOlder(&prober.peers.heard, forgetAge)
	forgetOlder(&prober.peers.syncs, forgetAge)
	forgetOlder(&prober.peers.differs, forgetAge)
	for _, member := range members {
		if prober.peers.isHeard(member.Instance.Name) {
			continue
		}
		probe := &probe{peers: prober.peers, member: member, others: members}
		go probe.run()
	}
}

// forgetAge is how long the times of a peer are kept.
const forgetAge = time.Minute

// forgetOlder removes the times that are older than age, so that peers that
// are gone leave nothing behind.
func forgetOlder(times *sync.Map, age time.Duration) {
	times.Range(func(key, at any) bool {
		if time.Since(at.(time.Time)) > age {
			times.Delete(key)
		}
		return true
	})
}

// isHeard reports whether a probe or acknowledgement of a neighbour came in
// this interval: of two neighbours one probes, and both know.
func (peers *Peers) isHeard(name string) bool {
	heard, isKnown := peers.heard.Load(name)
	interval := peers.probeInterval()
	return isKnown && time.Since(heard.(time.Time)) < interval-interval/probeSlack
}

// largeFleet is from how many members each probes half as often, so that the
// probes of the fleet grow less than the fleet.
const largeFleet = 32

// probeInterval returns the time between two probes of one neighbour.
func (peers *Peers) probeInterval() time.Duration {
	interval := peers.settings.ProbeInterval.Duration
	if len(peers.published.Load().Members) >= largeFleet {
		return 2 * interval
	}
	return interval
}

// probe checks one neighbour for a sign of life.
type probe struct {
	peers  *Peers
	member api.Member
	others []api.Member
}

func (probe *probe) run() {
	start := time.Now()
	if probe.direct() || probe.fresh() || probe.indirect() {
		return
	}
	if probe.isLate(start) {
		return
	}
	probe.peers.logger.Debug("peer unreachable", zap.String("peer", probe.member.Instance.Name))
	message := message.PeerUnreachable{Name: probe.member.Instance.Name, Incarnation: probe.member.Incarnation}
	_ = probe.peers.mailbox.Send(probe.peers.ctx, message)
}

// isLate reports whether this process was paused during the probe.
func (probe *probe) isLate(start time.Time) bool {
	longest := probe.peers.settings.ProbeTimeout.Duration*3 + time.Second
	return time.Since(start) > longest
}

// direct sends a datagram and waits for its acknowledgement.
func (probe *probe) direct() bool {
	peers := probe.peers
	sequence := peers.sequence.Add(1)
	acked := make(chan struct{}, 1)
	peers.waiting.Store(sequence, acked)
	defer peers.waiting.Delete(sequence)
	ctx, cancel := context.WithTimeout(peers.ctx, peers.settings.ProbeTimeout.Duration)
	defer cancel()
	datagram := peers.newProbe(sequence, false)
	if err := peers.endpoint.Send(ctx, probe.member.Instance.PeerAddress, datagram); err != nil {
		return false
	}
	select {
	case <-acked:
		return true
	case <-ctx.Done():
		return false
	}
}

// fresh calls the neighbour on a new connection; the old one may be silent.
func (probe *probe) fresh() bool {
	peers := probe.peers
	peers.endpoint.Reset(probe.member.Instance.PeerAddress)
	ctx, cancel := context.WithTimeout(peers.ctx, peers.settings.ProbeTimeout.Duration)
	defer cancel()
	_, err := peers.endpoint.Call(ctx, probe.member.Instance.PeerAddress, api.PeerRequest{IsPing: true})
	return err == nil
}

// indirect asks other neighbours to call the silent one.
func (probe *probe) indirect() bool {
	helpers := probe.helpers()
	ctx, cancel := context.WithTimeout(probe.peers.ctx, probe.peers.settings.ProbeTimeout.Duration)
	defer cancel()
	replies := make(chan bool, len(helpers))
	for _, helper := range helpers {
		ask := &indirectCall{probe: probe, helper: helper, ctx: ctx, replies: replies}
		go ask.run()
	}
	for range helpers {
		if <-replies {
			return true
		}
	}
	return false
}

func (probe *probe) helpers() []api.Member {
	var helpers []api.Member
	for _, index := range rand.Perm(len(probe.others)) {
		other := probe.others[index]
		if other.Instance.Name != probe.member.Instance.Name && other.State == api.MemberAlive {
			helpers = append(helpers, other)
		}
		if len(helpers) == indirectProbes {
			break
		}
	}
	return helpers
}

type indirectCall struct {
	probe   *probe
	helper  api.Member
	ctx     context.Context
	replies chan<- bool
}

func (indirectcall *indirectCall) run() {
	call := api.PeerRequest{IndirectProbe: indirectcall.probe.member.Instance.PeerAddress}
	endpoint := indirectcall.probe.peers.endpoint
	reply, err := endpoint.Call(indirectcall.ctx, indirectcall.helper.Instance.PeerAddress, call)
	indirectcall.replies <- err == nil && reply.IsAlive
}

func (peers *Peers) newProbe(sequence uint64, isAck bool) api.Datagram {
	current := peers.published.Load()
	return api.Datagram{Probe: &api.Probe{
		From:              current.Self.Instance.Name,
		ConfigDigest:      current.ConfigDigest,
		MembersDigest:     current.MembersDigest,
		Load:              peers.load(),
		Sequence:          sequence,
		IsAck:             isAck,
		PlatformAgeMillis: platformAge(current.PlatformAnsweredAt),
	}}
}

func platformAge(heard time.Time) uint32 {
	if heard.IsZero() {
		return 0
	}
	return uint32(max(time.Since(heard).Milliseconds(), 1))
}

// receive takes a datagram of a peer.
func (peers *Peers) receive(datagram api.Datagram, reply func(api.Datagram)) {
	probe := datagram.Probe
	if probe == nil {
		return
	}
	if probe.IsAck {
		peers.acknowledge(probe.Sequence)
	} else {
		reply(peers.newProbe(probe.Sequence, true))
	}
	peers.observe(*probe)
}

func (peers *Peers) acknowledge(sequence uint64) {
	if acked, isWaiting := peers.waiting.LoadAndDelete(sequence); isWaiting {
		acked.(chan struct{}) <- struct{}{}
	}
}

func (peers *Peers) observe(probe api.Probe) {
	current := peers.published.Load()
	member, isKnown := current.Members[probe.From]
	if !isKnown {
		return
	}
	peers.heard.Store(probe.From, time.Now())
	if member.Load != probe.Load {
		peers.mailbox.TrySend(message.PeerProbed{Name: probe.From, Load: probe.Load})
	}
	if probe.PlatformAgeMillis > 0 {
		peers.observePlatform(time.Now().Add(-time.Duration(probe.PlatformAgeMillis)*time.Millisecond), current.PlatformAnsweredAt)
	}
	if probe.ConfigDigest == current.ConfigDigest && probe.MembersDigest == current.MembersDigest {
		peers.differs.Delete(probe.From)
		return
	}
	now := time.Now()
	since, _ := peers.differs.LoadOrStore(probe.From, now)
	isLong := now.Sub(since.(time.Time)) > mostSettleTime
	if isLong || peers.settled.lasts(current, now) > settleTime {
		peers.repair(member.Instance.PeerAddress)
	}
}

// settled tells for how long an instance's knowledge has been unchanged.
type settled struct {
	mutex   sync.Mutex
	digest  uint64
	members uint64
	since   time.Time
}

func (settled *settled) lasts(current *view.View, now time.Time) time.Duration {
	settled.mutex.Lock()
	defer settled.mutex.Unlock()
	if settled.digest != current.ConfigDigest || settled.members != current.MembersDigest {
		settled.digest, settled.members, settled.since = current.ConfigDigest, current.MembersDigest, now
	}
	return now.Sub(settled.since)
}

// platformStep is the least advance of the platform's age worth a message.
const platformStep = 250 * time.Millisecond

func (peers *Peers) observePlatform(at, known time.Time) {
	if at.Sub(known) > platformStep {
		peers.mailbox.TrySend(message.PlatformAnswered{At: at})
	}
}
