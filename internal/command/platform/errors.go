package platform

import "strconv"

// StaleError reports an answer of the platform at an older revision than this
// instance already knows.
type StaleError struct {
	// Peer is the address of the store that answered.
	Peer string
	// Revision is the revision of the answer.
	Revision uint64
	// KnownRevision is the highest revision that this instance knows.
	KnownRevision uint64
}

// Error names the store and both revisions.
func (staleerror *StaleError) Error() string {
	return "watch platform " + staleerror.Peer + ": stale answer at revision " +
		strconv.FormatUint(staleerror.Revision, 10) + ", known " + strconv.FormatUint(staleerror.KnownRevision, 10)
}
