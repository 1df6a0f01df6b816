package api

import (
	"cmp"
	"slices"
)

// Version orders the states of a store and of its documents. A store that is restored
// from an older copy counts its revisions from the copy's again, in the next era.
type Version struct {
	// Era counts how often the store was restored; 0 if the store does not state it.
	Era      uint64
	Revision uint64
}

// Compare returns a negative number if version is older than other, a positive one if
// it is newer, and 0 if both are equal.
func (version Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(version.Era, other.Era), cmp.Compare(version.Revision, other.Revision))
}

// After reports whether version is newer than other.
func (version Version) After(other Version) bool { return version.Compare(other) > 0 }

// Latest returns the newest of versions, of which there must be at least one.
func Latest(versions ...Version) Version { return slices.MaxFunc(versions, Version.Compare) }
