package platform_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/command/platform"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// scriptedStore answers with the next of its answers, and then waits.
type scriptedStore struct {
	answers []answer

	mutex sync.Mutex
	// afters holds the revisions that it was asked for.
	afters []uint64
}

func (scriptedstore *scriptedStore) asked() []uint64 {
	scriptedstore.mutex.Lock()
	defer scriptedstore.mutex.Unlock()
	return slices.Clone(scriptedstore.afters)
}

type answer struct {
	changes api.Changes
	err     error
}

func (scriptedstore *scriptedStore) Peer() string { return "store" }

func (scriptedstore *scriptedStore) Changes(ctx context.Context, after uint64, wait time.Duration, _ func(string) uint64) (api.Changes, error) {
	scriptedstore.mutex.Lock()
	scriptedstore.afters = append(scriptedstore.afters, after)
	scriptedstore.mutex.Unlock()
	if len(scriptedstore.answers) == 0 {
		<-ctx.Done()
		return api.Changes{}, ctx.Err()
	}
	next := scriptedstore.answers[0]
	scriptedstore.answers = scriptedstore.answers[1:]
	return next.changes, next.err
}

func document(key string, revision uint64) api.Document {
	return api.Document{Key: key, Revision: revision}
}

func parse(document api.Document) api.DecodedDocument { return api.DecodedDocument{Document: document} }

// TestReader checks what a reader takes from a store that loses its history,
// fails, or answers with something old.
func TestReader(t *testing.T) {
	whole := func(revision uint64, documents ...api.Document) answer {
		return answer{changes: api.Changes{Revision: revision, Documents: documents, IsComplete: true}}
	}
	changed := func(revision uint64, documents ...api.Document) answer {
		return answer{changes: api.Changes{Revision: revision, Documents: documents}}
	}
	gone := answer{err: errors.WithStack(api.ErrHistoryGone)}
	failed := answer{err: errors.New("down")}
	tests := map[string]struct {
		answers []answer
		afters  []uint64
		// inForce holds the revisions of the documents that are not removed.
		inForce map[string]uint64
		stale   int64
	}{
		"a listing and a change": {
			answers: []answer{whole(5, document("a", 3), document("b", 5)), changed(6, document("a", 6))},
			afters:  []uint64{0, 5, 6},
			inForce: map[string]uint64{"a": 6, "b": 5},
		},
		"history gone, one key missing": {
			answers: []answer{whole(5, document("a", 3), document("b", 5)), gone, whole(9, document("a", 3))},
			afters:  []uint64{0, 5, 0, 9},
			inForce: map[string]uint64{"a": 3},
		},
		"a failure in between": {
			answers: []answer{whole(5, document("a", 3)), failed, failed, changed(7, document("a", 7))},
			afters:  []uint64{0, 5, 5, 5, 7},
			inForce: map[string]uint64{"a": 7},
		},
		"an older answer": {
			answers: []answer{whole(5, document("a", 5)), changed(4, document("a", 4))},
			afters:  []uint64{0, 5, 5},
			inForce: map[string]uint64{"a": 5},
			stale:   1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				self := api.Member{Instance: api.Instance{Name: "a"}}
				part := control.New(control.NewState(self, time.Second, time.Now()), zap.NewNop())
				part.Start(ctx, control.Peers{SendGossip: func(api.Gossip) {}, Refresh: func() {}})
				store := &scriptedStore{answers: test.answers}
				reading := settings.Default().Reading
				platform.NewReader([]*scriptedStore{store}, parse, reading, part, zap.NewNop()).Start(ctx)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				assert.DeepEqual(t, store.asked(), test.afters)
				current := part.CurrentView.Load()
				assert.DeepEqual(t, revisions(current), test.inForce)
				assert.Equal(t, current.StaleAnswers, test.stale)
				cancel()
				synctest.Wait()
			})
		})
	}
}

func revisions(current *view.View) map[string]uint64 {
	revisions := make(map[string]uint64)
	for key, document := range current.DocumentsInForce {
		if !document.IsDeleted {
			revisions[key] = document.Revision
		}
	}
	return revisions
}

// TestReaderTakesOver checks that an instance which is no reader reads once
// nobody tells it that the platform answers, and not before.
func TestReaderTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		self := api.Member{Instance: api.Instance{Name: "a", FailureDomain: "d"}}
		state := control.NewState(self, time.Second, time.Now())
		state.ReadersPerFailureDomain = 0
		state.PlatformHeardAt = time.Now()
		part := control.New(state, zap.NewNop())
		part.Start(ctx, control.Peers{SendGossip: func(api.Gossip) {}, Refresh: func() {}})
		store := &scriptedStore{}
		reading := settings.Default().Reading
		reading.InForceWithin.Duration = 2400 * time.Millisecond
		platform.NewReader([]*scriptedStore{store}, parse, reading, part, zap.NewNop()).Start(ctx)
		time.Sleep(1900 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(store.asked()), 0)
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(store.asked()), 1)
		cancel()
		synctest.Wait()
	})
}
