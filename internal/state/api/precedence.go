package api

import "cmp"

// Number is the place that the writer of a document gives it among the documents of its
// key. It only increases. The zero Number stands for a document without one.
type Number struct {
	// Incarnation is that of the writing process, if its numbers begin anew with each
	// start; otherwise 0.
	Incarnation uint64 `cbor:"1,keyasint,omitempty" json:"incarnation,omitempty"`
	Sequence    uint64 `cbor:"2,keyasint,omitempty" json:"sequence"`
}

// Compare returns a negative number if number is lower than other, a positive one if it
// is higher, and 0 if both are equal.
func (number Number) Compare(other Number) int {
	return cmp.Or(cmp.Compare(number.Incarnation, other.Incarnation), cmp.Compare(number.Sequence, other.Sequence))
}

// IsZero reports whether the writer gave no number.
func (number Number) IsZero() bool { return number == Number{} }

// Precedence decides which of two documents of one key is newer. The writer's number goes
// first: a store that is restored from a copy states older documents at newer versions.
// Of equal numbers, or without any, the later version in the store is newer.
type Precedence struct {
	Number Number
	Stored Version
	// IsDeleted is set for a removal. It is newer than what it removes, also at the same
	// version.
	IsDeleted bool
}

// Compare returns a negative number if precedence is older than other, a positive one if
// it is newer, and 0 if both are equal.
func (precedence Precedence) Compare(other Precedence) int {
	order := cmp.Or(precedence.Number.Compare(other.Number), precedence.Stored.Compare(other.Stored))
	if order != 0 || precedence.IsDeleted == other.IsDeleted {
		return order
	}
	if precedence.IsDeleted {
		return 1
	}
	return -1
}

// After reports whether precedence is newer than other.
func (precedence Precedence) After(other Precedence) bool { return precedence.Compare(other) > 0 }
