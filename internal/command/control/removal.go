package control

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// registrationTime is how long after the platform is back the entry of a live instance
// may still be missing. Instances register again within about two seconds.
const registrationTime = 2500 * time.Millisecond

// decideRemoval returns the rule by which deletion, which the store reported or which
// follows from a listing (isInferred), applies to the document inForce. All removals but
// those that a peer has applied are decided here.
func decideRemoval(state *State, inForce, deletion api.DecodedDocument, isInferred bool, now time.Time) view.RemovalRule {
	stated := api.Latest(inForce.Document.Version(), validVersion(state, deletion.Document.Key))
	isNewEra := deletion.Document.Era > stated.Era
	switch {
	case isNewEra && isInferred && definesConfiguration(inForce):
		// The store lost it, nobody took it back.
		return view.RemovalLost
	case !isNewEra && definesConfiguration(inForce):
		// It has no lease that could have expired.
		return view.RemovalApplied
	case mayHaveLapsed(state, now):
		return view.RemovalHeldBack
	}
	return view.RemovalApplied
}

// receiveRemoval applies the removal of a document that is known here, holds it back or
// drops it. The parameter known is the document in force, or the one that a peer has.
func receiveRemoval(state *State, known, deletion api.DecodedDocument, isInferred bool, now time.Time) Effects {
	rule := decideRemoval(state, known, deletion, isInferred, now)
	// The removal is newer than both, also for instances that do not know them.
	deletion = followingRemoval(deletion, known.Document.Number)
	deletion = followingRemoval(deletion, state.DocumentsInForce[deletion.Document.Key].Document.Number)
	var effects Effects
	switch rule {
	case view.RemovalApplied:
		effects = applyDocument(state, deletion, now)
	case view.RemovalHeldBack:
		effects = applyDocument(state, known, now)
		effects.merge(holdBack(state, deletion, lapseEnd(state, now)))
	case view.RemovalLost:
		effects = applyDocument(state, known, now)
		effects.Superseded = append(effects.Superseded, deletion.Document.Key)
	}
	state.RemovalCounts[rule]++
	effects.PublishStats = true
	if isUnused(known) || known.Document.Key == "" {
		// There may be many such removals, and none needs an explanation.
		return effects
	}
	effects.Removals = append(effects.Removals, Removal{Document: deletion.Document, Rule: rule, IsInferred: isInferred})
	return effects
}

// heldBackRemovals returns the removals that are held back, sorted by key.
func heldBackRemovals(state *State) []view.HeldBackRemoval {
	var heldBack []view.HeldBackRemoval
	for key, pendingdocument := range state.PendingDocuments {
		if !pendingdocument.Decoded.Document.IsDeleted {
			continue
		}
		removal := view.HeldBackRemoval{Key: key, DueAt: pendingdocument.DueAt}
		if instances := state.DocumentsInForce[key].Instances; instances != nil {
			for _, instance := range instances.Instances {
				removal.Replicas = append(removal.Replicas, instance.Name)
			}
		}
		heldBack = append(heldBack, removal)
	}
	slices.SortFunc(heldBack, func(a, b view.HeldBackRemoval) int { return strings.Compare(a.Key, b.Key) })
	return heldBack
}

// Removal is the decision about one removal, to be logged.
type Removal struct {
	Document   api.Document
	Rule       view.RemovalRule
	IsInferred bool
}

// listedPages is what is known of a listing that is not complete yet: the store's content up
// to the key through.
type listedPages struct {
	version api.Version
	through string
}

// applyListing records a page of a listing of all documents, and removes those that it
// lacks. One that is not older than the listing does not count as removed.
func applyListing(state *State, received message.ListingReceived, now time.Time) Effects {
	effects := learnEra(state, received.Version.Era, now)
	if !received.Version.After(state.ListedVersion) {
		return effects
	}
	effects.RebuildConfiguration = effects.RebuildConfiguration || received.Version.Era > state.ListedVersion.Era
	recordListed(state, received)
	for key, decoded := range statedDocuments(state) {
		isOnPage := key > received.After && (received.Through == "" || key <= received.Through)
		isRemoved := decoded.Document.IsDeleted || received.Keys[key]
		if isOnPage && !isRemoved && received.Version.After(knownVersion(state, key)) {
			effects.merge(receiveRemoval(state, decoded, inferredDeletion(key, received.Version), true, now))
		}
	}
	return effects
}

// recordListed records which keys the listing covers so far.
func recordListed(state *State, received message.ListingReceived) {
	if !received.IsPart {
		state.ListedVersion, state.listedPages = received.Version, listedPages{}
		return
	}
	isContinued := received.Version == state.listedPages.version && received.After == state.listedPages.through
	if received.After == "" || isContinued {
		state.listedPages = listedPages{version: received.Version, through: received.Through}
	}
}

// listedVersion returns the version of the latest listing that covers key.
func listedVersion(state *State, key string) api.Version {
	if key <= state.listedPages.through {
		return api.Latest(state.ListedVersion, state.listedPages.version)
	}
	return state.ListedVersion
}

// statedDocuments returns the documents that a listing can lack: of each key the one in
// force, or else the superseded or refused one.
func statedDocuments(state *State) map[string]api.DecodedDocument {
	documents := maps.Clone(state.RefusedDocuments)
	for key, superseded := range state.SupersededDocuments {
		documents[key] = superseded.Decoded
	}
	for key, decoded := range state.DocumentsInForce {
		if _, isKnown := documents[key]; !isKnown || !decoded.Document.IsDeleted {
			documents[key] = decoded
		}
	}
	return documents
}

// isUnlisted reports whether a document that a peer sent is missing from the latest
// listing of all documents, though the store stated it earlier: the store has removed it.
// The removal is not among the changes since the listing.
func isUnlisted(state *State, document api.Document) bool {
	key := document.Key
	listed := listedVersion(state, key)
	return !document.IsDeleted && isNewest(state, document) && !isStatedInEra(state, key, listed.Era) && listed.After(document.Version())
}

// isNewest reports whether document is newer than the one of its key in force and than a
// pending one.
func isNewest(state *State, document api.Document) bool {
	inForce, pending := state.DocumentsInForce[document.Key].Document, state.PendingDocuments[document.Key].Decoded.Document
	return document.Precedence().After(inForce.Precedence()) && document.Precedence().After(pending.Precedence())
}

// isStatedInEra reports whether the store stated a document of key in the era, and not
// its removal.
func isStatedInEra(state *State, key string, era uint64) bool {
	inForce := state.DocumentsInForce[key].Document
	isInForce := !inForce.IsDeleted && inForce.Revision > 0 && inForce.Era == era
	return isInForce || statedVersion(state, key).Era == era && statedVersion(state, key).After(inForce.Version())
}

// knownVersion returns the latest version of key that the store stated or that is pending.
func knownVersion(state *State, key string) api.Version {
	return api.Latest(statedVersion(state, key), state.PendingDocuments[key].Decoded.Document.Version())
}

// inferredDeletion returns the deletion of key that follows from a listing of the given
// version.
func inferredDeletion(key string, listed api.Version) api.DecodedDocument {
	return api.DecodedDocument{Document: api.Document{Key: key, Era: listed.Era, Revision: listed.Revision, IsDeleted: true}}
}
