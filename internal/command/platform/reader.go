// Package platform watches the platform's configuration service and sends its
// documents to package control.
package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Times of the calls to the configuration service.
const (
	// idleInterval is how often an instance that need not read checks whether
	// that has changed.
	idleInterval = 200 * time.Millisecond
	// batchDelay is the wait after an answer with changes, so that the next call
	// returns together the changes that follow shortly after. Each call counts
	// against the platform's rate limit, and a change need only be in force
	// everywhere within seconds.
	batchDelay = 300 * time.Millisecond
	// peerPollInterval is how often a reader checks whether a peer has configured the
	// instance.
	peerPollInterval = 5 * time.Millisecond
	// restoredPeerWait is how long after its start an instance waits for a peer before it
	// serves by the listing of a store that states an era. If all seeds were started
	// again, the other instances find them with their probes.
	restoredPeerWait = 2 * time.Second
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = time.Second
)

// Store is the platform's configuration service at one address.
type Store interface {
	// Changes returns the documents that are newer than the revision after, or
	// the first page of all documents if after is 0. It waits for a change for at most wait.
	// knownVersion returns the version that the reader holds of a key, or the zero
	// Version. If the store does not have the changes since after, the error is
	// api.ErrHistoryGone. Beside an error, the result has the era of the answer.
	Changes(ctx context.Context, after uint64, wait time.Duration, knownVersion func(key string) api.Version) (api.Changes, error)
	// NextPage returns the page of a listing of all documents that follows the key after.
	NextPage(ctx context.Context, after string) (api.Changes, error)
	// Peer returns the store's address.
	Peer() string
}

// Reader reads changes from the configuration service while this instance has the
// reader role, while no other instance reports that the service answers, or while it
// lacks what peers have. All fields but the exported ones belong to the goroutine that
// Start starts.
type Reader[S Store] struct {
	// ParseDocument parses and checks a document.
	ParseDocument func(document api.Document) api.DecodedDocument
	Settings      settings.Reading

	currentView *view.PublishedView
	mailbox     *mailbox.Mailbox[message.Message]
	logger      *zap.Logger
	stores      []S
	// storeIndex is the index in stores of the store in use.
	storeIndex int
	// version is the version up to which all changes were read. Its revision is 0
	// before the first listing of its era, and after the service lost its history.
	version api.Version
	// listing is the listing of which some pages were read; nil if there is none.
	listing *listing
	// listingNumber is the View's ListingNumber at the last listing.
	listingNumber uint64
	// unreadableLoggedAt is when unreadable entries were last logged.
	unreadableLoggedAt time.Time
	// backoff is the longest wait after the next call that fails.
	backoff time.Duration
	// isFailing is set if the latest call failed.
	isFailing bool
	// startedAt is when the reader was created.
	startedAt time.Time
}

// NewReader returns a Reader of stores, which must all hold the same documents. It
// reads from one of them at a time and sends the documents to control.
func NewReader[S Store](stores []S, parse func(api.Document) api.DecodedDocument, settings settings.Reading, control *control.Control, logger *zap.Logger) *Reader[S] {
	return &Reader[S]{
		ParseDocument: parse,
		Settings:      settings,
		currentView:   control.CurrentView,
		mailbox:       control.Mailbox,
		logger:        logger,
		stores:        stores,
		backoff:       minBackoff,
		startedAt:     time.Now(),
	}
}

// Start starts the reader, which ends when ctx ends.
func (reader *Reader[S]) Start(ctx context.Context) { go reader.run(ctx) }

func (reader *Reader[S]) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !reader.shouldRead() {
			sleep(ctx, idleInterval)
			continue
		}
		if err := reader.readChanges(ctx); err != nil {
			reader.recordFailure(ctx, err)
			continue
		}
		reader.recordSuccess()
	}
}

// shouldRead reports whether this instance reads: because it has the reader role,
// because it learned of no answer to any instance for Settings.StaleAfter, or because
// it has lacked the configuration of a peer for Settings.LackAfter.
func (reader *Reader[S]) shouldRead() bool {
	current := reader.currentView.Load()
	lackedSince := current.ConfigurationLackedSince
	isLacking := !lackedSince.IsZero() && time.Since(lackedSince) > reader.Settings.LackAfter()
	return current.IsReader || isLacking || time.Since(current.PlatformAnsweredAt) > reader.Settings.StaleAfter()
}

// readChanges calls the store in use once, which waits for changes, and sends the
// changed documents to control. If the store lost its history, or is in a higher era
// than the changes read so far, the next call reads all documents, page by page. A page that
// fails is read again. An answer older than what this instance knows is a StaleError.
func (reader *Reader[S]) readChanges(ctx context.Context) error {
	current := reader.currentView.Load()
	reader.observeEra(current.Era)
	if current.ListingNumber > reader.listingNumber {
		reader.logger.Info("upstreams were configured whose entries were not kept; reading all documents again", zap.Uint64("revision", reader.version.Revision))
		reader.listingNumber, reader.version.Revision = current.ListingNumber, 0
	}
	isListing := reader.version.Revision == 0
	changes, err := reader.call(ctx, current)
	isNewEra := reader.observeEra(changes.Era)
	if errors.Is(err, api.ErrHistoryGone) {
		reader.logger.Info("history is gone; reading all documents again", zap.Uint64("revision", reader.version.Revision))
		reader.version.Revision = 0
		return nil
	}
	if errors.Is(err, api.ErrRestored) {
		reader.listing = nil
	}
	if errors.Is(err, api.ErrUnreadable) {
		// The changes since reader.version may never become readable.
		reader.version.Revision = 0
	}
	if err != nil {
		return err
	}
	if isNewEra && !isListing {
		// The changes follow a revision of an earlier era.
		return nil
	}
	reader.logUnreadable(changes)
	if err := reader.checkVersion(ctx, current, changes); err != nil {
		return err
	}
	if err := reader.mailbox.Send(ctx, message.PlatformAnswered{AnsweredAt: time.Now(), Era: changes.Era, IsAfterFailure: reader.isFailing}); err != nil {
		return err
	}
	if isListing {
		return reader.receivePage(ctx, changes)
	}
	return reader.receiveChanges(ctx, current, changes)
}

// call requests the next page of a listing, or the changes since the last call.
func (reader *Reader[S]) call(ctx context.Context, current *view.View) (api.Changes, error) {
	store := reader.stores[reader.storeIndex]
	if reader.listing != nil {
		return readPage(ctx, store, reader.listing)
	}
	return store.Changes(ctx, reader.version.Revision, reader.maxWait(), current.KnownVersion)
}

// checkVersion returns an error if an answer is older than what this instance knows. A
// later page of a listing must not be older than the first one. The version of a part of an
// answer does not tell how old the answer is.
func (reader *Reader[S]) checkVersion(ctx context.Context, current *view.View, changes api.Changes) error {
	version := changes.Version()
	if changes.IsPart {
		return nil
	}
	if reader.listing != nil {
		if known := reader.listing.version; known.After(version) {
			return reader.rejectStale(ctx, version, known)
		}
		return nil
	}
	// Peers may have learned of a higher era during the call.
	knownEra := api.Version{Era: reader.currentView.Load().Era}
	if known := api.Latest(reader.version, newestVersion(current), knownEra); known.After(version) {
		return reader.rejectStale(ctx, version, known)
	}
	return nil
}

// receiveChanges sends control the documents that have changed.
func (reader *Reader[S]) receiveChanges(ctx context.Context, current *view.View, changes api.Changes) error {
	if err := reader.sendDocuments(ctx, changes.Documents); err != nil {
		return err
	}
	if !current.ConfigurationLackedSince.IsZero() {
		if err := reader.mailbox.Send(ctx, message.ConfigurationReceived{Version: changes.Version(), NotBefore: reader.configuredFrom(changes.Era)}); err != nil {
			return err
		}
	}
	reader.version = changes.Version()
	if len(changes.Documents) > 0 {
		sleep(ctx, batchDelay)
	}
	return nil
}

// receivePage sends control the documents of a page, and what control can infer from the
// keys that the page lacks. After the last page, the instance has the whole configuration.
func (reader *Reader[S]) receivePage(ctx context.Context, changes api.Changes) error {
	if reader.listing == nil {
		if changes.Era > 0 {
			// The store may hold less than peers, whose documents without numbers are not
			// taken after those of a listing in a later era.
			reader.awaitPeers(ctx)
		}
		reader.listing = &listing{version: changes.Version()}
	}
	listing := reader.listing
	if err := reader.sendDocuments(ctx, changes.Documents); err != nil {
		return err
	}
	listing.isIncomplete = listing.isIncomplete || !changes.IsComplete
	if changes.IsComplete {
		received := message.ListingReceived{Version: listing.version, Keys: make(map[string]bool, len(changes.Documents)), After: listing.next, Through: changes.Next}
		received.IsPart = changes.Next != "" || listing.isIncomplete
		for _, document := range changes.Documents {
			received.Keys[document.Key] = true
		}
		if err := reader.mailbox.Send(ctx, received); err != nil {
			return err
		}
	}
	if changes.Next != "" {
		listing.next = changes.Next
		return nil
	}
	reader.listing = nil
	reader.awaitPeers(ctx)
	if err := reader.mailbox.Send(ctx, message.ConfigurationReceived{Version: listing.version, NotBefore: reader.configuredFrom(listing.version.Era)}); err != nil {
		return err
	}
	reader.version = listing.version
	if len(changes.Documents) > 0 || listing.version.Revision == 0 {
		sleep(ctx, batchDelay)
	}
	return nil
}

// unreadableLogInterval is the least time between two lines about unreadable entries.
const unreadableLogInterval = 10 * time.Second

// logUnreadable logs that entries cannot be decoded. Such entries may be stated again with
// each answer.
func (reader *Reader[S]) logUnreadable(changes api.Changes) {
	if changes.UnreadableCount == 0 || time.Since(reader.unreadableLoggedAt) < unreadableLogInterval {
		return
	}
	reader.unreadableLoggedAt = time.Now()
	reader.logger.Warn("entries of the platform cannot be decoded", zap.Int("count", changes.UnreadableCount), zap.Uint64("revision", changes.Revision))
}

// configuredFrom returns from when on this instance serves by what it has read, without
// a peer. A store that states an era may have been restored from a copy, so that only
// peers know what callers have seen.
func (reader *Reader[S]) configuredFrom(era uint64) time.Time {
	if era == 0 {
		return time.Time{}
	}
	return reader.startedAt.Add(restoredPeerWait)
}

// awaitPeers waits until a peer has configured this instance, for at most the time in
// the settings after the start. The platform may be outdated; a peer that has been
// running longer then has newer documents, which must be in force before requests are
// served.
func (reader *Reader[S]) awaitPeers(ctx context.Context) {
	for time.Since(reader.startedAt) < reader.Settings.PeerWait.Duration && !reader.currentView.Load().IsConfigured && ctx.Err() == nil {
		sleep(ctx, peerPollInterval)
	}
}

// maxWait returns how long the next call may wait for a change: 0 for a listing of
// all documents, which must not wait.
func (reader *Reader[S]) maxWait() time.Duration {
	if reader.version.Revision == 0 {
		return 0
	}
	return reader.Settings.WatchWait.Duration
}

// observeEra records an era that the store or a peer stated. It reports whether the era
// is higher than that of the changes read so far, which must then be read anew.
func (reader *Reader[S]) observeEra(era uint64) bool {
	if era <= reader.version.Era {
		return false
	}
	if reader.version.Revision > 0 {
		reader.logger.Warn("store was restored from a copy; reading all documents again",
			zap.Uint64("era", era), zap.Uint64("previousEra", reader.version.Era), zap.Uint64("previousRevision", reader.version.Revision))
	}
	reader.version, reader.listing = api.Version{Era: era}, nil
	return true
}

// sendDocuments sends control the documents that it does not know.
func (reader *Reader[S]) sendDocuments(ctx context.Context, documents []api.Document) error {
	current := reader.currentView.Load()
	for _, document := range documents {
		if !document.Version().After(current.KnownVersion(document.Key)) {
			continue
		}
		decoded := api.Decode(document, reader.ParseDocument).WithoutUnusedValue()
		if err := reader.mailbox.Send(ctx, message.DocumentReceived{Decoded: decoded, IsFromPlatform: true}); err != nil {
			return err
		}
	}
	return nil
}

// newestVersion returns the newest version that this instance holds, from the platform
// or from peers.
func newestVersion(current *view.View) api.Version {
	var newest api.Version
	for _, document := range current.DocumentsInForce {
		newest = api.Latest(newest, document.Version())
	}
	for _, document := range current.RefusedDocuments {
		newest = api.Latest(newest, document.Version())
	}
	for _, document := range current.SupersededDocuments {
		newest = api.Latest(newest, document.Version())
	}
	return newest
}

// rejectStale reports a stale answer to control and returns a StaleError.
func (reader *Reader[S]) rejectStale(ctx context.Context, version, known api.Version) error {
	if err := reader.mailbox.Send(ctx, message.StaleAnswerReceived{}); err != nil {
		return err
	}
	return &StaleError{Peer: reader.stores[reader.storeIndex].Peer(), Version: version, KnownVersion: known}
}

// recordSuccess resets the backoff after a call that succeeded.
func (reader *Reader[S]) recordSuccess() {
	reader.backoff = minBackoff
	if !reader.isFailing {
		return
	}
	reader.isFailing = false
	reader.logger.Info("platform answers again", zap.String("peer", reader.stores[reader.storeIndex].Peer()))
}

// recordFailure selects the next store and sleeps before the next call, for a
// random time between half of the backoff and all of it. It logs only the first
// of several failures in a row.
func (reader *Reader[S]) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !reader.isFailing {
		reader.logger.Warn("platform call failed", zap.Error(err))
	}
	reader.isFailing = true
	reader.storeIndex = (reader.storeIndex + 1) % len(reader.stores)
	sleep(ctx, reader.backoff/2+rand.N(reader.backoff/2))
	reader.backoff = min(reader.backoff*2, maxBackoff)
}

// sleep waits for duration, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
