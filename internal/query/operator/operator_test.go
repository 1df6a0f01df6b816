package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// TestDocuments checks which documents are listed.
func TestDocuments(t *testing.T) {
	document := func(key string) api.Document { return api.Document{Key: key, Revision: 7, Value: []byte(key)} }
	tests := map[string]struct {
		statuses []view.KeyStatus
		inForce  map[string]api.Document
		want     []api.Document
	}{
		"none":    {want: []api.Document{}},
		"two":     {statuses: []view.KeyStatus{{Key: "a"}, {Key: "b"}}, inForce: map[string]api.Document{"a": document("a"), "b": document("b")}, want: []api.Document{document("a"), document("b")}},
		"refused": {statuses: []view.KeyStatus{{Key: "a"}, {Key: "b"}}, inForce: map[string]api.Document{"b": document("b")}, want: []api.Document{document("b")}},
		"deleted": {statuses: []view.KeyStatus{{Key: "a"}}, inForce: map[string]api.Document{"a": {Key: "a", Revision: 7, IsDeleted: true}}, want: []api.Document{}},
		"ignored": {statuses: []view.KeyStatus{{Key: "a", IsIgnored: true}}, inForce: map[string]api.Document{"a": document("a")}, want: []api.Document{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			published := view.NewPublishedView()
			published.Publish(&view.View{KeyStatuses: test.statuses, DocumentsInForce: test.inForce})
			router := chi.NewRouter()
			(&Handler{CurrentView: published}).Register(router)
			recorder := httptest.NewRecorder()
			router.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/documents", nil))
			var documents []api.Document
			assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &documents))
			assert.DeepEqual(t, documents, test.want)
		})
	}
}

// TestHeldBackRemovals checks that status and explain name the replicas that are used
// although the store lacks their entries.
func TestHeldBackRemovals(t *testing.T) {
	replica := func(name string) *view.Replica {
		return &view.Replica{Instance: api.Instance{Name: name}, Stats: &view.ReplicaStats{}}
	}
	shard := view.Shard{Name: "desk", Replicas: []*view.Replica{replica("desk-a"), replica("desk-b")}}
	current := &view.View{
		Scopes:           map[string]view.Scope{"burn": {Selections: map[string]view.Selection{"all": {Kind: "all", Shards: []view.Shard{shard}}}}},
		HeldBackRemovals: []view.HeldBackRemoval{{Key: "instances/desk-b", Replicas: []string{"desk-b"}, DueAt: time.Unix(7, 0)}},
	}
	explanation, err := Explain(current, "burn", "all")
	assert.NilError(t, err)
	assert.DeepEqual(t, explanation.Shards[0].Replicas, []string{"desk-a", "desk-b"})
	assert.DeepEqual(t, explanation.Shards[0].HeldBack, []string{"desk-b"})
	assert.DeepEqual(t, StatusOf(current, "v", time.Unix(6, 0)).HeldBackRemovals, current.HeldBackRemovals)
}

// TestSuperseded checks that status and explain name the documents of the store that are
// not in force, why, since when, and what to do about a configuration.
func TestSuperseded(t *testing.T) {
	number := func(sequence uint64) api.Number { return api.Number{Sequence: sequence} }
	configuration := view.SupersededKey{
		Key: "config", StatedNumber: number(7), StatedEra: 2, StatedRevision: 850, NumberInForce: number(9), EraInForce: 1, RevisionInForce: 900,
		IsConfiguration: true, Reason: view.SupersededByRestore, Since: time.Unix(6, 0),
	}
	entry := view.SupersededKey{Key: "replica", StatedNumber: number(1), NumberInForce: number(2), Reason: view.SupersededByNumber, Since: time.Unix(6, 0)}
	current := &view.View{
		Scopes:         map[string]view.Scope{"burn": {Selections: map[string]view.Selection{"all": {Kind: "all"}}}},
		SupersededKeys: []view.SupersededKey{configuration, entry},
	}
	status := StatusOf(current, "v", time.Unix(8, 0))
	assert.Equal(t, len(status.Superseded), 2)
	assert.Equal(t, status.Superseded[0].Remedy, "write a version above 9")
	assert.Equal(t, status.Superseded[0].AgeMillis, int64(2000))
	explanation, err := Explain(current, "burn", "all")
	assert.NilError(t, err)
	assert.Equal(t, len(explanation.Superseded), 1)
	assert.Equal(t, explanation.Superseded[0].SupersededKey, configuration)
}

// TestExplainRelayed checks that the upstreams of a scope that passes requests on are
// explained.
func TestExplainRelayed(t *testing.T) {
	scope := view.Scope{
		Scope:             api.Scope{Form: api.FormRelayed, Routes: []api.Route{{Kind: "all"}}},
		WeightedUpstreams: []view.WeightedUpstream{{Weight: 1, Shard: view.Shard{Name: "desk"}}},
	}
	current := &view.View{Scopes: map[string]view.Scope{"lookup": scope}}
	explanation, err := Explain(current, "lookup", "all")
	assert.NilError(t, err)
	assert.DeepEqual(t, explanation.Shards, []ShardExplanation{{Name: "desk", Replicas: []string{}}})
	_, err = Explain(current, "lookup", "other")
	assert.ErrorContains(t, err, "kind")
}

// TestUnusedDocuments checks that status and explain name the documents of no use, the largest
// of them, with their lengths, why, and since when.
func TestUnusedDocuments(t *testing.T) {
	since := time.Date(2026, 12, 8, 0, 0, 0, 0, time.UTC)
	keys := func(count int) view.UnusedKeys {
		unused := view.UnusedKeys{UnnamedCount: 3, OmittedCount: 7}
		for number := range count {
			unused.Keys = append(unused.Keys, view.UnusedKey{Key: fmt.Sprint("odd-", number), Kind: view.UnusedRefused, Reason: "broken", Bytes: 1 << 20, Since: since})
			unused.Bytes += 1 << 20
		}
		return unused
	}
	tests := map[string]struct {
		unused    view.UnusedKeys
		wantNone  bool
		wantKeys  int
		wantBytes int64
	}{
		"none": {wantNone: true},
		"one":  {unused: keys(1), wantKeys: 1, wantBytes: 1 << 20},
		"many": {unused: keys(300), wantKeys: 64, wantBytes: 300 << 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scope := view.Scope{Scope: api.Scope{Name: "s"}, Selections: map[string]view.Selection{"k": {}}}
			current := &view.View{UnusedKeys: test.unused, Scopes: map[string]view.Scope{"s": scope}}
			explanation, err := Explain(current, "s", "k")
			assert.NilError(t, err)
			status := StatusOf(current, "", since).Unused
			assert.DeepEqual(t, explanation.Unused, status)
			assert.Equal(t, status == nil, test.wantNone)
			if status == nil {
				return
			}
			assert.Equal(t, status.RefusedCount, len(test.unused.Keys))
			assert.Equal(t, len(status.Keys), test.wantKeys)
			assert.Equal(t, status.Bytes, test.wantBytes)
			assert.DeepEqual(t, status.Keys[0], test.unused.Keys[0])
			assert.Assert(t, status.UnnamedCount == 3 && status.OmittedCount == 7)
		})
	}
}
