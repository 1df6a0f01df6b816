package control_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
)

// newStateOfSize returns the state of an instance that knows the given numbers of
// members and replicas. Each shard has two replicas, and each document lists 100
// shards.
func newStateOfSize(members, replicas int) *control.State {
	const shardsPerDocument = 100
	state := newState("entry-0")
	for number := 1; number < members; number++ {
		gossip := api.Gossip{Members: []api.Member{member(fmt.Sprintf("entry-%d", number))}}
		control.Apply(state, message.GossipReceived{Gossip: gossip}, start)
	}
	for first := 0; first < replicas/2; first += shardsPerDocument {
		var index api.Index
		var upstreams api.Upstreams
		var list api.InstanceList
		index.Name = fmt.Sprintf("index-%d", first)
		for shard := first; shard < first+shardsPerDocument; shard++ {
			name := fmt.Sprintf("desk-%d", shard)
			index.Shards = append(index.Shards, api.Shard{Name: name, Upstream: name, Epoch: 1, Labels: map[string]string{"group": "desk"}})
			upstreams.Upstreams = append(upstreams.Upstreams, api.Upstream{Name: name, Slots: 2, ConnectionLimit: 25})
			for _, suffix := range []string{"a", "b"} {
				list.Instances = append(list.Instances, api.Instance{Name: name + suffix, Upstream: name, Address: "10.0.0.1:1", State: api.InstanceLive, Incarnation: 1})
			}
		}
		receive(state, api.DecodedDocument{Document: api.Document{Key: "index/" + index.Name, Revision: 1}, Index: &index})
		receive(state, api.DecodedDocument{Document: api.Document{Key: "upstreams/" + index.Name, Revision: 1}, Upstreams: &upstreams})
		receive(state, api.DecodedDocument{Document: api.Document{Key: "instances/" + index.Name, Revision: 1}, Instances: &list})
	}
	return state
}

// receive applies a document that was received.
func receive(state *control.State, decoded api.DecodedDocument) {
	control.Apply(state, message.DocumentReceived{Decoded: decoded}, time.Time{})
}

// BenchmarkBuild measures how long Build takes after each kind of change, and how
// much heap a State and its View use.
func BenchmarkBuild(b *testing.B) {
	sizes := map[string]struct{ members, replicas int }{
		"today":   {8, 219},
		"quarter": {425, 2_300},
		"half":    {850, 4_600},
		"target":  {1_700, 9_300},
	}
	for name, size := range sizes {
		changes := map[string]control.Effects{"stats": {}, "membership": {RebuildRoles: true}, "configuration": {RebuildConfiguration: true}}
		for change, effects := range changes {
			b.Run(name+"/"+change, func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				state := newStateOfSize(size.members, size.replicas)
				current := control.Build(state, control.RebuildAll)
				runtime.GC()
				runtime.ReadMemStats(&after)
				for b.Loop() {
					current = control.Build(state, effects)
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "heapMB")
				runtime.KeepAlive(current)
			})
		}
	}
}
