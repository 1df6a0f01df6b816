package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
)

// TestEndsAreForgotten passes the news of an end back and forth between two
// instances that learned it an hour apart: both have forgotten it an hour after
// its time, however often either is told again by the other.
func TestEndsAreForgotten(t *testing.T) {
	failed := member("gone")
	failed.State = api.MemberFailed
	tests := map[string]struct {
		news api.Gossip
		// count returns how much of it an instance still holds.
		count func(state *control.State) int
	}{
		"a failed member": {
			news:  api.Gossip{Members: []api.Member{failed}},
			count: func(state *control.State) int { return len(state.Members) - 1 },
		},
		"a leaving mark": {
			news:  api.Gossip{Marks: []api.LeavingMark{{Replica: "r", Incarnation: 1}}},
			count: func(state *control.State) int { return len(state.LeavingMarks) },
		},
		"a stopped home": {
			news:  api.Gossip{Stopped: []api.Stopped{{Home: "h", Incarnation: 1, Heir: "i"}}},
			count: func(state *control.State) int { return len(state.StoppedHomes) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := newState("first"), newState("second")
			control.Apply(first, message.GossipReceived{Gossip: test.news}, start)
			for hour := 1; hour <= 25; hour++ {
				now := start.Add(time.Duration(hour) * time.Hour)
				tell(first, second, now)
				tell(second, first, now)
				control.Apply(first, message.Ticked{}, now)
				control.Apply(second, message.Ticked{}, now)
			}
			assert.Equal(t, test.count(first), 0)
			assert.Equal(t, test.count(second), 0)
		})
	}
}

// tell passes on all ends that from holds, with their age at now.
func tell(from, to *control.State, now time.Time) {
	var gossip api.Gossip
	age := func(since time.Time) uint32 { return uint32(now.Sub(since) / time.Second) }
	for _, member := range from.Members {
		if member.State == api.MemberFailed {
			told := member.Member
			told.AgeSeconds = age(member.LearnedAt)
			gossip.Members = append(gossip.Members, told)
		}
	}
	for mark, since := range from.LeavingMarks {
		mark.AgeSeconds = age(since)
		gossip.Marks = append(gossip.Marks, mark)
	}
	for stopped, since := range from.StoppedHomes {
		stopped.AgeSeconds = age(since)
		gossip.Stopped = append(gossip.Stopped, stopped)
	}
	control.Apply(to, message.GossipReceived{Gossip: gossip}, now)
}

// entry returns the document of one replica at a revision.
func entry(revision, incarnation uint64, state api.InstanceState) api.Received {
	instance := api.Instance{Name: "replica", Upstream: "upstream", Incarnation: incarnation, State: state}
	return api.Received{
		Document:  api.Document{Key: "instances/replica", Revision: revision},
		Instances: &api.InstanceList{Instances: []api.Instance{instance}},
	}
}

func removal(revision uint64) api.Received {
	return api.Received{Document: api.Document{Key: "instances/replica", Revision: revision, Deleted: true}}
}

// TestLapsedEntries checks when an entry counts as gone whose removal may be a
// lease that ended while the platform was away.
func TestLapsedEntries(t *testing.T) {
	tests := map[string]struct {
		// returned is the entry's return, at a revision above the removal's.
		returned bool
		lapsed   bool
		after    time.Duration
		present  bool
	}{
		"removed while the platform answers": {},
		"lapsed, a moment later":             {lapsed: true, after: time.Second, present: true},
		"lapsed, not returned":               {lapsed: true, after: 3 * time.Second},
		"lapsed and returned":                {lapsed: true, returned: true, after: 3 * time.Second, present: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := newState("a")
			control.Apply(state, message.DocumentReceived{Received: entry(5, 1, api.InstanceLive)}, start)
			control.Apply(state, message.DocumentReceived{Received: removal(9), MayHaveLapsed: test.lapsed}, start)
			if test.returned {
				control.Apply(state, message.DocumentReceived{Received: entry(11, 1, api.InstanceLive)}, start)
			}
			control.Apply(state, message.Ticked{}, start.Add(test.after))
			assert.Equal(t, !state.DocumentsInForce["instances/replica"].Document.Deleted, test.present)
		})
	}
}

// TestLateWriteOfAnOlderProcess checks that an entry of a process that is gone
// does not hide the one that took its name.
func TestLateWriteOfAnOlderProcess(t *testing.T) {
	state := newState("a")
	control.Apply(state, message.DocumentReceived{Received: entry(5, 7, api.InstanceLive)}, start)
	control.Apply(state, message.DocumentReceived{Received: entry(6, 3, api.InstanceLeaving)}, start)
	held := state.DocumentsInForce["instances/replica"]
	assert.Equal(t, held.Document.Revision, uint64(6))
	assert.Equal(t, held.Instances.Instances[0].Incarnation, uint64(7))
	assert.Equal(t, held.Instances.Instances[0].State, api.InstanceLive)
}

// TestStartUnderAnEarlierTime checks that a process whose time of day was set
// back outranks the one that had its name before.
func TestStartUnderAnEarlierTime(t *testing.T) {
	state := newState("a")
	before := member("a")
	before.Incarnation = 100
	before.State = api.MemberFailed
	effects := control.Apply(state, message.GossipReceived{Gossip: api.Gossip{Members: []api.Member{before}}}, start)
	assert.Equal(t, state.Self.Incarnation, uint64(101))
	assert.Equal(t, len(effects.Gossip.Members), 1)
	assert.Assert(t, control.Supersedes(effects.Gossip.Members[0], before))
}

// TestRetiredReplicasTakeNoWork checks that requests which hold an older View
// see that a replica's entry was removed or is another process now.
func TestRetiredReplicasTakeNoWork(t *testing.T) {
	tests := map[string]struct {
		next    api.Received
		leaving bool
	}{
		"unchanged":       {next: entry(6, 1, api.InstanceLive)},
		"leaving":         {next: entry(6, 1, api.InstanceLeaving), leaving: true},
		"removed":         {next: removal(6), leaving: true},
		"another process": {next: entry(6, 2, api.InstanceLive), leaving: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := newState("a")
			upstreams := api.Received{
				Document:  api.Document{Key: "upstreams/all", Revision: 1},
				Upstreams: &api.Upstreams{Upstreams: []api.Upstream{{Name: "upstream", Slots: 1, ConnectionLimit: 1}}},
			}
			control.Apply(state, message.DocumentReceived{Received: upstreams}, start)
			control.Apply(state, message.DocumentReceived{Received: entry(5, 1, api.InstanceLive)}, start)
			held := control.Build(state, control.RebuildAll).Replicas["replica"]
			control.Apply(state, message.DocumentReceived{Received: test.next}, start)
			control.Build(state, control.RebuildAll)
			assert.Equal(t, held.Traffic.Leaving.Load(), test.leaving)
		})
	}
}
