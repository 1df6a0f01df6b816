package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
)

// TestEndedEntriesExpire passes the same entry back and forth between two instances
// every hour, the second of which learns it an hour after the first. Both must have
// deleted it after 25 hours, one hour after its retention: without its age, the
// exchange would renew the entry for ever.
func TestEndedEntriesExpire(t *testing.T) {
	failed := member("gone")
	failed.State = api.MemberFailed
	tests := map[string]struct {
		gossip api.Gossip
		// count returns how many of its entries a state still holds.
		count func(state *control.State) int
	}{
		"a failed member": {
			gossip: api.Gossip{Members: []api.Member{failed}},
			count:  func(state *control.State) int { return len(state.Members) - 1 },
		},
		"a leaving replica": {
			gossip: api.Gossip{LeavingReplicas: []api.LeavingReplica{{Replica: "r", Incarnation: 1}}},
			count:  func(state *control.State) int { return len(state.LeavingReplicas) },
		},
		"a stopped home": {
			gossip: api.Gossip{StoppedHomes: []api.StoppedHome{{Home: "h", Incarnation: 1, Successor: "i"}}},
			count:  func(state *control.State) int { return len(state.StoppedHomes) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := newState("first"), newState("second")
			control.Apply(first, message.GossipReceived{Gossip: test.gossip}, start)
			for hour := 1; hour <= 25; hour++ {
				now := start.Add(time.Duration(hour) * time.Hour)
				sendEnded(first, second, now)
				sendEnded(second, first, now)
				control.Apply(first, message.Ticked{}, now)
				control.Apply(second, message.Ticked{}, now)
			}
			assert.Equal(t, test.count(first), 0)
			assert.Equal(t, test.count(second), 0)
		})
	}
}

// sendEnded sends all failed members, leaving replicas and stopped homes that sender
// holds to receiver, with their ages at now.
func sendEnded(sender, receiver *control.State, now time.Time) {
	var gossip api.Gossip
	age := func(learnedAt time.Time) uint32 { return uint32(now.Sub(learnedAt) / time.Second) }
	for _, member := range sender.Members {
		if member.State == api.MemberFailed {
			sent := member.Member
			sent.AgeSeconds = age(member.LearnedAt)
			gossip.Members = append(gossip.Members, sent)
		}
	}
	for leavingreplica, learnedAt := range sender.LeavingReplicas {
		leavingreplica.AgeSeconds = age(learnedAt)
		gossip.LeavingReplicas = append(gossip.LeavingReplicas, leavingreplica)
	}
	for stoppedhome, learnedAt := range sender.StoppedHomes {
		stoppedhome.AgeSeconds = age(learnedAt)
		gossip.StoppedHomes = append(gossip.StoppedHomes, stoppedhome)
	}
	control.Apply(receiver, message.GossipReceived{Gossip: gossip}, now)
}

// entry returns the document that registers one replica.
func entry(revision, incarnation uint64, state api.InstanceState) api.DecodedDocument {
	instance := api.Instance{Name: "replica", Upstream: "upstream", Incarnation: incarnation, State: state}
	return api.DecodedDocument{
		Document:  api.Document{Key: "instances/replica", Revision: revision},
		Instances: &api.InstanceList{Instances: []api.Instance{instance}},
	}
}

// removal returns the deletion of the document that entry returns.
func removal(revision uint64) api.DecodedDocument {
	return api.DecodedDocument{Document: api.Document{Key: "instances/replica", Revision: revision, IsDeleted: true}}
}

// TestDelayedRemoval checks when the removal of an entry is applied. If the lease of
// the entry may have expired only because the platform was unreachable, the removal
// is delayed so that the entry can be registered again.
func TestDelayedRemoval(t *testing.T) {
	tests := map[string]struct {
		// isRegisteredAgain adds the entry again at a higher revision than that
		// of the removal.
		isRegisteredAgain bool
		mayHaveLapsed     bool
		elapsed           time.Duration
		wantPresent       bool
	}{
		"removed while the platform answers": {},
		"lapsed, within the delay":           {mayHaveLapsed: true, elapsed: time.Second, wantPresent: true},
		"lapsed, not registered again":       {mayHaveLapsed: true, elapsed: 3 * time.Second},
		"lapsed and registered again":        {mayHaveLapsed: true, isRegisteredAgain: true, elapsed: 3 * time.Second, wantPresent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := newState("a")
			control.Apply(state, message.DocumentReceived{Decoded: entry(5, 1, api.InstanceLive)}, start)
			control.Apply(state, message.PlatformAnswered{AnsweredAt: start, KnownSince: start.Add(-10 * time.Second), IsAfterFailure: test.mayHaveLapsed}, start)
			control.Apply(state, message.DocumentReceived{Decoded: removal(9), IsFromPlatform: true}, start)
			if test.isRegisteredAgain {
				control.Apply(state, message.DocumentReceived{Decoded: entry(11, 1, api.InstanceLive)}, start)
			}
			control.Apply(state, message.Ticked{}, start.Add(test.elapsed))
			assert.Equal(t, !state.DocumentsInForce["instances/replica"].Document.IsDeleted, test.wantPresent)
		})
	}
}

// TestLateWriteOfReplacedProcess checks that a late write by a process that has ended
// does not replace the entry of the process that took its name.
func TestLateWriteOfReplacedProcess(t *testing.T) {
	state := newState("a")
	control.Apply(state, message.DocumentReceived{Decoded: entry(5, 7, api.InstanceLive)}, start)
	control.Apply(state, message.DocumentReceived{Decoded: entry(6, 3, api.InstanceLeaving)}, start)
	inForce := state.DocumentsInForce["instances/replica"]
	assert.Equal(t, inForce.Document.Revision, uint64(6))
	assert.Equal(t, inForce.Instances.Instances[0].Incarnation, uint64(7))
	assert.Equal(t, inForce.Instances.Instances[0].State, api.InstanceLive)
}

// TestEntryOfAnotherWriter checks that an entry which no replica can have written
// does not end the use of a replica that is known, and that the replica's own next
// entry is in force again.
func TestEntryOfAnotherWriter(t *testing.T) {
	foreignUpstream := entry(6, 7, api.InstanceLive)
	foreignUpstream.Instances.Instances[0].Upstream = "another"
	invalid := api.DecodedDocument{Document: entry(6, 7, api.InstanceLive).Document, RefusalReason: "no address"}
	tests := map[string]api.DecodedDocument{"refused": invalid, "the same process in another upstream": foreignUpstream}
	for name, odd := range tests {
		t.Run(name, func(t *testing.T) {
			state := newState("a")
			control.Apply(state, message.DocumentReceived{Decoded: entry(5, 7, api.InstanceLive)}, start)
			control.Apply(state, message.DocumentReceived{Decoded: odd}, start)
			inForce := state.DocumentsInForce["instances/replica"].Instances.Instances[0]
			assert.Equal(t, inForce.Upstream, "upstream")
			assert.Equal(t, inForce.State, api.InstanceLive)
			control.Apply(state, message.DocumentReceived{Decoded: entry(7, 7, api.InstanceLeaving)}, start)
			assert.Equal(t, state.DocumentsInForce["instances/replica"].Instances.Instances[0].State, api.InstanceLeaving)
		})
	}
}

// TestDroppedLeavingReport checks that a replica which announced that it is leaving
// stays out of use, if its entry is removed and registered again, although the
// report about it was dropped.
func TestDroppedLeavingReport(t *testing.T) {
	state := stateWithReplica()
	control.Build(state, control.RebuildAll).Replicas["replica"].Stats.IsLeaving.Store(true)
	effects := control.Apply(state, message.Ticked{}, start)
	assert.DeepEqual(t, effects.Gossip.LeavingReplicas, []api.LeavingReplica{{Replica: "replica", Incarnation: 1}})
	control.Apply(state, message.DocumentReceived{Decoded: removal(6)}, start)
	control.Build(state, control.RebuildAll)
	control.Apply(state, message.DocumentReceived{Decoded: entry(7, 1, api.InstanceLive)}, start)
	assert.Assert(t, control.Build(state, control.RebuildAll).Replicas["replica"].Stats.IsLeaving.Load())
}

// TestRestartAfterClockSetBack checks that a process supersedes its predecessor of
// the same name even if the system clock was set back between the two starts, so
// that the predecessor's incarnation is higher.
func TestRestartAfterClockSetBack(t *testing.T) {
	state := newState("a")
	predecessor := member("a")
	predecessor.Incarnation = 100
	predecessor.State = api.MemberFailed
	effects := control.Apply(state, message.GossipReceived{Gossip: api.Gossip{Members: []api.Member{predecessor}}}, start)
	assert.Equal(t, state.Self.Incarnation, uint64(101))
	assert.Equal(t, len(effects.Gossip.Members), 1)
	assert.Assert(t, control.Supersedes(effects.Gossip.Members[0], predecessor))
}

// stateWithReplica returns a state in which one replica is in force.
func stateWithReplica() *control.State {
	state := newState("a")
	upstreams := api.DecodedDocument{
		Document:  api.Document{Key: "upstreams/all", Revision: 1},
		Upstreams: &api.Upstreams{Upstreams: []api.Upstream{{Name: "upstream", Slots: 1, ConnectionLimit: 1}}},
	}
	control.Apply(state, message.DocumentReceived{Decoded: upstreams}, start)
	control.Apply(state, message.DocumentReceived{Decoded: entry(5, 1, api.InstanceLive)}, start)
	return state
}

// TestRetiredReplicasTakeNoWork checks that requests which still use an older View
// see that a replica is leaving, was removed or was replaced by another process.
func TestRetiredReplicasTakeNoWork(t *testing.T) {
	tests := map[string]struct {
		next        api.DecodedDocument
		wantLeaving bool
	}{
		"unchanged":                   {next: entry(6, 1, api.InstanceLive)},
		"leaving":                     {next: entry(6, 1, api.InstanceLeaving), wantLeaving: true},
		"removed":                     {next: removal(6), wantLeaving: true},
		"replaced by another process": {next: entry(6, 2, api.InstanceLive), wantLeaving: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := stateWithReplica()
			oldReplica := control.Build(state, control.RebuildAll).Replicas["replica"]
			control.Apply(state, message.DocumentReceived{Decoded: test.next}, start)
			control.Build(state, control.RebuildAll)
			assert.Equal(t, oldReplica.Stats.IsLeaving.Load(), test.wantLeaving)
		})
	}
}
