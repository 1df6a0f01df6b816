package http

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxIdentities is the number of identities from which on an identitySet is full.
const maxIdentities = 256

// identitySet is a set of request identities, of which it holds the hashes. It may rarely
// report an identity as contained that is not.
type identitySet struct{ hashes []uint64 }

func (identityset *identitySet) add(identity string) {
	identityset.hashes = append(identityset.hashes, xxhash.Sum64String(identity))
}

func (identityset *identitySet) contains(identity string) bool {
	return len(identityset.hashes) > 0 && slices.Contains(identityset.hashes, xxhash.Sum64String(identity))
}

func (identityset *identitySet) isFull() bool { return len(identityset.hashes) >= maxIdentities }
