package instance_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	commandcaller "github.com/mimosaspring/mimosaspring/internal/command/caller"
	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/command/peer"
	"github.com/mimosaspring/mimosaspring/internal/query/caller"
	querypeer "github.com/mimosaspring/mimosaspring/internal/query/peer"
	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/budget"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/quic"
)

// keptStart is when the components of TestKeptByName start.
var keptStart = time.Date(2026, 12, 8, 0, 0, 0, 0, time.UTC)

// stateOf returns a state that was told count messages about ever new names, and that
// published Views meanwhile.
func stateOf(count int, messagesOf func(number int) []message.Message) *control.State {
	state := control.NewState(api.Member{Instance: api.Instance{Name: "self"}}, time.Second, keptStart)
	state.IsConfigured = true
	upstreams := documentOf("upstreams/all", 1, 10)
	upstreams.Upstreams = &api.Upstreams{Upstreams: []api.Upstream{{Name: "named"}}}
	control.Apply(state, message.DocumentReceived{Decoded: upstreams}, keptStart)
	control.Build(state, control.RebuildAll)
	now := keptStart
	for number := range count {
		now = now.Add(time.Millisecond)
		for _, received := range messagesOf(number) {
			control.Apply(state, received, now)
		}
		if number%1_000 == 999 {
			control.Apply(state, message.Ticked{}, now)
			control.Build(state, control.RebuildAll)
		}
	}
	control.Apply(state, message.Ticked{}, now.Add(10*time.Second))
	control.Build(state, control.RebuildAll)
	return state
}

// documentOf returns the numbered document of a key, whose value has length bytes.
func documentOf(key string, revision uint64, length int) api.DecodedDocument {
	return api.DecodedDocument{Document: api.Document{Key: key, Revision: revision, Value: make([]byte, length)}}
}

// entryOf returns the entry of a replica of an upstream that is not configured.
func entryOf(name string, revision, sequence uint64, length int) api.DecodedDocument {
	decoded := documentOf("instances/"+name, revision, length)
	decoded.Document.Number = api.Number{Incarnation: 1, Sequence: sequence}
	decoded.Instances = &api.InstanceList{Instances: []api.Instance{{Name: name, Upstream: "elsewhere", Incarnation: 1, Sequence: sequence}}}
	return decoded
}

// received returns the message about a document that the platform sent.
func received(decoded api.DecodedDocument) message.Message {
	return message.DocumentReceived{Decoded: decoded, IsFromPlatform: true}
}

// removalOf returns the message about the removal of a key.
func removalOf(key string, revision uint64) message.Message {
	return received(api.DecodedDocument{Document: api.Document{Key: key, Revision: revision, IsDeleted: true}})
}

// TestKeptByName guards against memory that grows with the names of documents, routes,
// upstreams or instances that were ever used (review/12, review/14). Each row uses ever new
// names, most of which go out of use, and bounds the memory that is then held. The rows are
// those of the table in docs/design/kept-by-name.md.
func TestKeptByName(t *testing.T) {
	const kilobyte, megabyte = 1 << 10, 1 << 20
	steady := message.PlatformAnswered{AnsweredAt: keptStart, KnownSince: keptStart.Add(-time.Hour)}
	tests := map[string]struct {
		// use returns a component that has used the names.
		use      func(t *testing.T) any
		maxBytes int64
	}{
		"refused documents": {maxBytes: 4 * megabyte, use: func(*testing.T) any {
			return stateOf(20_000, func(number int) []message.Message {
				decoded := documentOf(fmt.Sprintf("instances/odd-%d", number), uint64(number+1), kilobyte)
				decoded.RefusalReason = "broken"
				return []message.Message{received(decoded)}
			})
		}},
		"ignored documents": {maxBytes: 4 * megabyte, use: func(*testing.T) any {
			return stateOf(20_000, func(number int) []message.Message {
				decoded := documentOf(fmt.Sprintf("notes/%d", number), uint64(number+1), kilobyte)
				decoded.IgnoredReason = "its key is not used"
				return []message.Message{received(decoded)}
			})
		}},
		"a refused document, written again": {maxBytes: megabyte, use: func(*testing.T) any {
			return stateOf(20_000, func(number int) []message.Message {
				decoded := documentOf("instances/odd", uint64(number+1), kilobyte)
				decoded.RefusalReason = fmt.Sprint("broken ", number)
				return []message.Message{received(decoded)}
			})
		}},
		"refused documents, removed": {maxBytes: 14 * megabyte, use: func(*testing.T) any {
			return stateOf(20_000, func(number int) []message.Message {
				key := fmt.Sprintf("instances/odd-%d", number)
				decoded := documentOf(key, uint64(2*number+1), 10)
				decoded.RefusalReason = "broken"
				return []message.Message{steady, received(decoded), removalOf(key, uint64(2*number+2))}
			})
		}},
		"entries of unnamed upstreams": {maxBytes: 20 * megabyte, use: func(*testing.T) any {
			return stateOf(20_000, func(number int) []message.Message {
				return []message.Message{received(entryOf(fmt.Sprint(number), uint64(number+1), 1, kilobyte))}
			})
		}},
		"removed entries": {maxBytes: 14 * megabyte, use: func(*testing.T) any {
			return stateOf(20_000, func(number int) []message.Message {
				name := fmt.Sprint(number)
				return []message.Message{steady, received(entryOf(name, uint64(2*number+1), 1, 10)), removalOf("instances/"+name, uint64(2*number+2))}
			})
		}},
		"superseded entries, removed": {maxBytes: 14 * megabyte, use: func(*testing.T) any {
			return stateOf(20_000, func(number int) []message.Message {
				name, revision := fmt.Sprint(number), uint64(3*number+1)
				return []message.Message{steady, received(entryOf(name, revision, 7, 10)), received(entryOf(name, revision+1, 6, 10)), removalOf("instances/"+name, revision+2)}
			})
		}},
		"pending removals": {maxBytes: 14 * megabyte, use: func(*testing.T) any {
			return stateOf(20_000, func(number int) []message.Message {
				name := fmt.Sprint(number)
				return []message.Message{received(entryOf(name, uint64(2*number+1), 1, 10)), removalOf("instances/"+name, uint64(2*number+2))}
			})
		}},
		"leaving replicas": {maxBytes: 3 * megabyte, use: func(*testing.T) any {
			return stateOf(20_000, func(number int) []message.Message {
				return []message.Message{message.ReplicaLeaving{LeavingReplica: api.LeavingReplica{Replica: fmt.Sprint("replica-", number), Incarnation: 1}}}
			})
		}},
		"stopped homes": {maxBytes: 2 * megabyte, use: func(*testing.T) any {
			return stateOf(20_000, func(number int) []message.Message {
				home := api.StoppedHome{Home: fmt.Sprint("home-", number), Incarnation: 1, Successor: "self"}
				return []message.Message{message.GossipReceived{Gossip: api.Gossip{StoppedHomes: []api.StoppedHome{home}}}}
			})
		}},
		"members that left": {maxBytes: 3 * megabyte, use: func(*testing.T) any {
			return stateOf(20_000, func(number int) []message.Message {
				member := api.Member{Instance: api.Instance{Name: fmt.Sprint("member-", number), PeerAddress: "127.0.0.1:1"}, State: api.MemberLeft, Incarnation: 1}
				return []message.Message{message.GossipReceived{Gossip: api.Gossip{Members: []api.Member{member}}}}
			})
		}},
		"compressed documents": {maxBytes: 10 * megabyte, use: useCompressedDocuments},
		"request histograms": {maxBytes: 8 * megabyte, use: func(*testing.T) any {
			observed := metrics.New()
			for number := range 3_000 {
				observed.ObserveRequest(fmt.Sprint("host.route-", number), "relayed", "done", time.Millisecond)
			}
			return observed
		}},
		"windows of the retry budget": {maxBytes: megabyte, use: func(*testing.T) any {
			now := time.Duration(0)
			limits := budget.Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
			retries := budget.New(limits, func() int { return 1 }, func() time.Duration { return now })
			for number := range 20_000 {
				now += 50 * time.Millisecond
				retries.RecordFirst(fmt.Sprint("upstream-", number))
			}
			return retries
		}},
		"rank limits": {maxBytes: 2 * megabyte, use: func(*testing.T) any {
			admission := caller.NewPriorityAdmission()
			for number := range 20_000 {
				request := caller.AdmissionRequest{Scope: api.Scope{Index: fmt.Sprint("index-", number), Form: api.FormMerged}, TargetTime: keptStart}
				admission.Observe(request, true)
			}
			return admission
		}},
		"rate limits": {maxBytes: megabyte, use: func(*testing.T) any {
			admission := caller.NewRateLimitedAdmission()
			for number := range 20_000 {
				admission.Admit(caller.AdmissionRequest{Scope: api.Scope{Name: fmt.Sprint("scope-", number), Priority: number}})
			}
			return admission
		}},
		"circuit breakers": {maxBytes: megabyte, use: func(t *testing.T) any {
			router := &querypeer.HomeRouter{Reset: func(string) {}, CurrentView: view.NewPublishedView()}
			router.CurrentView.Publish(&view.View{})
			router.Send = func(context.Context, string, api.HomeQuery, func(api.PartialAnswer)) error { return errors.New("gone") }
			for number := range 30_000 {
				group := upstream.ShardGroup{Peer: api.Member{Instance: api.Instance{Name: fmt.Sprint("home-", number)}}}
				_ = router.Ask(t.Context(), group, api.HomeQuery{}, func(api.PartialAnswer) {})
			}
			router.Start(t.Context())
			time.Sleep(2500 * time.Millisecond)
			return router
		}},
		"homes taken over": {maxBytes: 2 * megabyte, use: func(t *testing.T) any {
			home, err := commandcaller.NewHome(api.Member{}, settings.Default().Callers, nil)
			assert.NilError(t, err)
			for number := range 60_000 {
				home.AcceptHandover(api.Handover{Home: fmt.Sprint("home-", number), Incarnation: 1, ExpiresAt: time.Now().Add(time.Minute)})
			}
			return home
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before := heapBytes()
			component := test.use(t)
			held := heapBytes() - before
			t.Logf("%d KB held", held/kilobyte)
			assert.Assert(t, held <= test.maxBytes, "%d bytes", held)
			runtime.KeepAlive(component)
		})
	}
}

// heapBytes returns the memory of what is in use.
func heapBytes() int64 {
	for range 3 {
		runtime.GC()
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

// useCompressedDocuments lets a peer read long documents of ever new keys, which are then
// removed.
func useCompressedDocuments(t *testing.T) any {
	const keyCount, keysPerCall = 3_000, 200
	state := control.NewState(api.Member{Instance: api.Instance{Name: "holder"}}, time.Second, time.Now())
	part := control.New(state, zap.NewNop())
	config, err := quic.TLSConfig(settings.TLS{})
	assert.NilError(t, err)
	holder := peer.Config{Settings: settings.Default(), TLS: config, Control: part, Logger: zap.NewNop(), InFlight: func() int { return 0 }}
	holder.Settings.PeerAddress = "127.0.0.1:0"
	peers, err := peer.Listen(holder)
	assert.NilError(t, err)
	t.Cleanup(peers.Close)
	part.Start(t.Context(), control.PeerCalls{SendGossip: func(api.Gossip) {}, Refresh: func() {}})
	peers.Start(t.Context(), peer.Handlers{})
	endpoint, err := quic.Listen("127.0.0.1:0", config, quic.Handler{}, nil)
	assert.NilError(t, err)
	t.Cleanup(endpoint.Close)
	for first := 0; first < keyCount; first += keysPerCall {
		var keys []string
		for number := first; number < first+keysPerCall; number++ {
			decoded := documentOf(fmt.Sprintf("scope/%d", number), uint64(number+1), 6_000)
			for index := range decoded.Document.Value {
				decoded.Document.Value[index] = byte(rand.Uint32())
			}
			keys = append(keys, decoded.Document.Key)
			assert.NilError(t, part.Mailbox.Send(t.Context(), message.DocumentReceived{Decoded: decoded}))
		}
		await(t, 5*time.Second, func() bool { return part.CurrentView.Load().KnownVersion(keys[keysPerCall-1]).Revision > 0 })
		_, err := endpoint.Call(t.Context(), peers.Address(), api.PeerRequest{ReadKeys: keys})
		assert.NilError(t, err)
		for _, key := range keys {
			removal := api.Document{Key: key, Revision: uint64(2 * keyCount), IsDeleted: true}
			assert.NilError(t, part.Mailbox.Send(t.Context(), message.DocumentReceived{Decoded: api.DecodedDocument{Document: removal}}))
		}
	}
	await(t, 5*time.Second, func() bool {
		return part.CurrentView.Load().DocumentsInForce[fmt.Sprintf("scope/%d", keyCount-1)].IsDeleted
	})
	// Longer than the interval between two probes.
	time.Sleep(2500 * time.Millisecond)
	return peers
}
