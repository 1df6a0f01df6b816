package instance_test

import (
	"context"
	"math"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/standin/trial"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/wire/quic"
)

// TestMalformedPeerMessages sends an instance messages that can be decoded and make no
// sense. Each must cost at most its own answer: the instance still answers queries with
// all shards.
func TestMalformedPeerMessages(t *testing.T) {
	homeQuery := func(change func(query *api.HomeQuery)) func(*trial.Trial) api.PeerRequest {
		return func(runningTrial *trial.Trial) api.PeerRequest {
			query := newHomeQuery(runningTrial)
			change(&query)
			return api.PeerRequest{HomeQuery: &query}
		}
	}
	constant := func(request api.PeerRequest) func(*trial.Trial) api.PeerRequest {
		return func(*trial.Trial) api.PeerRequest { return request }
	}
	tests := map[string]func(runningTrial *trial.Trial) api.PeerRequest{
		"an empty request":                 constant(api.PeerRequest{}),
		"a home query with negative topK":  homeQuery(func(query *api.HomeQuery) { query.TopK = -1 }),
		"a home query with huge topK":      homeQuery(func(query *api.HomeQuery) { query.TopK = math.MaxInt }),
		"negative attempts":                homeQuery(func(query *api.HomeQuery) { query.MaxAttempts = -1 }),
		"negative times":                   homeQuery(func(query *api.HomeQuery) { query.TimeToTarget, query.TimeToDeadline = -1, math.MinInt64 }),
		"huge times":                       homeQuery(func(query *api.HomeQuery) { query.TimeToTarget, query.TimeToDeadline = math.MaxInt64, math.MaxInt64 }),
		"no epochs":                        homeQuery(func(query *api.HomeQuery) { query.Epochs = nil }),
		"no replicas":                      homeQuery(func(query *api.HomeQuery) { query.ReplicaHashes = nil }),
		"the same shard twice":             homeQuery(func(query *api.HomeQuery) { query.Shards[1] = query.Shards[0] }),
		"an unknown form":                  homeQuery(func(query *api.HomeQuery) { query.Form = "unknown" }),
		"an empty relayed request":         homeQuery(func(query *api.HomeQuery) { query.RelayedRequest = api.RelayedRequest{} }),
		"an empty home query":              constant(api.PeerRequest{HomeQuery: &api.HomeQuery{}}),
		"gossip of nameless members":       constant(api.PeerRequest{Gossip: &api.Gossip{From: "nowhere", Members: []api.Member{{}, {State: 200}}, LeavingReplicas: []api.LeavingReplica{{}}, StoppedHomes: []api.StoppedHome{{}}}}),
		"gossip of an unknown key":         constant(api.PeerRequest{Gossip: &api.Gossip{From: "nowhere", Keys: []api.KeyRevision{{Key: "\x00", Revision: math.MaxUint64}}}}),
		"an unknown state of a member":     constant(api.PeerRequest{Gossip: &api.Gossip{Members: []api.Member{{Instance: api.Instance{Name: "x", PeerAddress: "x"}, State: 200}}}}),
		"a sync of nobody":                 constant(api.PeerRequest{Sync: &api.SyncRequest{}}),
		"a command without a key":          constant(api.PeerRequest{Command: &api.Command{Deadline: math.MinInt64}}),
		"a handover of nothing":            constant(api.PeerRequest{Handover: &api.Handover{Results: []api.KeyedResult{{}}}}),
		"an indirect probe of no address":  constant(api.PeerRequest{IndirectProbe: "\x00"}),
		"documents of keys that none have": constant(api.PeerRequest{ReadKeys: []string{"", "\x00"}}),
	}
	handler := quic.Handler{ReceiveDatagram: func(api.Datagram, func(api.Datagram)) {}}
	config, err := quic.TLSConfig(settings.TLS{})
	assert.NilError(t, err)
	for name, newRequest := range tests {
		t.Run(name, func(t *testing.T) {
			runningTrial := startRelayTrial(t, 1)
			peer, err := quic.Listen("127.0.0.1:0", config, handler, nil)
			assert.NilError(t, err)
			defer peer.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			request := newRequest(runningTrial)
			address := runningTrial.Instances[0].PeerAddress
			if request.HomeQuery != nil {
				_ = peer.QueryHome(ctx, address, *request.HomeQuery, func(api.PartialAnswer) {})
			} else {
				_, _ = peer.Call(ctx, address, request)
			}
			_ = peer.Send(ctx, address, api.Datagram{})
			_ = peer.Send(ctx, address, api.Datagram{Probe: &api.Probe{PlatformAgeMillis: math.MaxUint32}})
			response, _ := relayedRequest{identity: "after", method: http.MethodGet, path: "/burn/1"}.send(t.Context(), runningTrial, 0)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, response.Header.Get("Mimosa-Missing-Parts"), "0")
		})
	}
}

// newHomeQuery returns a valid query for all shards that answer queries.
func newHomeQuery(runningTrial *trial.Trial) api.HomeQuery {
	query := api.HomeQuery{
		Index: "small", Form: api.FormMerged, TopK: 10, MaxAttempts: 2, TimeToTarget: 100 * time.Millisecond, TimeToDeadline: 300 * time.Millisecond,
		RelayedRequest: api.RelayedRequest{Identity: "peer", Method: http.MethodGet, Host: relayHost, RequestTarget: "/burn/1"},
	}
	for _, shard := range runningTrial.Instances[0].View().Scopes["burn"].Selections["all"].Shards {
		hashes := make([]uint32, 0, len(shard.Replicas))
		for _, replica := range shard.Replicas {
			hashes = append(hashes, upstream.ReplicaHash(replica))
		}
		query.Shards = append(query.Shards, shard.Name)
		query.Epochs = append(query.Epochs, shard.Epoch)
		query.ReplicaHashes = append(query.ReplicaHashes, slices.Clip(hashes))
	}
	return query
}
