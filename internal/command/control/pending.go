package control

import (
	"bytes"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
)

// PendingDocument is a document that is not applied yet, because its key may be
// written again: a removal whose lease may have expired only because the platform was
// unreachable, or, if its writer gives no numbers, what the copy holds from which the
// platform's store was restored.
type PendingDocument struct {
	Decoded api.DecodedDocument
	// DueAt is when the document is applied unless the key is written again.
	DueAt time.Time
}

// holdBackTime is how long another content of a restored store is held back if its writer
// gives no numbers. Live instances write again within about two seconds.
const holdBackTime = registrationTime

// receiveDocument applies a document, or holds it back if its key may be written
// again.
func receiveDocument(state *State, received message.DocumentReceived, now time.Time) Effects {
	decoded := received.Decoded.WithoutUnusedValue()
	key := decoded.Document.Key
	effects := learnEra(state, decoded.Document.Era, now)
	if isDropped(state, received, decoded, now) {
		return effects
	}
	inForce, isKnown := state.DocumentsInForce[key]
	isNewEra := isKnown && decoded.Document.Era > inForce.Document.Era
	switch {
	case received.IsFromPlatform && decoded.Document.IsDeleted:
		effects.merge(receiveRemoval(state, inForce, decoded, false, now))
	case !received.IsFromPlatform && isUnlisted(state, decoded.Document):
		effects.merge(receiveRemoval(state, decoded, inferredDeletion(key, listedVersion(state, key)), true, now))
	case isRemovedProcess(inForce, decoded):
		removal := inferredDeletion(key, decoded.Document.Version())
		effects.merge(applyDocument(state, followingRemoval(removal, inForce.Document.Number), now))
	case isNewEra && mayBeOutdated(state, inForce, decoded):
		effects.merge(holdBack(state, decoded, now.Add(holdBackTime)))
	default:
		effects.merge(applyDocument(state, decoded, now))
	}
	effects.merge(receiveOlderEntry(state, key, now))
	return effects
}

// learnEra records the era of the platform's store, if it is the highest one known. A
// store in a higher era than before was unavailable until now.
func learnEra(state *State, era uint64, now time.Time) Effects {
	if era <= state.Era {
		return Effects{}
	}
	if state.Era > 0 || !state.PlatformAnsweredAt.IsZero() {
		state.PlatformReturnedAt = now
	}
	state.Era, state.eraLearnedAt, state.isEraSettled = era, now, false
	return Effects{RebuildConfiguration: true, IsEraRaised: true}
}

// isConfiguration reports whether a document defines what requests are sent where, as
// opposed to the instances that serve them.
func isConfiguration(decoded api.DecodedDocument) bool {
	return decoded.Index != nil || decoded.Upstreams != nil || decoded.Scope != nil || decoded.Scopes != nil || decoded.Limits != nil
}

// mayBeOutdated reports whether decoded, a document of a later era than inForce, may be
// what the store held of the key before it lost inForce. A removal is not: it follows
// the copy, or a peer has held it back already. If the writer numbers its documents,
// api.Precedence tells. Otherwise a lower revision with another content may be from before
// the loss, unless an older document of its era is pending: that one is from the copy
// then, and decoded was written after it.
func mayBeOutdated(state *State, inForce, decoded api.DecodedDocument) bool {
	document := decoded.Document
	isUnchanged := !inForce.Document.IsDeleted && bytes.Equal(document.Value, inForce.Document.Value)
	if document.IsDeleted || isUnchanged || decoded.RefusalReason != "" {
		return false
	}
	if !document.Number.IsZero() && !inForce.Document.Number.IsZero() {
		return false
	}
	pending := state.PendingDocuments[document.Key].Decoded.Document
	isWrittenAgain := pending.Era == document.Era && document.Version().After(pending.Version())
	return !isWrittenAgain && document.Revision < inForce.Document.Revision
}

// holdBack makes a document pending until dueAt that is newer than the one in force and
// than a pending one. A document of the same era as the pending one replaces it without
// further delay.
func holdBack(state *State, decoded api.DecodedDocument, dueAt time.Time) Effects {
	document := decoded.Document
	pendingdocument, isPending := state.PendingDocuments[document.Key]
	pending := pendingdocument.Decoded.Document
	if !isNewest(state, document) {
		return Effects{}
	}
	if isPending && pending.Era == document.Era {
		dueAt = pendingdocument.DueAt
	}
	state.PendingDocuments[document.Key] = PendingDocument{Decoded: decoded, DueAt: dueAt}
	return Effects{PublishStats: true, HeldBackCount: 1}
}

// applyDueDocuments applies the pending documents whose keys were not written again in
// time, and the pending removals once the platform is known not to have been away.
func applyDueDocuments(state *State, now time.Time) Effects {
	var effects Effects
	for key, pendingdocument := range state.PendingDocuments {
		isSteady := pendingdocument.Decoded.Document.IsDeleted && !mayHaveLapsed(state, now)
		if isSteady || now.After(pendingdocument.DueAt) {
			delete(state.PendingDocuments, key)
			effects.merge(applyDocument(state, pendingdocument.Decoded, now))
		}
	}
	return effects
}

// extendHoldBack holds pending documents back for longer, by the length of a pause in
// which this process could not learn that they were written again. Removals are not
// extended.
func extendHoldBack(state *State, gap time.Duration) {
	for key, pendingdocument := range state.PendingDocuments {
		if !pendingdocument.Decoded.Document.IsDeleted {
			pendingdocument.DueAt = pendingdocument.DueAt.Add(gap)
			state.PendingDocuments[key] = pendingdocument
		}
	}
}
