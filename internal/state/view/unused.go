package view

import "time"

// UnusedKind states why a document is of no use.
type UnusedKind string

// The kinds of documents without use.
const (
	// UnusedRefused is an invalid document.
	UnusedRefused UnusedKind = "refused"
	// UnusedIgnored is a document under a key that is not used.
	UnusedIgnored UnusedKind = "ignored"
)

// UnusedKey describes a document of the platform that is of no use.
type UnusedKey struct {
	Key    string     `json:"key"`
	Kind   UnusedKind `json:"kind"`
	Reason string     `json:"reason"`
	// Bytes is the length of the document's value, which is not kept.
	Bytes    int64  `json:"bytes"`
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// RevisionInForce is that of the valid document of the key that is still in force; 0 if
	// there is none.
	RevisionInForce uint64 `json:"inForce,omitempty"`
	// Since is when the instance first found the key to be of no use.
	Since time.Time `json:"since"`
}

// UnusedKeys describes the documents of the platform that are of no use.
type UnusedKeys struct {
	// Keys holds those that the instance knows, the largest first, and Bytes is the sum of
	// their lengths.
	Keys  []UnusedKey
	Bytes int64
	// UnnamedCount is the number of entries of instances whose upstream is not configured.
	UnnamedCount int
	// OmittedCount counts the documents that are not kept because there are too many.
	OmittedCount int64
}

// Count returns the number of keys of one kind.
func (unusedkeys UnusedKeys) Count(kind UnusedKind) int {
	count := 0
	for _, unusedkey := range unusedkeys.Keys {
		if unusedkey.Kind == kind {
			count++
		}
	}
	return count
}
