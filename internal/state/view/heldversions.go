package view

import "github.com/mimosaspring/mimosaspring/internal/state/api"

// HeldVersions are the versions of the documents of one key that an instance holds.
type HeldVersions struct {
	InForce api.Precedence
	// Superseded and Refused are the zero Version if there is no such document.
	Superseded, Refused api.Version
}

// HeldVersions returns the versions of key that the instance holds.
func (view *View) HeldVersions(key string) HeldVersions {
	return HeldVersions{
		InForce:    view.DocumentsInForce[key].Precedence(),
		Superseded: view.SupersededDocuments[key].Version(),
		Refused:    view.RefusedDocuments[key].Version(),
	}
}

// Stated returns the latest version that the store is known to have stated.
func (heldversions HeldVersions) Stated() api.Version {
	return api.Latest(heldversions.InForce.Stored, heldversions.Superseded, heldversions.Refused)
}

// Lacks reports whether a holder of these versions lacks the announced document: because
// it is newer than the one in force, or because the store stated it later than all that
// the holder knows of the key.
func (heldversions HeldVersions) Lacks(announced api.KeyRevision) bool {
	return announced.Precedence().After(heldversions.InForce) || announced.Version().After(heldversions.Stated())
}

// DocumentsLacked returns the documents of key that a holder of the given versions lacks:
// the one in force, the superseded one and the refused one, in this order.
func (view *View) DocumentsLacked(key string, held HeldVersions) []api.Document {
	var lacked []api.Document
	if document, isKnown := view.DocumentsInForce[key]; isKnown && document.Precedence().After(held.InForce) {
		lacked = append(lacked, document)
	}
	if document, isKnown := view.SupersededDocuments[key]; isKnown && document.Version().After(api.Latest(held.InForce.Stored, held.Superseded)) {
		lacked = append(lacked, document)
	}
	if document, isKnown := view.RefusedDocuments[key]; isKnown && document.Version().After(held.unused(document)) {
		lacked = append(lacked, document)
	}
	return lacked
}

// unused returns the version of the document that a holder has in place of document, which
// is refused or ignored. Instances of earlier versions hold ignored documents in force.
func (heldversions HeldVersions) unused(document api.Document) api.Version {
	if document.IsIgnored() {
		return api.Latest(heldversions.InForce.Stored, heldversions.Refused)
	}
	return heldversions.Refused
}
