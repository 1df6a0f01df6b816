package control

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// keysDigest returns a digest of the document revisions in force and refused. Two
// instances with equal digests need not exchange their keys.
func keysDigest(state *State) uint64 {
	var digest uint64
	for key, decoded := range state.DocumentsInForce {
		digest ^= entryDigest("inForce", key, decoded.Document.Revision)
	}
	for key, decoded := range state.RefusedDocuments {
		digest ^= entryDigest("refused", key, decoded.Document.Revision)
	}
	return digest
}

// membersDigest returns a digest of the members' states and of the stopped homes.
// Loads and times are not part of it.
func membersDigest(members map[string]api.Member, stoppedHomes map[api.StoppedHome]time.Time) uint64 {
	var digest uint64
	for name, member := range members {
		digest ^= entryDigest(member.State.String(), name, member.Incarnation, member.Refutation)
	}
	for stoppedhome := range stoppedHomes {
		digest ^= entryDigest("heir "+stoppedhome.Successor, stoppedhome.Home, stoppedhome.Incarnation)
	}
	return digest
}

// entryDigest hashes one entry. The digests of a set are combined by XOR, so that
// their order does not matter. Instances compare the results, so the hashed texts
// must be the same in all versions that run together.
func entryDigest(kind, name string, numbers ...uint64) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(kind)
	_, _ = hash.WriteString("\x00" + name)
	var encoded [8]byte
	for _, number := range numbers {
		binary.BigEndian.PutUint64(encoded[:], number)
		_, _ = hash.Write(encoded[:])
	}
	return hash.Sum64()
}
