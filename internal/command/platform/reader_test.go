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
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// scriptedStore returns its answers one after the other. Later calls wait until
// their context ends.
type scriptedStore struct {
	answers []answer

	mutex sync.Mutex
	// requestedAfter holds, for each call, the revision whose changes were requested.
	requestedAfter []uint64
}

func (scriptedstore *scriptedStore) requests() []uint64 {
	scriptedstore.mutex.Lock()
	defer scriptedstore.mutex.Unlock()
	return slices.Clone(scriptedstore.requestedAfter)
}

type answer struct {
	// delay is the time from the call to the answer.
	delay   time.Duration
	changes api.Changes
	err     error
}

func (scriptedstore *scriptedStore) Peer() string { return "store" }

func (scriptedstore *scriptedStore) Changes(ctx context.Context, after uint64, wait time.Duration, _ func(string) api.Version) (api.Changes, error) {
	scriptedstore.mutex.Lock()
	scriptedstore.requestedAfter = append(scriptedstore.requestedAfter, after)
	scriptedstore.mutex.Unlock()
	if len(scriptedstore.answers) == 0 {
		<-ctx.Done()
		return api.Changes{}, ctx.Err()
	}
	next := scriptedstore.answers[0]
	scriptedstore.answers = scriptedstore.answers[1:]
	time.Sleep(next.delay)
	return next.changes, next.err
}

// NextPage is not called: the answers hold whole listings.
func (scriptedstore *scriptedStore) NextPage(context.Context, string) (api.Changes, error) {
	return api.Changes{}, errors.New("no further page")
}

func document(key string, revision uint64) api.Document {
	return api.Document{Key: key, Revision: revision}
}

func parse(document api.Document) api.DecodedDocument { return api.DecodedDocument{Document: document} }

// TestReader checks which revisions a reader requests, and which documents are then
// in force, if the store loses its history, fails, or gives an outdated answer.
func TestReader(t *testing.T) {
	listing := func(revision uint64, documents ...api.Document) answer {
		return answer{changes: api.Changes{Revision: revision, Documents: documents, IsComplete: true}}
	}
	change := func(revision uint64, documents ...api.Document) answer {
		return answer{changes: api.Changes{Revision: revision, Documents: documents}}
	}
	historyGone := answer{err: errors.WithStack(api.ErrHistoryGone)}
	failure := answer{err: errors.New("down")}
	unreadable := answer{err: errors.WithMessage(api.ErrUnreadable, "watch")}
	tests := map[string]struct {
		answers []answer
		// wantRequests holds the revisions whose changes the reader requests.
		wantRequests []uint64
		// wantInForce holds the revisions of the documents that are in force, by
		// key.
		wantInForce      map[string]uint64
		wantStaleAnswers int64
	}{
		"a listing and a change": {
			answers:      []answer{listing(5, document("a", 3), document("b", 5)), change(6, document("a", 6))},
			wantRequests: []uint64{0, 5, 6},
			wantInForce:  map[string]uint64{"a": 6, "b": 5},
		},
		"history gone, one key missing": {
			answers:      []answer{listing(5, document("a", 3), document("b", 5)), historyGone, listing(9, document("a", 3))},
			wantRequests: []uint64{0, 5, 0, 9},
			wantInForce:  map[string]uint64{"a": 3},
		},
		"a failure in between": {
			answers:      []answer{listing(5, document("a", 3)), failure, failure, change(7, document("a", 7))},
			wantRequests: []uint64{0, 5, 5, 5, 7},
			wantInForce:  map[string]uint64{"a": 7},
		},
		"an unreadable watch": {
			answers:      []answer{listing(5, document("a", 3)), unreadable, listing(8, document("a", 7), document("b", 8)), change(9, document("b", 9))},
			wantRequests: []uint64{0, 5, 0, 8, 9},
			wantInForce:  map[string]uint64{"a": 7, "b": 9},
		},
		"an unreadable entry of a listing": {
			answers: []answer{
				listing(5, document("a", 3), document("b", 5)), historyGone,
				{changes: api.Changes{Revision: 9, Documents: []api.Document{document("a", 9)}, UnreadableCount: 1}},
			},
			wantRequests: []uint64{0, 5, 0, 9},
			wantInForce:  map[string]uint64{"a": 9, "b": 5},
		},
		"an outdated answer": {
			answers:          []answer{listing(5, document("a", 5)), change(4, document("a", 4))},
			wantRequests:     []uint64{0, 5, 5},
			wantInForce:      map[string]uint64{"a": 5},
			wantStaleAnswers: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				self := api.Member{Instance: api.Instance{Name: "a"}}
				controlPart := control.New(control.NewState(self, time.Second, time.Now()), zap.NewNop())
				controlPart.Start(ctx, control.PeerCalls{SendGossip: func(api.Gossip) {}, Refresh: func() {}})
				store := &scriptedStore{answers: test.answers}
				reading := settings.Default().Reading
				platform.NewReader([]*scriptedStore{store}, parse, reading, controlPart, zap.NewNop()).Start(ctx)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				assert.DeepEqual(t, store.requests(), test.wantRequests)
				current := controlPart.CurrentView.Load()
				assert.DeepEqual(t, revisions(current), test.wantInForce)
				assert.Equal(t, current.StaleAnswers, test.wantStaleAnswers)
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

// inEra returns documents as the store holds them in an era.
func inEra(era uint64, documents ...api.Document) []api.Document {
	changed := slices.Clone(documents)
	for index := range changed {
		changed[index].Era = era
	}
	return changed
}

// TestReaderAwaitsPeers starts an instance while the platform answers with outdated
// documents. A document that a peer knows to be newer, or withdrawn, must be in force
// before the instance is configured, that is, before it serves requests.
func TestReaderAwaitsPeers(t *testing.T) {
	listing := answer{changes: api.Changes{Revision: 5, Documents: []api.Document{document("a", 5), document("withdrawn", 4)}, IsComplete: true}}
	withdrawn := document("withdrawn", 8)
	withdrawn.IsDeleted = true
	tests := map[string]struct {
		// era is that of the store and of the documents of the peer.
		era uint64
		// peerDelay is the time from the start to the documents of a peer; 0 if there
		// is no peer.
		peerDelay        time.Duration
		wantConfiguredIn time.Duration
		// wantInitially and wantLater hold the revisions in force when the instance
		// is configured, and a second after that.
		wantInitially, wantLater map[string]uint64
	}{
		"a peer with newer documents":          {peerDelay: 50 * time.Millisecond, wantConfiguredIn: 50 * time.Millisecond, wantInitially: map[string]uint64{"a": 9}, wantLater: map[string]uint64{"a": 9}},
		"no peer":                              {wantConfiguredIn: 100 * time.Millisecond, wantInitially: map[string]uint64{"a": 5, "withdrawn": 4}, wantLater: map[string]uint64{"a": 5, "withdrawn": 4}},
		"a peer that answers too late":         {peerDelay: 300 * time.Millisecond, wantConfiguredIn: 100 * time.Millisecond, wantInitially: map[string]uint64{"a": 5, "withdrawn": 4}, wantLater: map[string]uint64{"a": 9}},
		"a late peer, the store may be a copy": {era: 1, peerDelay: 1600 * time.Millisecond, wantConfiguredIn: 1600 * time.Millisecond, wantInitially: map[string]uint64{"a": 9}, wantLater: map[string]uint64{"a": 9}},
		"no peer, the store may be a copy":     {era: 1, wantConfiguredIn: 2 * time.Second, wantInitially: map[string]uint64{"a": 5, "withdrawn": 4}, wantLater: map[string]uint64{"a": 5, "withdrawn": 4}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				start := time.Now()
				self := api.Member{Instance: api.Instance{Name: "a"}}
				controlPart := control.New(control.NewState(self, time.Second, start), zap.NewNop())
				controlPart.Start(ctx, control.PeerCalls{SendGossip: func(api.Gossip) {}, Refresh: func() {}})
				listed := answer{changes: listing.changes}
				listed.changes.Era, listed.changes.Documents = test.era, inEra(test.era, listing.changes.Documents...)
				store := &scriptedStore{answers: []answer{listed}}
				platform.NewReader([]*scriptedStore{store}, parse, settings.Default().Reading, controlPart, zap.NewNop()).Start(ctx)
				if test.peerDelay > 0 {
					time.AfterFunc(test.peerDelay, func() {
						for _, sent := range inEra(test.era, document("a", 9), withdrawn) {
							_ = controlPart.Mailbox.Send(ctx, message.DocumentReceived{Decoded: parse(sent)})
						}
						_ = controlPart.Mailbox.Send(ctx, message.ConfigurationReceived{})
					})
				}
				for !controlPart.CurrentView.Load().IsConfigured {
					time.Sleep(time.Millisecond)
				}
				took := time.Since(start)
				assert.Assert(t, took >= test.wantConfiguredIn && took <= test.wantConfiguredIn+10*time.Millisecond, "%s", took)
				assert.DeepEqual(t, revisions(controlPart.CurrentView.Load()), test.wantInitially)
				time.Sleep(time.Second)
				assert.DeepEqual(t, revisions(controlPart.CurrentView.Load()), test.wantLater)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestReaderTakesOver checks that an instance without the reader role starts to
// read once no other instance has reported an answer of the platform for
// StaleAfter, 83% of 2.4 s, and not before.
func TestReaderTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		self := api.Member{Instance: api.Instance{Name: "a", FailureDomain: "d"}}
		state := control.NewState(self, time.Second, time.Now())
		state.ReadersPerFailureDomain = 0
		state.PlatformAnsweredAt = time.Now()
		controlPart := control.New(state, zap.NewNop())
		controlPart.Start(ctx, control.PeerCalls{SendGossip: func(api.Gossip) {}, Refresh: func() {}})
		store := &scriptedStore{}
		reading := settings.Default().Reading
		reading.InForceWithin.Duration = 2400 * time.Millisecond
		platform.NewReader([]*scriptedStore{store}, parse, reading, controlPart, zap.NewNop()).Start(ctx)
		time.Sleep(1900 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(store.requests()), 0)
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(store.requests()), 1)
		cancel()
		synctest.Wait()
	})
}

// TestReaderReadsWhatIsLacked checks that an instance without the reader role reads the
// platform once it has lacked the configuration of a peer for LackAfter, 30% of 2 s,
// though the platform answers other instances, and that it stops when it has all of it.
func TestReaderReadsWhatIsLacked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		self := api.Member{Instance: api.Instance{Name: "a", FailureDomain: "d"}}
		state := control.NewState(self, time.Second, time.Now())
		state.ReadersPerFailureDomain = 0
		state.IsConfigured = true
		state.PlatformAnsweredAt = time.Now().Add(time.Minute)
		controlPart := control.New(state, zap.NewNop())
		controlPart.Start(ctx, control.PeerCalls{SendGossip: func(api.Gossip) {}, Refresh: func() {}})
		listing := api.Changes{Revision: 12, Documents: []api.Document{document("a", 11)}, IsComplete: true}
		store := &scriptedStore{answers: []answer{{changes: listing}, {delay: time.Second, err: errors.New("no change")}}}
		reading := settings.Default().Reading
		reading.InForceWithin.Duration = 2 * time.Second
		platform.NewReader([]*scriptedStore{store}, parse, reading, controlPart, zap.NewNop()).Start(ctx)
		assert.NilError(t, controlPart.Mailbox.Send(ctx, message.ConfigurationAnnounced{Version: api.Version{Revision: 11}}))
		time.Sleep(550 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(store.requests()), 0)
		time.Sleep(450 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(store.requests()), 1)
		assert.Equal(t, controlPart.CurrentView.Load().CoveredVersion, api.Version{Revision: 12})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(store.requests()), 1)
		cancel()
		synctest.Wait()
	})
}

// TestReaderTakesParts guards against an answer that is read in parts and is taken for a stale
// one, again and again, because a peer has sent something newer meanwhile.
func TestReaderTakesParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		state := control.NewState(api.Member{Instance: api.Instance{Name: "a"}}, time.Second, time.Now())
		controlPart := control.New(state, zap.NewNop())
		controlPart.Start(ctx, control.PeerCalls{SendGossip: func(api.Gossip) {}, Refresh: func() {}})
		store := &scriptedStore{answers: []answer{
			{changes: api.Changes{Revision: 5, Documents: []api.Document{document("a", 5)}, IsComplete: true}},
			{delay: time.Second, changes: api.Changes{Revision: 7, Documents: []api.Document{document("b", 7)}, IsPart: true}},
			{changes: api.Changes{Revision: 9, Documents: []api.Document{document("d", 9)}, IsPart: true}},
			{changes: api.Changes{Revision: 60, Documents: []api.Document{document("c", 60)}}},
		}}
		platform.NewReader([]*scriptedStore{store}, parse, settings.Default().Reading, controlPart, zap.NewNop()).Start(ctx)
		time.Sleep(900 * time.Millisecond)
		assert.NilError(t, controlPart.Mailbox.Send(ctx, message.DocumentReceived{Decoded: parse(document("z", 50))}))
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, store.requests(), []uint64{0, 5, 7, 9, 60})
		assert.Equal(t, controlPart.CurrentView.Load().DocumentsInForce["d"].Revision, uint64(9))
		cancel()
		synctest.Wait()
	})
}
