package http

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxIdentities is the number of identities that an identitySet holds.
const maxIdentities = 256

// identitySet is a bounded set of request identities. It holds their hashes, so that an
// identity that is not in the set may rarely be reported as contained.
type identitySet struct{ hashes []uint64 }

func (identityset *identitySet) add(identity string) {
	identityset.hashes = append(identityset.hashes, xxhash.Sum64String(identity))
}

func (identityset *identitySet) contains(identity string) bool {
	return len(identityset.hashes) > 0 && slices.Contains(identityset.hashes, xxhash.Sum64String(identity))
}

func (identityset *identitySet) isFull() bool { return len(identityset.hashes) >= maxIdentities }
