// Package platform watches the configuration service and tells control what
// it answers.
package platform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
	"github.com/mimosaspring/mimosaspring/internal/wire/toml"
)

// Times of the calls to the configuration service.
const (
	watchWait    = 20 * time.Second
	idleWait     = 200 * time.Millisecond
	leastBackoff = 100 * time.Millisecond
	mostBackoff  = 2 * time.Second
)

// Reader watches the configuration service while this instance is a reader.
type Reader struct {
	published *view.Published
	mailbox   *mailbox.Mailbox[message.Message]
	logger    *zap.Logger
	platforms []wire.Platform
	current   int
	revision  uint64
	backoff   time.Duration
}

// NewReader returns a reader of the service at addresses.
func NewReader(addresses []string, part *control.Control, logger *zap.Logger) *Reader {
	reader := &Reader{
		published: part.Published,
		mailbox:   part.Mailbox,
		logger:    logger,
		backoff:   leastBackoff,
	}
	client := &http.Client{}
	for _, address := range addresses {
		reader.platforms = append(reader.platforms, wire.Platform{Address: address, Client: client})
	}
	return reader
}

// Start starts the reader; it ends with ctx.
func (reader *Reader) Start(ctx context.Context) { go reader.run(ctx) }

func (reader *Reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !reader.published.Load().IsReader {
			pause(ctx, idleWait)
			continue
		}
		if err := reader.follow(ctx); err != nil {
			reader.fail(ctx, err)
			continue
		}
		reader.backoff = leastBackoff
	}
}

// follow waits for one change and reads the documents that are new.
func (reader *Reader) follow(ctx context.Context) error {
	platform := reader.platforms[reader.current]
	listing, err := platform.Watch(ctx, reader.revision, reader.wait())
	if err != nil {
		return err
	}
	if listing.Revision < max(reader.revision, newestRevision(reader.published.Load())) {
		return reader.refuseStale(ctx, listing.Revision)
	}
	if err := reader.mailbox.Send(ctx, message.PlatformAnswered{At: time.Now()}); err != nil {
		return err
	}
	if err := reader.readNew(ctx, platform, listing); err != nil {
		return err
	}
	reader.revision = listing.Revision
	return nil
}

// wait returns 0 for the first listing, which must not wait for a change.
func (reader *Reader) wait() time.Duration {
	if reader.revision == 0 {
		return 0
	}
	return watchWait
}

func (reader *Reader) readNew(ctx context.Context, platform wire.Platform, listing api.Listing) error {
	current := reader.published.Load()
	for _, key := range listing.Keys {
		if key.Revision <= knownRevision(current, key.Key) {
			continue
		}
		document, err := platform.Read(ctx, key.Key)
		if err != nil {
			return err
		}
		if document.Revision < key.Revision {
			return reader.refuseStale(ctx, document.Revision)
		}
		if err := reader.mailbox.Send(ctx, message.DocumentReceived{Received: toml.Parse(document)}); err != nil {
			return err
		}
	}
	return nil
}

// newestRevision returns the highest revision that this instance holds, from
// the platform or from peers.
func newestRevision(current *view.View) uint64 {
	var newest uint64
	for _, key := range current.Keys {
		newest = max(newest, key.InForce, key.Refused)
	}
	return newest
}

func knownRevision(current *view.View, key string) uint64 {
	return max(current.InForce[key].Revision, current.Refused[key].Revision)
}

func (reader *Reader) refuseStale(ctx context.Context, revision uint64) error {
	if err := reader.mailbox.Send(ctx, message.StaleAnswered{}); err != nil {
		return err
	}
	return &StaleError{Peer: reader.platforms[reader.current].Address, Revision: revision, Known: reader.revision}
}

// fail waits before the next try, at the next address.
func (reader *Reader) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	reader.logger.Warn("platform call failed", zap.Error(err))
	reader.current = (reader.current + 1) % len(reader.platforms)
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
