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

// putInForce replaces the document in force by decoded, which is newer, and keeps what
// the store is known to have stated last.
func putInForce(state *State, decoded api.DecodedDocument, now time.Time) Effects {
	document := decoded.Document
	previous := state.DocumentsInForce[document.Key]
	stated, wasSuperseded := state.SupersededDocuments[document.Key]
	if previous.Document.Version().After(stated.Decoded.Document.Version()) {
		stated = SupersededDocument{Decoded: previous, Since: now}
	}
	if stated.Decoded.Document.Version().After(document.Version()) && stated.Decoded.Document.IsDeleted {
		decoded = followingRemoval(stated.Decoded, document.Number)
		document = decoded.Document
	}
	decoded.Instances = newerInstances(previous.Instances, decoded.Instances)
	state.DocumentsInForce[document.Key] = decoded
	if !state.PendingDocuments[document.Key].Decoded.Document.Precedence().After(document.Precedence()) {
		delete(state.PendingDocuments, document.Key)
	}
	effects := documentChanged(document)
	isSuperseded := stated.Decoded.Document.Version().After(document.Version())
	switch {
	case isSuperseded:
		state.SupersededDocuments[document.Key] = stated
		effects.Superseded = append(effects.Superseded, document.Key)
	case wasSuperseded:
		delete(state.SupersededDocuments, document.Key)
		if !document.IsDeleted {
			effects.Restated = append(effects.Restated, document.Key)
		}
	}
	return effects
}

// supersede records that the store states decoded, which is older than the document in
// force, after all valid documents known of its key. A removal removes all that was written
// before it, whatever its number.
func supersede(state *State, decoded api.DecodedDocument, now time.Time) Effects {
	document := decoded.Document
	if document.IsDeleted {
		return putInForce(state, followingRemoval(decoded, state.DocumentsInForce[document.Key].Document.Number), now)
	}
	state.SupersededDocuments[document.Key] = SupersededDocument{Decoded: decoded, Since: now}
	effects := documentChanged(document)
	effects.Superseded = append(effects.Superseded, document.Key)
	return effects
}

// followingRemoval returns the removal as one of a document with the given number.
func followingRemoval(removal api.DecodedDocument, number api.Number) api.DecodedDocument {
	if number.Compare(removal.Document.Number) > 0 {
		removal.Document.Number = number
	}
	return removal
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

// olderKeys describes the keys of which the store states an older document, sorted by key.
func olderKeys(state *State) []view.SupersededKey {
	var keys []view.SupersededKey
	for key, superseded := range state.SupersededDocuments {
		keys = append(keys, supersededKey(state, key, superseded))
	}
	slices.SortFunc(keys, func(a, b view.SupersededKey) int { return strings.Compare(a.Key, b.Key) })
	return keys
}

func supersededKey(state *State, key string, superseded SupersededDocument) view.SupersededKey {
	inForce, stated := state.DocumentsInForce[key], superseded.Decoded
	described := view.SupersededKey{
		Key:             key,
		StatedNumber:    stated.Document.Number,
		StatedEra:       stated.Document.Era,
		StatedRevision:  stated.Document.Revision,
		NumberInForce:   inForce.Document.Number,
		EraInForce:      inForce.Document.Era,
		RevisionInForce: inForce.Document.Revision,
		IsRemoved:       inForce.Document.IsDeleted,
		IsConfiguration: definesConfiguration(inForce) || definesConfiguration(stated),
		Reason:          view.SupersededByNumber,
		Since:           superseded.Since,
	}
	if stated.Document.Era > inForce.Document.Era {
		described.Reason = view.SupersededByRestore
	}
	return described
}

// lostKeys describes, sorted by key, the documents of the configuration that the store has
// not stated in its current era: it may have lost them.
func lostKeys(state *State) []view.SupersededKey {
	var keys []view.SupersededKey
	forEachDocument(state, func(decoded api.DecodedDocument) {
		document := decoded.Document
		if !definesConfiguration(decoded) || statedVersion(state, document.Key).Era >= state.Era {
			return
		}
		keys = append(keys, view.SupersededKey{
			Key:             document.Key,
			NumberInForce:   document.Number,
			EraInForce:      document.Era,
			RevisionInForce: document.Revision,
			IsConfiguration: true,
			Reason:          view.SupersededByLoss,
			Since:           state.eraLearnedAt,
		})
	})
	return keys
}

// supersededKeys returns olderKeys and, once the instance can be expected to know what the
// store states in its current era, lostKeys.
func supersededKeys(state *State) []view.SupersededKey {
	older := olderKeys(state)
	if state.ListedVersion.Era < state.Era && !state.isEraSettled {
		return older
	}
	lost := lostKeys(state)
	isLost := func(key view.SupersededKey) bool {
		return slices.ContainsFunc(lost, func(other view.SupersededKey) bool { return other.Key == key.Key })
	}
	return slices.Concat(slices.DeleteFunc(older, isLost), lost)
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
