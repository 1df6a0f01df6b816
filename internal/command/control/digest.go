package control

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// keysDigest returns a digest of the document versions in force and refused. Two
// instances with equal digests need not exchange their keys.
func keysDigest(state *State) uint64 {
	var digest uint64
	for _, decoded := range state.DocumentsInForce {
		digest ^= documentDigest("inForce", decoded.Document)
	}
	for _, decoded := range state.RefusedDocuments {
		// Instances of earlier versions count ignored documents as in force.
		kind := "refused"
		if decoded.IgnoredReason != "" {
			kind = "inForce"
		}
		digest ^= documentDigest(kind, decoded.Document)
	}
	for _, superseded := range state.SupersededDocuments {
		digest ^= documentDigest("superseded", superseded.Decoded.Document)
	}
	return digest
}

// documentDigest hashes the version of one document. The hash in era 0 is that of
// instances which know no eras. The version tells the number, except of a removal, whose
// number depends on what the deciding instance knew.
func documentDigest(kind string, document api.Document) uint64 {
	if number := document.Number; document.IsDeleted && !number.IsZero() {
		return entryDigest(kind, document.Key, document.Revision, document.Era, number.Incarnation, number.Sequence)
	}
	if document.Era == 0 {
		return entryDigest(kind, document.Key, document.Revision)
	}
	return entryDigest(kind, document.Key, document.Revision, document.Era)
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
