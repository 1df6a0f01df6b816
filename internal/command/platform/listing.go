package platform

import (
	"context"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// listing is a listing of all documents whose pages are read one after the other.
type listing struct {
	// version is that of the first page.
	version api.Version
	// next is the key after which the next page begins.
	next string
	// isIncomplete is set if a page lacks something that could not be decoded.
	isIncomplete bool
}

// readPage returns the page of the listing that follows the pages read before. If it cannot
// be decoded, it counts as the last one, and as incomplete: it may never become readable. A
// page of another era is the error api.ErrRestored.
func readPage[S Store](ctx context.Context, store S, listing *listing) (api.Changes, error) {
	changes, err := store.NextPage(ctx, listing.next)
	if changes.Era > listing.version.Era || err == nil && changes.Era < listing.version.Era {
		return api.Changes{Era: changes.Era}, errors.Wrapf(api.ErrRestored, "list platform %s", store.Peer())
	}
	if errors.Is(err, api.ErrUnreadable) {
		return api.Changes{Era: listing.version.Era, Revision: listing.version.Revision, UnreadableCount: 1}, nil
	}
	return changes, err
}

// List returns all documents of store, with the version of the first page. It holds all of
// them at once.
func List[S Store](ctx context.Context, store S) (api.Changes, error) {
	all, err := store.Changes(ctx, 0, 0, func(string) api.Version { return api.Version{} })
	for err == nil && all.Next != "" {
		var page api.Changes
		page, err = readPage(ctx, store, &listing{version: all.Version(), next: all.Next})
		if err != nil {
			return api.Changes{Era: page.Era}, err
		}
		all.Documents = append(all.Documents, page.Documents...)
		all.UnreadableCount += page.UnreadableCount
		all.IsComplete = all.IsComplete && page.IsComplete
		all.Next = page.Next
	}
	return all, err
}
