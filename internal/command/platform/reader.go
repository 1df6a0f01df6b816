// Package platform watches the configuration service and tells control what
// it answers.
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
	idleWait = 200 * time.Millisecond
	// gatherTime is the wait after an answer with changes, so that one call
	// brings those that follow closely. Each call counts against the platform's
	// rate; a change is due everywhere within seconds.
	gatherTime   = 300 * time.Millisecond
	leastBackoff = 100 * time.Millisecond
	mostBackoff  = time.Second
	// settleTime is how long after the service's return an entry may be missing
	// that is still alive; instances register anew within about two seconds.
	settleTime = 2500 * time.Millisecond
)

// Store is the platform's configuration service at one address.
type Store interface {
	// Changes returns the documents that are newer than revision after, or
	// all of them after 0. It waits up to wait for one. The function known
	// returns the revision that the reader holds of a key, or 0.
	Changes(ctx context.Context, after uint64, wait time.Duration, known func(key string) uint64) (api.Changes, error)
	// Peer returns the store's address.
	Peer() string
}

// Reader watches the configuration service while this instance is a reader,
// or hears from no other instance that the service answers.
type Reader[S Store] struct {
	// Parse reads and checks a document.
	Parse    func(document api.Document) api.DecodedDocument
	Settings settings.Reading

	published *view.PublishedView
	mailbox   *mailbox.Mailbox[message.Message]
	logger    *zap.Logger
	stores    []S
	current   int
	revision  uint64
	backoff   time.Duration
	// settles is until when removals may be entries that lapsed while the
	// service was away.
	settles   time.Time
	isFailing bool
}

// NewReader returns a reader of the given stores, which hold the same.
func NewReader[S Store](stores []S, parse func(api.Document) api.DecodedDocument, settings settings.Reading, part *control.Control, logger *zap.Logger) *Reader[S] {
	return &Reader[S]{
		Parse:     parse,
		Settings:  settings,
		published: part.CurrentView,
		mailbox:   part.Mailbox,
		logger:    logger,
		stores:    stores,
		backoff:   leastBackoff,
		settles:   time.Now().Add(settleTime),
	}
}

// Start starts the reader; it ends with ctx.
func (reader *Reader[S]) Start(ctx context.Context) { go reader.run(ctx) }

func (reader *Reader[S]) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !reader.isDue() {
			pause(ctx, idleWait)
			continue
		}
		if err := reader.follow(ctx); err != nil {
			reader.fail(ctx, err)
			continue
		}
		reader.recover()
	}
}

// isDue reports whether this instance reads: in its role, or because nobody
// it hears has had an answer lately.
func (reader *Reader[S]) isDue() bool {
	current := reader.published.Load()
	return current.IsReader || time.Since(current.PlatformAnsweredAt) > reader.Settings.StaleAfter()
}

// follow waits for changes and passes them on.
func (reader *Reader[S]) follow(ctx context.Context) error {
	store := reader.stores[reader.current]
	before := reader.published.Load()
	floor := max(reader.revision, newestRevision(before))
	known := func(key string) uint64 { return knownRevision(before, key) }
	changes, err := store.Changes(ctx, reader.revision, reader.wait(), known)
	if errors.Is(err, api.ErrHistoryGone) {
		reader.logger.Info("history is gone; reading all documents anew", zap.Uint64("revision", reader.revision))
		reader.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	if changes.Revision < floor {
		return reader.refuseStale(ctx, changes.Revision, floor)
	}
	if err := reader.mailbox.Send(ctx, message.PlatformAnswered{At: time.Now()}); err != nil {
		return err
	}
	if err := reader.pass(ctx, changes); err != nil {
		return err
	}
	reader.revision = changes.Revision
	if len(changes.Documents) > 0 {
		pause(ctx, gatherTime)
	}
	return nil
}

// wait returns 0 for the first listing, which must not wait for a change.
func (reader *Reader[S]) wait() time.Duration {
	if reader.revision == 0 {
		return 0
	}
	return reader.Settings.WatchWait.Duration
}

// pass tells control the documents that changed or were removed.
func (reader *Reader[S]) pass(ctx context.Context, changes api.Changes) error {
	current := reader.published.Load()
	documents := changes.Documents
	if changes.IsComplete {
		documents = append(documents, Removed(current, changes)...)
	}
	isUnsettled := reader.isFailing || time.Now().Before(reader.settles)
	for _, document := range documents {
		if document.Revision <= knownRevision(current, document.Key) {
			continue
		}
		received := message.DocumentReceived{Decoded: reader.Parse(document), MayHaveLapsed: document.IsDeleted && isUnsettled}
		if ignored := received.Decoded.IgnoredReason; ignored != "" {
			reader.logger.Info("document names nothing to use", zap.String("key", document.Key), zap.Uint64("revision", document.Revision), zap.String("reason", ignored))
		}
		if err := reader.mailbox.Send(ctx, received); err != nil {
			return err
		}
	}
	return nil
}

// Removed returns the removals that a whole listing proves: of the documents
// that current holds, those which are not listed and not newer.
func Removed(current *view.View, listing api.Changes) []api.Document {
	listed := make(map[string]bool, len(listing.Documents))
	for _, document := range listing.Documents {
		listed[document.Key] = true
	}
	var removed []api.Document
	for key, document := range current.DocumentsInForce {
		if !listed[key] && !document.IsDeleted && document.Revision < listing.Revision {
			removed = append(removed, api.Document{Key: key, Revision: listing.Revision, IsDeleted: true})
		}
	}
	return removed
}

// newestRevision returns the highest revision that this instance holds, from
// the platform or from peers.
func newestRevision(current *view.View) uint64 {
	var newest uint64
	for _, key := range current.KeyStatuses {
		newest = max(newest, key.RevisionInForce, key.RefusedRevision)
	}
	return newest
}

func knownRevision(current *view.View, key string) uint64 {
	return max(current.DocumentsInForce[key].Revision, current.RefusedDocuments[key].Revision)
}

func (reader *Reader[S]) refuseStale(ctx context.Context, revision, known uint64) error {
	if err := reader.mailbox.Send(ctx, message.StaleAnswerReceived{}); err != nil {
		return err
	}
	return &StaleError{Peer: reader.stores[reader.current].Peer(), Revision: revision, Known: known}
}

// recover notes that the service answers again.
func (reader *Reader[S]) recover() {
	reader.backoff = leastBackoff
	if !reader.isFailing {
		return
	}
	reader.isFailing = false
	reader.settles = time.Now().Add(settleTime)
	reader.logger.Info("platform answers again", zap.String("peer", reader.stores[reader.current].Peer()))
}

// fail waits before the next try, at the next address.
func (reader *Reader[S]) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !reader.isFailing {
		reader.logger.Warn("platform call failed", zap.Error(err))
	}
	reader.isFailing = true
	reader.current = (reader.current + 1) % len(reader.stores)
	pause(ctx, reader.backoff/2+rand.N(reader.backoff/2))
	reader.backoff = min(reader.backoff*2, mostBackoff)
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
