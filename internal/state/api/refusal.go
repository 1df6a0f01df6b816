package api

import "cmp"

// MaxReasonBytes bounds the reason of a Refusal, which may repeat parts of the document.
const MaxReasonBytes = 400

// Refusal states why a document cannot be used, in place of its value.
type Refusal struct {
	Reason string `cbor:"1,keyasint" json:"reason"`
	// Bytes is the length of the value.
	Bytes int64 `cbor:"2,keyasint" json:"bytes"`
	// IsIgnored is set if the document is not invalid, but contains nothing to use.
	IsIgnored bool `cbor:"3,keyasint,omitempty" json:"ignored,omitempty"`
}

// IsIgnored reports whether the document has a Refusal because it contains nothing to use.
func (document Document) IsIgnored() bool {
	return document.Refusal != nil && document.Refusal.IsIgnored
}

// unusableValue is the value under which a refused document is sent to peers that do not
// know Refusal: no format of a document allows it.
var unusableValue = []byte{0}

// Decode returns document as parse decodes it. A document with a Refusal is not parsed.
func Decode(document Document, parse func(Document) DecodedDocument) DecodedDocument {
	refusal := document.Refusal
	if refusal == nil || document.IsDeleted {
		return parse(document)
	}
	document.Number = Number{}
	if refusal.IsIgnored {
		return DecodedDocument{Document: document, IgnoredReason: refusal.Reason}
	}
	return DecodedDocument{Document: document, RefusalReason: refusal.Reason}
}

// WithoutUnusedValue returns decodeddocument with a Refusal in place of the value if the document
// is refused or ignored. Every other document is returned unchanged.
func (decodeddocument DecodedDocument) WithoutUnusedValue() DecodedDocument {
	reason := cmp.Or(decodeddocument.RefusalReason, decodeddocument.IgnoredReason)
	if reason == "" || decodeddocument.Document.Refusal != nil {
		return decodeddocument
	}
	decodeddocument.Document.Refusal = &Refusal{
		Reason:    reason[:min(len(reason), MaxReasonBytes)],
		Bytes:     int64(len(decodeddocument.Document.Value)),
		IsIgnored: decodeddocument.RefusalReason == "",
	}
	decodeddocument.Document.Value, decodeddocument.Document.Compressed = unusableValue, nil
	return decodeddocument
}
