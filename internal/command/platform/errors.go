package platform

import (
	"fmt"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// StaleError reports an answer of the platform at an older version than this
// instance already knows.
type StaleError struct {
	// Peer is the address of the store that answered.
	Peer string
	// Version is the version of the answer.
	Version api.Version
	// KnownVersion is the newest version that this instance knows.
	KnownVersion api.Version
}

// Error names the store and both versions.
func (staleerror *StaleError) Error() string {
	return fmt.Sprintf("watch platform %s: stale answer at revision %d of era %d, known revision %d of era %d", staleerror.Peer,
		staleerror.Version.Revision, staleerror.Version.Era, staleerror.KnownVersion.Revision, staleerror.KnownVersion.Era)
}
