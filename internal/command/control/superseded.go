package control

import (
	"slices"
	"strings"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// SupersededDocument is the latest document of a key that the store is known to have
// stated, although a newer one is in force. The store states such a document after it
// was restored from an older copy, or after a late write.
type SupersededDocument struct {
	Decoded api.DecodedDocument
	// Since is when this instance learned that the store states it.
	Since time.Time
}

// receiveOlderEntry treats an entry of a replica like a missing one if the store, in a
// later era, states an older content than is known: it is of the copy, and a live process
// writes again. One that was removed already stays removed.
func receiveOlderEntry(state *State, key string, now time.Time) Effects {
	inForce := state.DocumentsInForce[key]
	stated := state.SupersededDocuments[key].Decoded
	isOlderEntry := inForce.Instances != nil && stated.Document.Era > inForce.Document.Era
	if !isOlderEntry {
		return Effects{}
	}
	removal := followingRemoval(inferredDeletion(key, stated.Document.Version()), inForce.Document.Number)
	if !removal.Document.Precedence().After(state.PendingDocuments[key].Decoded.Document.Precedence()) {
		return Effects{}
	}
	return receiveRemoval(state, inForce, removal, true, now)
}

// isRemovedProcess reports whether decoded is the entry of a process that was removed in
// an earlier era with the same number. A process that lives has written a higher one.
func isRemovedProcess(inForce, decoded api.DecodedDocument) bool {
	document := decoded.Document
	isEntry := decoded.Instances != nil && decoded.RefusalReason == ""
	return isEntry && inForce.Document.IsDeleted && !document.Number.IsZero() &&
		document.Number == inForce.Document.Number && document.Era > inForce.Document.Era
}

// validVersion returns the latest version of key that the store is known to have stated
// and that was not refused.
func validVersion(state *State, key string) api.Version {
	return api.Latest(state.DocumentsInForce[key].Document.Version(), state.SupersededDocuments[key].Decoded.Document.Version())
}

// statedVersion returns the latest version of key that the store is known to have stated.
func statedVersion(state *State, key string) api.Version {
	return api.Latest(validVersion(state, key), state.RefusedDocuments[key].Document.Version())
}

// supersededDocuments returns the superseded documents as they were received.
func supersededDocuments(state *State) map[string]api.Document {
	documents := make(map[string]api.Document, len(state.SupersededDocuments))
	for key, superseded := range state.SupersededDocuments {
		documents[key] = superseded.Decoded.Document
	}
	return documents
}

// supersededKeys describes the keys of which the store states an older document than the
// one in force, or none, sorted by key.
func supersededKeys(state *State) []view.SupersededKey {
	var keys []view.SupersededKey
	for key := range state.DocumentsInForce {
		if described, isSuperseded := describeSuperseded(state, key); isSuperseded {
			keys = append(keys, described)
		}
	}
	slices.SortFunc(keys, func(a, b view.SupersededKey) int { return strings.Compare(a.Key, b.Key) })
	return keys
}

// describeSuperseded describes key. It reports false if the store states the document in
// force, as far as this instance knows.
func describeSuperseded(state *State, key string) (view.SupersededKey, bool) {
	inForce := state.DocumentsInForce[key]
	superseded, isSuperseded := state.SupersededDocuments[key]
	stated := superseded.Decoded
	described := view.SupersededKey{
		Key:             key,
		NumberInForce:   inForce.Document.Number,
		EraInForce:      inForce.Document.Era,
		RevisionInForce: inForce.Document.Revision,
		IsRemoved:       inForce.Document.IsDeleted,
		IsConfiguration: definesConfiguration(inForce) || definesConfiguration(stated),
	}
	if isLostByStore(state, key) {
		described.Reason, described.Since = view.SupersededByLoss, state.eraLearnedAt
		return described, true
	}
	described.StatedNumber, described.StatedEra, described.StatedRevision = stated.Document.Number, stated.Document.Era, stated.Document.Revision
	described.Reason, described.Since = view.SupersededByNumber, superseded.Since
	if stated.Document.Era > inForce.Document.Era {
		described.Reason = view.SupersededByRestore
	}
	return described, isSuperseded
}

// isLostByStore reports whether a document of the configuration is in force although the
// store has not stated one in its current era. The instance can be expected to know once it
// has listed the store, or others have had the time to send what it states.
func isLostByStore(state *State, key string) bool {
	isEraKnown := state.ListedVersion.Era >= state.Era || state.isEraSettled
	return isEraKnown && definesConfiguration(state.DocumentsInForce[key]) && statedVersion(state, key).Era < state.Era
}

// settleEra records that others have had the time to send what the store states in its
// current era.
func settleEra(state *State, now time.Time) Effects {
	if state.Era == 0 || state.isEraSettled || now.Sub(state.eraLearnedAt) < registrationTime {
		return Effects{}
	}
	state.isEraSettled = true
	return Effects{RebuildConfiguration: true}
}
