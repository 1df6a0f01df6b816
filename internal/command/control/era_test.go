package control_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
)

// written returns a document of an era, with value as its content.
func written(key string, era, revision uint64, value string) api.DecodedDocument {
	return api.DecodedDocument{Document: api.Document{Key: key, Era: era, Revision: revision, Value: []byte(value)}}
}

// numbered returns a configuration that its writer gave a number.
func numbered(era, revision, sequence uint64) api.DecodedDocument {
	decoded := written("config", era, revision, fmt.Sprintf("version %d", sequence))
	decoded.Scopes = []api.Scope{{Name: "all"}}
	decoded.Document.Number.Sequence = sequence
	return decoded
}

// listed returns the message about a listing of all documents that has the given keys.
func listed(era, revision uint64, keys ...string) message.ListingReceived {
	received := message.ListingReceived{Version: api.Version{Era: era, Revision: revision}, Keys: make(map[string]bool)}
	for _, key := range keys {
		received.Keys[key] = true
	}
	return received
}

// numberedEntry returns the entry of a replica's process with the writer's number.
func numberedEntry(era, revision, incarnation, sequence uint64) api.DecodedDocument {
	decoded := written("replica", era, revision, fmt.Sprintf("%d of %d", sequence, incarnation))
	instance := api.Instance{Name: "replica", Upstream: "upstream", Incarnation: incarnation, Sequence: sequence}
	decoded.Instances = &api.InstanceList{Instances: []api.Instance{instance}}
	decoded.Document.Number = api.Number{Incarnation: incarnation, Sequence: sequence}
	return decoded
}

// TestStoreRestored applies what instances receive after the store came back from an
// older copy, in several orders. It checks what is in force at once and after the time
// within which the operator and the instances write again.
func TestStoreRestored(t *testing.T) {
	receive := func(decoded api.DecodedDocument) message.Message { return message.DocumentReceived{Decoded: decoded} }
	refused := written("config", 2, 850, "broken")
	refused.RefusalReason = "broken"
	deleted, removed := written("key", 1, 900, ""), written("key", 2, 850, "")
	deleted.Document.IsDeleted, removed.Document.IsDeleted = true, true
	at := func(era, revision uint64) api.Version { return api.Version{Era: era, Revision: revision} }
	tests := map[string]struct {
		key      string
		messages []message.Message
		wantSoon api.Version
		// wantLater is in force 3 s after the messages.
		wantLater api.Version
	}{
		"the copy holds the same": {
			key:      "key",
			messages: []message.Message{receive(written("key", 1, 900, "x")), receive(written("key", 2, 850, "x"))},
			wantSoon: at(2, 850), wantLater: at(2, 850),
		},
		"the copy holds an older content": {
			key:      "key",
			messages: []message.Message{receive(written("key", 1, 900, "x")), receive(written("key", 2, 850, "w"))},
			wantSoon: at(1, 900), wantLater: at(2, 850),
		},
		"an older content, then written again": {
			key:      "key",
			messages: []message.Message{receive(written("key", 1, 900, "x")), receive(written("key", 2, 850, "w")), receive(written("key", 2, 860, "y"))},
			wantSoon: at(2, 860), wantLater: at(2, 860),
		},
		"a revision given out again for another content": {
			key:      "key",
			messages: []message.Message{receive(written("key", 1, 900, "x")), receive(written("key", 2, 900, "y"))},
			wantSoon: at(2, 900), wantLater: at(2, 900),
		},
		"the copy lacks an entry": {
			key:      "key",
			messages: []message.Message{receive(written("key", 1, 900, "x")), listed(2, 850)},
			wantSoon: at(1, 900), wantLater: at(2, 850),
		},
		"the copy lacks an entry that is registered again": {
			key:      "key",
			messages: []message.Message{receive(written("key", 1, 900, "x")), listed(2, 850), receive(written("key", 2, 851, "x"))},
			wantSoon: at(2, 851), wantLater: at(2, 851),
		},
		"the copy holds a removed entry": {
			key:      "key",
			messages: []message.Message{receive(deleted), receive(written("key", 2, 850, "x"))},
			wantSoon: at(1, 900), wantLater: at(2, 850),
		},
		"the copy lacks the configuration": {
			key:      "config",
			messages: []message.Message{receive(numbered(1, 900, 7)), listed(2, 850)},
			wantSoon: at(1, 900), wantLater: at(1, 900),
		},
		"the copy holds an older configuration": {
			key:      "config",
			messages: []message.Message{receive(numbered(1, 900, 7)), receive(numbered(2, 850, 5))},
			wantSoon: at(1, 900), wantLater: at(1, 900),
		},
		"configurations are written again one after the other": {
			key:      "config",
			messages: []message.Message{receive(numbered(1, 900, 7)), receive(numbered(2, 850, 5)), receive(numbered(2, 860, 6)), receive(numbered(2, 861, 7))},
			wantSoon: at(2, 861), wantLater: at(2, 861),
		},
		"a newer configuration at a lower revision": {
			key:      "config",
			messages: []message.Message{receive(numbered(1, 900, 7)), receive(numbered(2, 850, 9))},
			wantSoon: at(2, 850), wantLater: at(2, 850),
		},
		"a configuration that is broken in the new era": {
			key:      "config",
			messages: []message.Message{receive(numbered(1, 900, 7)), receive(refused), receive(numbered(1, 901, 8))},
			wantSoon: at(1, 901), wantLater: at(1, 901),
		},
		"twice within a second": {
			key: "key",
			messages: []message.Message{
				receive(written("key", 1, 900, "x")), receive(written("key", 2, 850, "w")), receive(written("key", 3, 840, "v")), receive(written("key", 2, 860, "y")),
			},
			wantSoon: at(1, 900), wantLater: at(3, 840),
		},
		"twice within a second, the configuration written again in between": {
			key: "config",
			messages: []message.Message{
				receive(numbered(1, 900, 7)), receive(numbered(2, 850, 5)), receive(numbered(2, 860, 7)), listed(3, 840), receive(numbered(3, 841, 7)),
			},
			wantSoon: at(3, 841), wantLater: at(3, 841),
		},
		"a removal that a peer has held back already": {
			key:      "key",
			messages: []message.Message{receive(written("key", 1, 900, "x")), receive(removed)},
			wantSoon: at(2, 850), wantLater: at(2, 850),
		},
		"a lower era after a higher one": {
			key:      "key",
			messages: []message.Message{receive(written("key", 2, 850, "x")), receive(written("key", 1, 900, "w"))},
			wantSoon: at(2, 850), wantLater: at(2, 850),
		},
		"an older entry of the same process": {
			key:      "replica",
			messages: []message.Message{receive(numberedEntry(1, 900, 3, 20)), receive(numberedEntry(2, 850, 3, 19))},
			wantSoon: at(1, 900), wantLater: at(2, 850),
		},
		"a newer entry of the same process": {
			key:      "replica",
			messages: []message.Message{receive(numberedEntry(1, 900, 3, 20)), receive(numberedEntry(2, 850, 3, 21))},
			wantSoon: at(2, 850), wantLater: at(2, 850),
		},
		"an entry of a newer process": {
			key:      "replica",
			messages: []message.Message{receive(numberedEntry(1, 900, 3, 20)), receive(numberedEntry(2, 850, 4, 1))},
			wantSoon: at(2, 850), wantLater: at(2, 850),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := newState("a")
			for _, received := range test.messages {
				control.Apply(state, received, start)
			}
			control.Apply(state, message.Ticked{}, start.Add(time.Second))
			assert.Equal(t, state.DocumentsInForce[test.key].Document.Version(), test.wantSoon)
			control.Apply(state, message.Ticked{}, start.Add(3*time.Second))
			assert.Equal(t, state.DocumentsInForce[test.key].Document.Version(), test.wantLater)
		})
	}
}

// TestStoreRestoredWhileCutOff restores the store while half of the fleet is cut off
// from it and from the other half. The part that is cut off keeps what it has, and
// takes over the new era from its peers when the links are back.
func TestStoreRestoredWhileCutOff(t *testing.T) {
	connected, cutOff := newState("a"), newState("b")
	for _, state := range []*control.State{connected, cutOff} {
		for _, decoded := range []api.DecodedDocument{numbered(1, 900, 7), written("kept", 1, 800, "x"), written("lost", 1, 899, "x")} {
			control.Apply(state, message.DocumentReceived{Decoded: decoded}, start)
		}
	}
	for _, decoded := range []api.DecodedDocument{numbered(2, 850, 5), written("kept", 2, 800, "x"), numbered(2, 860, 7)} {
		control.Apply(connected, message.DocumentReceived{Decoded: decoded}, start)
	}
	control.Apply(connected, listed(2, 850, "config", "kept"), start)
	control.Apply(connected, message.Ticked{}, start.Add(3*time.Second))
	exchange(connected, cutOff, start.Add(4*time.Second))
	control.Apply(cutOff, message.Ticked{}, start.Add(8*time.Second))
	want := map[string]api.Version{"config": {Era: 2, Revision: 860}, "kept": {Era: 2, Revision: 800}, "lost": {Era: 2, Revision: 850}}
	assert.DeepEqual(t, versions(connected.DocumentsInForce), want)
	assert.DeepEqual(t, versions(cutOff.DocumentsInForce), want)
	assert.Equal(t, control.Build(connected, control.RebuildAll).ConfigDigest, control.Build(cutOff, control.RebuildAll).ConfigDigest)
}

// TestHeldBackOverPause pauses the process while an older configuration is held back.
// The pause does not count: what was written again meanwhile has yet to arrive.
func TestHeldBackOverPause(t *testing.T) {
	state := newState("a")
	control.Apply(state, message.DocumentReceived{Decoded: numbered(1, 900, 7)}, start)
	control.Apply(state, message.DocumentReceived{Decoded: numbered(2, 850, 5)}, start)
	control.Apply(state, message.Ticked{Gap: 5 * time.Second}, start.Add(5*time.Second))
	control.Apply(state, message.Ticked{}, start.Add(5100*time.Millisecond))
	assert.Equal(t, state.DocumentsInForce["config"].Document.Era, uint64(1))
	control.Apply(state, message.DocumentReceived{Decoded: numbered(2, 860, 7)}, start.Add(5200*time.Millisecond))
	assert.Equal(t, state.DocumentsInForce["config"].Document.Revision, uint64(860))
}

// TestDigestWithoutEra checks that an instance whose store states no era has the digest
// that instances of earlier versions compute.
func TestDigestWithoutEra(t *testing.T) {
	digest := func(era uint64) uint64 {
		state := newState("a")
		control.Apply(state, message.DocumentReceived{Decoded: written("key", era, 900, "x")}, start)
		return control.Build(state, control.RebuildAll).ConfigDigest
	}
	assert.Equal(t, digest(0), uint64(1159728452925177990))
	assert.Assert(t, digest(0) != digest(1) && digest(1) != digest(2))
}

// exchange sends each of two states the documents that the other holds, as peers do.
func exchange(first, second *control.State, now time.Time) {
	for _, pair := range [][2]*control.State{{first, second}, {second, first}} {
		for _, documents := range []map[string]api.DecodedDocument{pair[0].DocumentsInForce, superseded(pair[0]), pair[0].RefusedDocuments} {
			for _, decoded := range documents {
				control.Apply(pair[1], message.DocumentReceived{Decoded: decoded}, now)
			}
		}
	}
}

// superseded returns the superseded documents of state.
func superseded(state *control.State) map[string]api.DecodedDocument {
	documents := make(map[string]api.DecodedDocument)
	for key, superseded := range state.SupersededDocuments {
		documents[key] = superseded.Decoded
	}
	return documents
}

func versions(documents map[string]api.DecodedDocument) map[string]api.Version {
	versions := make(map[string]api.Version)
	for key, decoded := range documents {
		versions[key] = decoded.Document.Version()
	}
	return versions
}

// TestErasConverge applies documents of several eras to two instances, in two orders,
// with time passing in between. No document may be replaced by an older one in the order of
// api.Precedence, and once the instances have exchanged their documents, they hold the same.
func TestErasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var documents []message.DocumentReceived
		for range rapid.IntRange(1, 15).Draw(t, "documents") {
			documents = append(documents, drawDocumentOfEra(t))
		}
		first, second := newState("a"), newState("b")
		end := max(applyInTime(t, first, rapid.Permutation(documents).Draw(t, "first")), applyInTime(t, second, rapid.Permutation(documents).Draw(t, "second")))
		for _, state := range []*control.State{first, second} {
			control.Apply(state, message.Ticked{}, start.Add(end+3*time.Second))
		}
		exchange(first, second, start.Add(end+4*time.Second))
		for _, state := range []*control.State{first, second} {
			control.Apply(state, message.Ticked{}, start.Add(end+7*time.Second))
		}
		assert.DeepEqual(t, versions(first.DocumentsInForce), versions(second.DocumentsInForce))
		assert.DeepEqual(t, versions(first.RefusedDocuments), versions(second.RefusedDocuments))
		assert.DeepEqual(t, versions(superseded(first)), versions(superseded(second)))
		assert.Equal(t, control.Build(first, control.RebuildAll).ConfigDigest, control.Build(second, control.RebuildAll).ConfigDigest)
		assert.Equal(t, first.Era, second.Era)
		assert.Equal(t, len(first.PendingDocuments)+len(second.PendingDocuments), 0)
	})
}

// drawDocumentOfEra returns a document whose content and kind depend only on its key
// and version, as a store hands it out.
func drawDocumentOfEra(t *rapid.T) message.DocumentReceived {
	key := rapid.SampledFrom([]string{"config", "key", "replica"}).Draw(t, "key")
	era, revision := rapid.Uint64Range(0, 3).Draw(t, "era"), rapid.Uint64Range(1, 9).Draw(t, "revision")
	decoded := written(key, era, revision, fmt.Sprint(revision/2))
	kind := (era*7 + revision*3) % 5
	if key == "config" {
		decoded.Document.Number.Sequence = 1 + (era+revision)%4
	}
	if key == "replica" {
		decoded = numberedEntry(era, revision, 1+revision%2, 1+(era+revision)%4)
	}
	if kind == 0 {
		decoded = written(key, era, revision, "")
		decoded.Document.IsDeleted, decoded.Document.Value = true, nil
	}
	if kind == 1 {
		decoded.RefusalReason = "broken"
	}
	return message.DocumentReceived{Decoded: decoded, IsFromPlatform: kind == 0 && rapid.Bool().Draw(t, "fromPlatform")}
}

// applyInTime applies documents with random delays in between, and returns the sum of
// these. It checks that no version in force decreases.
func applyInTime(t *rapid.T, state *control.State, documents []message.DocumentReceived) time.Duration {
	var elapsed time.Duration
	apply := func(received message.Message) {
		before := maps.Clone(state.DocumentsInForce)
		control.Apply(state, received, start.Add(elapsed))
		for key, decoded := range before {
			previous, after := decoded.Document.Precedence(), state.DocumentsInForce[key].Document.Precedence()
			assert.Assert(t, !previous.After(after), "%s: %v after %v", key, after, previous)
		}
	}
	for _, received := range documents {
		elapsed += time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond
		apply(message.Ticked{})
		apply(received)
	}
	return elapsed
}
