package control

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// applyDocument stores a document if it is newer than the one in force. One that is
// older, but that the store stated later, is recorded as superseded. An invalid or ignored
// document is only recorded: the valid document before it stays in force.
func applyDocument(state *State, decoded api.DecodedDocument, now time.Time) Effects {
	document := decoded.Document
	if isUnused(decoded) {
		return applyUnusedDocument(state, decoded, now)
	}
	inForce := state.DocumentsInForce[document.Key]
	isNewer := document.Precedence().After(inForce.Document.Precedence())
	if !isNewer && !document.Version().After(validVersion(state, document.Key)) {
		return Effects{}
	}
	if definesConfiguration(decoded) || definesConfiguration(inForce) {
		raiseConfigurationVersion(state, document.Version())
	}
	if document.Version().After(state.RefusedDocuments[document.Key].Document.Version()) {
		deleteUnused(state, document.Key)
	}
	if isNewer {
		return putInForce(state, decoded, now)
	}
	return supersede(state, decoded, now)
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
	isOfNoUse := hasNoUse(state, previous) && hasNoUse(state, decoded)
	state.DocumentsInForce[document.Key] = decoded
	recordRemoval(state, document, now)
	if !state.PendingDocuments[document.Key].Decoded.Document.Precedence().After(document.Precedence()) {
		delete(state.PendingDocuments, document.Key)
	}
	effects := documentChanged(document)
	if isOfNoUse {
		effects = unusedChanged(state, document)
	}
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

// newerInstances returns next, or known if next has an older incarnation of one
// of the known instances, or the same incarnation in another upstream. In the first
// case next is a late write of a process that has been replaced, in the second case
// it is of another writer: a process does not change its upstream.
func newerInstances(known, next *api.InstanceList) *api.InstanceList {
	if known == nil || next == nil {
		return next
	}
	byName := make(map[string]api.Instance, len(known.Instances))
	for _, instance := range known.Instances {
		byName[instance.Name] = instance
	}
	for _, instance := range next.Instances {
		previous, isKnown := byName[instance.Name]
		isOther := instance.Incarnation == previous.Incarnation && instance.Upstream != previous.Upstream
		if isKnown && (instance.Incarnation < previous.Incarnation || isOther) {
			return known
		}
	}
	return next
}

// applyUnusedDocument records an invalid or ignored document if the store stated it after
// all that is known of its key.
func applyUnusedDocument(state *State, decoded api.DecodedDocument, now time.Time) Effects {
	if !decoded.Document.Version().After(statedVersion(state, decoded.Document.Key)) {
		return Effects{}
	}
	return recordUnused(state, decoded, now)
}

// documentChanged returns the effects of a new document in force.
func documentChanged(document api.Document) Effects {
	return Effects{RebuildConfiguration: true, Gossip: api.Gossip{Keys: []api.KeyRevision{document.KeyRevision()}}}
}
