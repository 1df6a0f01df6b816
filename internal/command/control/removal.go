package control

import (
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
	isNewEra := deletion.Document.Era > inForce.Document.Era
	switch {
	case isNewEra && isInferred && isConfiguration(inForce):
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
	var effects Effects
	switch rule {
	case view.RemovalApplied:
		effects = applyDocument(state, deletion)
	case view.RemovalHeldBack:
		effects = applyDocument(state, known)
		effects.merge(holdBack(state, deletion, lapseEnd(state, now)))
	case view.RemovalLost:
		effects = applyDocument(state, known)
	}
	state.RemovalCounts[rule]++
	effects.PublishStats = true
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

// applyListing records a listing of all documents, and removes those that it lacks. One
// that is not older than the listing does not count as removed.
func applyListing(state *State, received message.ListingReceived, now time.Time) Effects {
	effects := learnEra(state, received.Version.Era, now)
	if !received.Version.After(state.ListedVersion) {
		return effects
	}
	state.ListedVersion = received.Version
	for _, documents := range []map[string]api.DecodedDocument{state.DocumentsInForce, state.RefusedDocuments} {
		for key, decoded := range documents {
			isRemoved := decoded.Document.IsDeleted || received.Keys[key]
			if !isRemoved && received.Version.After(knownVersion(state, key)) {
				effects.merge(receiveRemoval(state, decoded, inferredDeletion(key, received.Version), true, now))
			}
		}
	}
	return effects
}

// isUnlisted reports whether a document that a peer sent is missing from the latest
// listing of all documents, though it is older: the store has removed it. The removal is
// not among the changes since the listing.
func isUnlisted(state *State, document api.Document) bool {
	return !document.IsDeleted && state.ListedVersion.After(document.Version()) &&
		document.Version().After(knownVersion(state, document.Key))
}

// knownVersion returns the newest version of key that is in force, refused or pending.
func knownVersion(state *State, key string) api.Version {
	return api.Latest(
		state.DocumentsInForce[key].Document.Version(),
		state.RefusedDocuments[key].Document.Version(),
		state.PendingDocuments[key].Decoded.Document.Version(),
	)
}

// inferredDeletion returns the deletion of key that follows from a listing of the given
// version.
func inferredDeletion(key string, listed api.Version) api.DecodedDocument {
	return api.DecodedDocument{Document: api.Document{Key: key, Era: listed.Era, Revision: listed.Revision, IsDeleted: true}}
}
