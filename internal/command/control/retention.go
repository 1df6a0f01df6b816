package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Bounds of what is kept of documents that are of no use. What is kept of more depends on
// the keys and versions alone, so that instances which know the same documents keep the
// same ones, and their digests are equal.
const (
	// maxUnusedDocuments is the number of refused and ignored documents that are kept,
	// besides those whose key has a valid document in force. Those with the lowest hashes
	// of their keys are kept.
	maxUnusedDocuments = 1_024
	// maxUnnamedEntries is the number of entries that are kept of instances whose upstream
	// is not configured. It may be configured later.
	maxUnnamedEntries = 4_096
	// maxRemovals is the number of removals that are kept, those of the latest versions,
	// and removalRetention is for how long. A removal must outlast a partition.
	maxRemovals      = 8_192
	removalRetention = 24 * time.Hour
	// maxLeavingReplicas, maxEndedMembers and maxStoppedHomes bound what is kept for
	// leavingRetention and memberRetention.
	maxLeavingReplicas = 8_192
	maxEndedMembers    = 4_096
	maxStoppedHomes    = 4_096
	// maxUnbuiltChanges is the number of documents that may be added before the bounds are
	// enforced by building a View.
	maxUnbuiltChanges = 1_024
	// refusalInterval is the least time between two refusals of a key without a valid
	// document that are taken from the platform. Another writer may write an entry all the
	// time.
	refusalInterval = 10 * time.Second
	// forgetInterval is the time between two checks for removals whose retention is over.
	forgetInterval = time.Minute
)

// retention is what is known of the documents that are of no use.
type retention struct {
	// unused holds the times of the documents in State.RefusedDocuments, by key.
	unused map[string]unusedTimes
	// removedAt holds when each removal in State.DocumentsInForce was learned, by key.
	removedAt map[string]time.Time
	// limit is the hash from which on unused documents are not kept; 0 if all are.
	limit uint64
	// unbuiltCount is the number of documents that were added since the bounds were
	// last enforced.
	unbuiltCount int
	// omittedCount counts the documents that were not kept because of the bounds.
	omittedCount int64
	// upstreamNames holds the names of the configured upstreams.
	upstreamNames map[string]bool
	// omitsEntries is set if entries of unnamed upstreams were not kept. The platform is
	// listed again once a further upstream is configured; listingNumber is then raised.
	omitsEntries  bool
	listingNumber uint64
	// forgottenAt is when removals were last checked for the end of their retention.
	forgottenAt time.Time
}

// unusedTimes are the times of a refused or ignored document.
type unusedTimes struct {
	// since is when the key first had no use, and takenAt when its latest document came.
	since, takenAt time.Time
}

func newRetention() retention {
	return retention{unused: make(map[string]unusedTimes), removedAt: make(map[string]time.Time)}
}

// isUnused reports whether a document is refused or ignored.
func isUnused(decoded api.DecodedDocument) bool {
	return decoded.RefusalReason != "" || decoded.IgnoredReason != ""
}

// isDropped reports whether a received document is not taken: an unused one that exceeds
// the bound or comes too often, or a removal whose retention is over and that removes
// nothing here.
func isDropped(state *State, received message.DocumentReceived, decoded api.DecodedDocument, now time.Time) bool {
	document, retention := decoded.Document, &state.retention
	inForce, isKnown := state.DocumentsInForce[document.Key]
	hasValid := isKnown && !inForce.Document.IsDeleted
	if document.IsDeleted {
		_, isExpired := learnTime(document.AgeSeconds, removalRetention, now)
		return isExpired && !hasValid
	}
	if !isUnused(decoded) {
		return false
	}
	times, isUnusedKey := retention.unused[document.Key]
	if isUnusedKey {
		previous := state.RefusedDocuments[document.Key].Document
		isFrequent := now.Sub(times.takenAt) < refusalInterval && previous.Era == document.Era
		return received.IsFromPlatform && isFrequent && !hasValid
	}
	isOmitted := !hasValid && retention.limit > 0 && len(state.RefusedDocuments) >= maxUnusedDocuments && xxhash.Sum64String(document.Key) >= retention.limit
	if isOmitted {
		retention.omittedCount++
	}
	return isOmitted
}

// recordUnused keeps a refused or ignored document.
func recordUnused(state *State, decoded api.DecodedDocument, now time.Time) Effects {
	key := decoded.Document.Key
	times, isKnown := state.retention.unused[key]
	if !isKnown {
		times.since = now
	}
	times.takenAt = now
	state.retention.unused[key] = times
	state.RefusedDocuments[key] = decoded
	return unusedChanged(state, decoded.Document)
}

// deleteUnused deletes the refused or ignored document of key.
func deleteUnused(state *State, key string) {
	if _, isKnown := state.retention.unused[key]; !isKnown {
		return
	}
	delete(state.RefusedDocuments, key)
	delete(state.retention.unused, key)
	state.retention.limit = 0
}

// unusedChanged returns the effects of a document that changes nothing in use.
func unusedChanged(state *State, document api.Document) Effects {
	state.retention.unbuiltCount++
	effects := Effects{RebuildDocuments: true, DelayedKeys: []api.KeyRevision{document.KeyRevision()}}
	effects.RebuildConfiguration = state.retention.unbuiltCount > maxUnbuiltChanges
	return effects
}

// isUnnamed reports whether a document holds entries of instances only, none of them of a
// configured upstream.
func isUnnamed(state *State, decoded api.DecodedDocument) bool {
	if decoded.Instances == nil || isUnused(decoded) {
		return false
	}
	return !slices.ContainsFunc(decoded.Instances.Instances, func(instance api.Instance) bool {
		return instance.Upstream == api.OwnUpstream || state.retention.upstreamNames[instance.Upstream]
	})
}

// hasNoUse reports whether a document in force changes nothing in use: there is none, it is
// a removal, or an entry of an unnamed upstream.
func hasNoUse(state *State, decoded api.DecodedDocument) bool {
	return decoded.Document.Key == "" || decoded.Document.IsDeleted || isUnnamed(state, decoded)
}

// enforceBounds deletes the documents that exceed the bounds, and what belongs to them.
func enforceBounds(state *State) {
	retention := &state.retention
	retention.unbuiltCount = 0
	var unused, unnamed, removed []string
	for key := range state.RefusedDocuments {
		if inForce, isKnown := state.DocumentsInForce[key]; !isKnown || inForce.Document.IsDeleted {
			unused = append(unused, key)
		}
	}
	for key, decoded := range state.DocumentsInForce {
		switch {
		case decoded.Document.IsDeleted:
			removed = append(removed, key)
		case len(retention.upstreamNames) > 0 && isUnnamed(state, decoded):
			unnamed = append(unnamed, key)
		}
	}
	if len(unused) > maxUnusedDocuments {
		unused = sortByHash(unused)
		retention.omittedCount += int64(len(unused) - maxUnusedDocuments)
		for _, key := range unused[maxUnusedDocuments:] {
			deleteUnused(state, key)
		}
		retention.limit = xxhash.Sum64String(unused[maxUnusedDocuments])
	}
	if len(unnamed) > maxUnnamedEntries {
		retention.omitsEntries = true
		retention.omittedCount += int64(len(unnamed) - maxUnnamedEntries)
		for _, key := range sortByHash(unnamed)[maxUnnamedEntries:] {
			forgetDocument(state, key)
		}
	}
	if len(removed) > maxRemovals {
		slices.SortFunc(removed, func(a, b string) int {
			versionOf := func(key string) api.Version { return state.DocumentsInForce[key].Document.Version() }
			return cmp.Or(versionOf(b).Compare(versionOf(a)), cmp.Compare(a, b))
		})
		for _, key := range removed[maxRemovals:] {
			forgetDocument(state, key)
		}
	}
}

// sortByHash sorts keys by their hashes, in place.
func sortByHash(keys []string) []string {
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return keys
}

// forgetDocument deletes all that is known of key.
func forgetDocument(state *State, key string) {
	delete(state.DocumentsInForce, key)
	delete(state.SupersededDocuments, key)
	delete(state.PendingDocuments, key)
	delete(state.retention.removedAt, key)
	deleteUnused(state, key)
}

// recordRemoval records when the removal of a document was learned, or that the document
// is in force.
func recordRemoval(state *State, document api.Document, now time.Time) {
	if !document.IsDeleted {
		delete(state.retention.removedAt, document.Key)
		return
	}
	learnedAt, _ := learnTime(document.AgeSeconds, removalRetention, now)
	state.retention.removedAt[document.Key] = learnedAt
}

// forgetRemovals deletes the removals whose retention is over.
func forgetRemovals(state *State, now time.Time) Effects {
	if now.Sub(state.retention.forgottenAt) < forgetInterval {
		return Effects{}
	}
	state.retention.forgottenAt = now
	var effects Effects
	for key, learnedAt := range state.retention.removedAt {
		if now.Sub(learnedAt) >= removalRetention {
			forgetDocument(state, key)
			effects.RebuildDocuments = true
		}
	}
	return effects
}

// nameUpstreams records which upstreams are configured. If entries of others were not kept, it
// raises the number of the listing once there is a further one.
func nameUpstreams(state *State) {
	retention := &state.retention
	names := make(map[string]bool)
	isFurther := false
	for _, decoded := range state.DocumentsInForce {
		if decoded.Upstreams == nil {
			continue
		}
		for _, upstream := range decoded.Upstreams.Upstreams {
			names[upstream.Name] = true
			isFurther = isFurther || !retention.upstreamNames[upstream.Name]
		}
	}
	retention.upstreamNames = names
	if isFurther && retention.omitsEntries {
		retention.omitsEntries = false
		retention.listingNumber++
	}
}

// unusedKeys describes the documents that are of no use.
func unusedKeys(state *State) view.UnusedKeys {
	unused := view.UnusedKeys{OmittedCount: state.retention.omittedCount}
	for key, decoded := range state.RefusedDocuments {
		document := decoded.Document
		described := view.UnusedKey{Key: key, Kind: view.UnusedRefused, Reason: document.Refusal.Reason, Bytes: document.Refusal.Bytes,
			Era: document.Era, Revision: document.Revision, Since: state.retention.unused[key].since}
		if decoded.IgnoredReason != "" {
			described.Kind = view.UnusedIgnored
		}
		if inForce, isKnown := state.DocumentsInForce[key]; isKnown && !inForce.Document.IsDeleted {
			described.RevisionInForce = inForce.Document.Revision
		}
		unused.Keys = append(unused.Keys, described)
		unused.Bytes += described.Bytes
	}
	for _, decoded := range state.sortedDocuments {
		if isUnnamed(state, decoded) {
			unused.UnnamedCount++
		}
	}
	slices.SortFunc(unused.Keys, func(a, b view.UnusedKey) int { return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Key, b.Key)) })
	return unused
}

// deleteOldest deletes those that were learned first of more than limit entries, except
// those that isKept returns true for. It returns how many it deleted.
func deleteOldest[K comparable](learnedAt map[K]time.Time, limit int, isKept func(key K) bool) int {
	if len(learnedAt) <= limit {
		return 0
	}
	keys := slices.SortedFunc(maps.Keys(learnedAt), func(a, b K) int { return learnedAt[a].Compare(learnedAt[b]) })
	deletedCount := 0
	for _, key := range keys[:len(keys)-limit] {
		if !isKept(key) {
			delete(learnedAt, key)
			deletedCount++
		}
	}
	return deletedCount
}
