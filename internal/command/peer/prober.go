package peer

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// indirectProbeCount is how many other neighbours are asked to probe a neighbour
	// that does not answer this instance.
	indirectProbeCount = 2
	// probeSlackDivisor sets the slack of hasRecentContact: the probe interval
	// divided by probeSlackDivisor. A neighbour is probed if its last probe or
	// acknowledgement came at least a probe interval less this slack ago.
	probeSlackDivisor = 10
)

// prober probes every neighbour once in each probe interval.
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

// probeAll starts a probe of each neighbour without recent contact, and deletes
// outdated times of peers.
func (prober *prober) probeAll() {
	members := prober.peers.neighbours()
	deleteOlder(&prober.peers.lastContacts, maxTimeAge)
	deleteOlder(&prober.peers.syncTimes, maxTimeAge)
	deleteOlder(&prober.peers.differingSince, maxTimeAge)
	prober.peers.deleteOldReads()
	prober.peers.deleteCompressed()
	for _, member := range members {
		if prober.peers.hasRecentContact(member.Instance.Name) {
			continue
		}
		probe := &probe{peers: prober.peers, member: member, neighbours: members}
		go probe.run()
	}
}

// maxTimeAge is how long a time that is stored for a peer is kept.
const maxTimeAge = time.Minute

// deleteOlder deletes the times that are older than age, so that the entries of
// peers that no longer exist do not accumulate.
func deleteOlder(times *sync.Map, age time.Duration) {
	times.Range(func(key, storedAt any) bool {
		if time.Since(storedAt.(time.Time)) > age {
			times.Delete(key)
		}
		return true
	})
}

// hasRecentContact reports whether a probe or acknowledgement of the neighbour name
// came within the last probe interval, less some slack. Of two neighbours, one
// probe by either thus suffices for both.
func (peers *Peers) hasRecentContact(name string) bool {
	lastContact, isKnown := peers.lastContacts.Load(name)
	interval := peers.probeInterval()
	return isKnown && time.Since(lastContact.(time.Time)) < interval-interval/probeSlackDivisor
}

// largeFleetMembers is the number of members from which each of them probes half
// as often, so that the number of probes grows more slowly than the number of
// members.
const largeFleetMembers = 32

// probeInterval returns the time between two probes of one neighbour.
func (peers *Peers) probeInterval() time.Duration {
	interval := peers.settings.ProbeInterval.Duration
	if len(peers.currentView.Load().Members) >= largeFleetMembers {
		return 2 * interval
	}
	return interval
}

// probe checks whether one neighbour answers.
type probe struct {
	peers  *Peers
	member api.Member
	// neighbours are the members that may be asked to probe member for this one.
	neighbours []api.Member
}

// run tries a datagram, then indirect probes, then a call on a new connection. If
// all fail, it reports the neighbour to control as unreachable, except if this
// process was paused meanwhile. The new connection comes last: it costs both processes
// more than all else, and closes the one on which the acknowledgement of a neighbour
// that only lacks processor time may still come. It is opened even if others reach the
// neighbour, since then the old one may be broken.
func (probe *probe) run() {
	start := time.Now()
	if probe.probeDirectly() {
		return
	}
	isReached := probe.probeIndirectly()
	if probe.hasContactSince(start) || probe.callOnNewConnection() || isReached || probe.hasContactSince(start) {
		return
	}
	if probe.wasPaused(start) {
		return
	}
	probe.peers.logger.Debug("peer unreachable", zap.String("peer", probe.member.Instance.Name))
	message := message.PeerUnreachable{Name: probe.member.Instance.Name, Incarnation: probe.member.Incarnation}
	_ = probe.peers.mailbox.Send(probe.peers.ctx, message)
}

// hasContactSince reports whether a probe or acknowledgement of the neighbour came after
// start, even if it was too late for one of the steps.
func (probe *probe) hasContactSince(start time.Time) bool {
	lastContact, isKnown := probe.peers.lastContacts.Load(probe.member.Instance.Name)
	return isKnown && lastContact.(time.Time).After(start)
}

// wasPaused reports whether this process was paused during the probe: the probe
// took over a second longer than its three timeouts.
func (probe *probe) wasPaused(start time.Time) bool {
	maxDuration := probe.peers.settings.ProbeTimeout.Duration*3 + time.Second
	return time.Since(start) > maxDuration
}

// probeDirectly sends a datagram and reports whether it was acknowledged in time.
func (probe *probe) probeDirectly() bool {
	peers := probe.peers
	sequence := peers.probeSequence.Add(1)
	acknowledged := make(chan struct{}, 1)
	peers.pendingProbes.Store(sequence, acknowledged)
	defer peers.pendingProbes.Delete(sequence)
	ctx, cancel := context.WithTimeout(peers.ctx, peers.settings.ProbeTimeout.Duration)
	defer cancel()
	datagram := peers.newProbeDatagram(sequence, false)
	if err := peers.endpoint.Send(ctx, probe.member.Instance.PeerAddress, datagram); err != nil {
		return false
	}
	select {
	case <-acknowledged:
		return true
	case <-ctx.Done():
		return false
	}
}

// callOnNewConnection calls the neighbour on a new connection, since the old one
// may be broken, and reports whether it answered. If the old one broke because the
// neighbour was started again, it learns from a sync that this instance exists.
func (probe *probe) callOnNewConnection() bool {
	peers := probe.peers
	peers.endpoint.Reset(probe.member.Instance.PeerAddress)
	ctx, cancel := context.WithTimeout(peers.ctx, peers.settings.ProbeTimeout.Duration)
	defer cancel()
	if _, err := peers.endpoint.Call(ctx, probe.member.Instance.PeerAddress, api.PeerRequest{IsPing: true}); err != nil {
		return false
	}
	peers.startSync(probe.member.Instance.PeerAddress)
	return true
}

// probeIndirectly asks other neighbours to call the member that did not answer, and
// reports whether one of them reached it.
func (probe *probe) probeIndirectly() bool {
	helpers := probe.chooseHelpers()
	ctx, cancel := context.WithTimeout(probe.peers.ctx, probe.peers.settings.ProbeTimeout.Duration)
	defer cancel()
	replies := make(chan bool, len(helpers))
	for _, helper := range helpers {
		indirectcall := &indirectCall{probe: probe, helper: helper, ctx: ctx, replies: replies}
		go indirectcall.run()
	}
	for range helpers {
		if <-replies {
			return true
		}
	}
	return false
}

// chooseHelpers returns up to indirectProbeCount random neighbours that are alive.
func (probe *probe) chooseHelpers() []api.Member {
	var helpers []api.Member
	for _, index := range rand.Perm(len(probe.neighbours)) {
		other := probe.neighbours[index]
		if other.Instance.Name != probe.member.Instance.Name && other.State == api.MemberAlive {
			helpers = append(helpers, other)
		}
		if len(helpers) == indirectProbeCount {
			break
		}
	}
	return helpers
}

// indirectCall asks one helper to call the member of a probe.
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

// newProbeDatagram returns a probe of this instance, or an acknowledgement of the
// probe with the given sequence number.
func (peers *Peers) newProbeDatagram(sequence uint64, isAck bool) api.Datagram {
	current := peers.currentView.Load()
	return api.Datagram{Probe: &api.Probe{
		From:              current.Self.Instance.Name,
		ConfigDigest:      current.ConfigDigest,
		MembersDigest:     current.MembersDigest,
		Load:              peers.inFlight(),
		Sequence:          sequence,
		IsAck:             isAck,
		PlatformAgeMillis: millisSince(current.PlatformAnsweredAt),

		ConfigurationEra:      current.ConfigurationVersion.Era,
		ConfigurationRevision: current.ConfigurationVersion.Revision,
		Platform:              platformTimes(current),
	}}
}

// millisSince returns how many milliseconds ago start was, at least 1 and at most what
// fits, or 0 if start is the zero time.
func millisSince(start time.Time) uint32 {
	if start.IsZero() {
		return 0
	}
	return uint32(min(max(time.Since(start).Milliseconds(), 1), math.MaxUint32))
}

// receiveDatagram acknowledges a probe of a peer, or completes the probe that an
// acknowledgement belongs to, and evaluates what either says about the peer.
func (peers *Peers) receiveDatagram(datagram api.Datagram, reply func(api.Datagram)) {
	probe := datagram.Probe
	if probe == nil {
		return
	}
	if probe.IsAck {
		peers.acknowledge(probe.Sequence)
	} else {
		reply(peers.newProbeDatagram(probe.Sequence, true))
	}
	peers.observeProbe(*probe)
}

// acknowledge notifies the goroutine that waits for the probe with sequence.
func (peers *Peers) acknowledge(sequence uint64) {
	if acknowledged, isWaiting := peers.pendingProbes.LoadAndDelete(sequence); isWaiting {
		acknowledged.(chan struct{}) <- struct{}{}
	}
}

// observeProbe records that the sender of probe is alive, and sends control the
// sender's load, the time of the platform's last answer and the version of the
// configuration if they changed. It starts a sync with the sender if one is due.
func (peers *Peers) observeProbe(probe api.Probe) {
	current := peers.currentView.Load()
	member, isKnown := current.Members[probe.From]
	if !isKnown {
		return
	}
	peers.lastContacts.Store(probe.From, time.Now())
	if member.Load != probe.Load {
		peers.mailbox.TrySend(message.PeerProbed{Name: probe.From, Load: probe.Load})
	}
	if probe.PlatformAgeMillis > 0 {
		peers.observePlatform(probe, current)
	}
	if version := probe.ConfigurationVersion(); version.After(current.CoveredVersion) {
		peers.mailbox.TrySend(configurationMessage(probe, current))
	}
	if peers.isSyncDue(probe, current, time.Now()) {
		peers.startSync(member.Instance.PeerAddress)
	}
}

// configurationMessage returns the message about the configuration of the sender of
// probe, which is newer than what this instance has, unless their documents are the same.
func configurationMessage(probe api.Probe, current *view.View) message.Message {
	if probe.ConfigDigest == current.ConfigDigest && current.IsConfigured {
		return message.ConfigurationReceived{Version: probe.ConfigurationVersion()}
	}
	return message.ConfigurationAnnounced{Version: probe.ConfigurationVersion()}
}

// isSyncDue reports whether the digests in probe differ from those of this instance for
// longer than gossip on its way would explain, or its sender has had a newer
// configuration for that long.
func (peers *Peers) isSyncDue(probe api.Probe, current *view.View, now time.Time) bool {
	if probe.ConfigDigest == current.ConfigDigest && probe.MembersDigest == current.MembersDigest {
		peers.differingSince.Delete(probe.From)
		return false
	}
	differingSince, _ := peers.differingSince.LoadOrStore(probe.From, now)
	isOverdue := now.Sub(differingSince.(time.Time)) > maxDifferenceTime
	unchangedFor := peers.ownDigests.unchangedFor(current, now)
	lackedSince := current.ConfigurationLackedSince
	isLacking := probe.ConfigurationVersion().After(current.CoveredVersion) &&
		!lackedSince.IsZero() && now.Sub(lackedSince) > minUnchangedTime
	return isOverdue || isLacking || unchangedFor > minUnchangedTime
}

// digestTracker measures for how long the digests of this instance have been
// unchanged.
type digestTracker struct {
	// mutex guards all other fields.
	mutex         sync.Mutex
	configDigest  uint64
	membersDigest uint64
	// unchangedSince is when a call first saw these digests.
	unchangedSince time.Time
}

// unchangedFor returns for how long the digests of current have been unchanged, as
// far as earlier calls saw. It returns 0 for digests that no call saw before.
func (digesttracker *digestTracker) unchangedFor(current *view.View, now time.Time) time.Duration {
	digesttracker.mutex.Lock()
	defer digesttracker.mutex.Unlock()
	if digesttracker.configDigest != current.ConfigDigest || digesttracker.membersDigest != current.MembersDigest {
		digesttracker.configDigest, digesttracker.membersDigest, digesttracker.unchangedSince = current.ConfigDigest, current.MembersDigest, now
	}
	return now.Sub(digesttracker.unchangedSince)
}

// minPlatformAdvance is by how much what a peer knows of the platform's answers must
// exceed what is known here before control is told. This limits the messages to control.
const minPlatformAdvance = 250 * time.Millisecond

// observePlatform tells control what the sender of probe knows of the platform's answers,
// if its latest answer is sufficiently newer, or its first one sufficiently older, than
// what is known here.
func (peers *Peers) observePlatform(probe api.Probe, current *view.View) {
	probe.Platform.AnsweredMillis = probe.PlatformAgeMillis
	answered := platformMessage(probe.Platform, time.Now())
	isNewer := answered.AnsweredAt.Sub(current.PlatformAnsweredAt) > minPlatformAdvance
	isOlder := !answered.KnownSince.IsZero() && current.PlatformKnownSince.Sub(answered.KnownSince) > minPlatformAdvance
	if isNewer || isOlder {
		peers.mailbox.TrySend(answered)
	}
}

// platformTimes returns what this instance knows of the platform's answers.
func platformTimes(current *view.View) api.PlatformTimes {
	return api.PlatformTimes{
		Era:            current.Era,
		AnsweredMillis: millisSince(current.PlatformAnsweredAt),
		KnownMillis:    millisSince(current.PlatformKnownSince),
		ReturnedMillis: millisSince(current.PlatformReturnedAt),
	}
}

// platformMessage returns the message about what a peer knows of the platform's answers,
// as received at now.
func platformMessage(platformtimes api.PlatformTimes, now time.Time) message.PlatformAnswered {
	timeAt := func(millis uint32) time.Time {
		if millis == 0 {
			return time.Time{}
		}
		return now.Add(-time.Duration(millis) * time.Millisecond)
	}
	return message.PlatformAnswered{
		Era:        platformtimes.Era,
		AnsweredAt: timeAt(platformtimes.AnsweredMillis),
		KnownSince: timeAt(platformtimes.KnownMillis),
		ReturnedAt: timeAt(platformtimes.ReturnedMillis),
	}
}
