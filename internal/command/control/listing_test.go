package control_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
)

// drawHistory returns the changes of a store, in order. Some remove a key.
func drawHistory(t *rapid.T) []api.DecodedDocument {
	var history []api.DecodedDocument
	for revision := range rapid.IntRange(6, 20).Draw(t, "changes") {
		key := rapid.SampledFrom([]string{"config", "a", "b"}).Draw(t, "key")
		decoded := written(key, 0, uint64(revision+1), fmt.Sprint(revision))
		if key == "config" {
			decoded.Scopes = []api.Scope{{Name: "all"}}
		}
		if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
			decoded = api.DecodedDocument{Document: api.Document{Key: key, Revision: uint64(revision + 1), IsDeleted: true}}
		}
		history = append(history, decoded)
	}
	return history
}

// contentAt returns the documents that the store holds after the given number of changes.
func contentAt(history []api.DecodedDocument, changes int) map[string]api.DecodedDocument {
	content := make(map[string]api.DecodedDocument)
	for _, decoded := range history[:changes] {
		content[decoded.Document.Key] = decoded
		if decoded.Document.IsDeleted {
			delete(content, decoded.Document.Key)
		}
	}
	return content
}

// versionsInForce returns the versions of the documents in force that are not deletions.
func versionsInForce(state *control.State) map[string]api.Version {
	inForce := versions(state.DocumentsInForce)
	maps.DeleteFunc(inForce, func(key string, _ api.Version) bool { return state.DocumentsInForce[key].Document.IsDeleted })
	return inForce
}

// TestListingsConverge lets an instance start, list the store and watch it, while another
// one that stopped reading at some revision exchanges documents with it at any moment. In
// the end both must hold what the store holds, whatever was removed while nobody read.
func TestListingsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		stopped := rapid.IntRange(0, len(history)).Draw(t, "stopped")
		listedAt := rapid.IntRange(stopped, len(history)).Draw(t, "listed")
		running, started := newState("a"), newState("b")
		answered := message.PlatformAnswered{AnsweredAt: start, KnownSince: start.Add(-time.Minute)}
		control.Apply(running, answered, start)
		for _, decoded := range history[:stopped] {
			control.Apply(running, message.DocumentReceived{Decoded: decoded, IsFromPlatform: true}, start)
		}
		var fromStore []message.Message
		listing := message.ListingReceived{Version: api.Version{Revision: uint64(listedAt)}, Keys: make(map[string]bool)}
		content := contentAt(history, listedAt)
		for _, key := range slices.Sorted(maps.Keys(content)) {
			listing.Keys[key] = true
			fromStore = append(fromStore, message.DocumentReceived{Decoded: content[key], IsFromPlatform: true})
		}
		fromStore = append(fromStore, message.PlatformAnswered{AnsweredAt: start.Add(time.Second)}, listing)
		for _, decoded := range history[listedAt:] {
			fromStore = append(fromStore, message.DocumentReceived{Decoded: decoded, IsFromPlatform: true})
		}
		now := start.Add(time.Second)
		connectedFrom := rapid.IntRange(0, len(fromStore)).Draw(t, "connected")
		for index, received := range fromStore {
			if index >= connectedFrom && rapid.Bool().Draw(t, "exchanges") {
				exchange(running, started, now)
			}
			if rapid.Bool().Draw(t, "tells") {
				control.Apply(started, answered, now)
			}
			control.Apply(started, received, now)
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "delay")) * time.Millisecond)
			control.Apply(started, message.Ticked{}, now)
		}
		for range 3 {
			exchange(running, started, now)
			now = now.Add(3 * time.Second)
			control.Apply(started, message.Ticked{}, now)
			control.Apply(running, message.Ticked{}, now)
		}
		want := versions(contentAt(history, len(history)))
		assert.DeepEqual(t, versionsInForce(started), want)
		assert.DeepEqual(t, versionsInForce(running), want)
	})
}
