package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/cbor"
)

// receiveGossip sends gossip to control, and starts to read from its sender the
// documents that are newer than those known here, unless they are being read from
// another neighbour.
func (peers *Peers) receiveGossip(ctx context.Context, gossip api.Gossip) {
	current := peers.currentView.Load()
	documentreader := &documentReader{peers: peers, address: gossip.From}
	for _, keyrevision := range gossip.Keys {
		if !current.HeldVersions(keyrevision.Key).Lacks(keyrevision) || gossip.From == "" {
			continue
		}
		if keyrevision.Refusal != nil {
			peers.receiveRefused(ctx, keyrevision)
			continue
		}
		if pendingread := peers.beginRead(keyrevision, gossip.From); pendingread != nil {
			documentreader.keys = append(documentreader.keys, keyrevision.Key)
			documentreader.pendingReads = append(documentreader.pendingReads, pendingread)
		}
	}
	_ = peers.mailbox.Send(ctx, message.GossipReceived{Gossip: gossip})
	if len(documentreader.keys) > 0 {
		go documentreader.run()
	}
}

// receiveRefused sends control a document that cannot be used, and whose content is
// therefore not read.
func (peers *Peers) receiveRefused(ctx context.Context, keyrevision api.KeyRevision) {
	document := api.Document{Key: keyrevision.Key, Era: keyrevision.Era, Revision: keyrevision.Revision, Refusal: keyrevision.Refusal}
	_ = peers.mailbox.Send(ctx, message.DocumentReceived{Decoded: api.Decode(document, peers.parseDocument)})
}

// pendingRead is the read of one document from a peer.
type pendingRead struct {
	// version is the version that was announced.
	version api.Version
	// startedAt is when the read began. For callTimeout the document is not read
	// again, since it may be on its way into a View.
	startedAt time.Time
	// otherSource is the address of the last other peer that announced the same
	// version or a newer one; nil if none did.
	otherSource atomic.Pointer[string]
}

// beginRead returns the read of the announced document from the peer at address, if
// the caller should start it. If the document is being read from another peer,
// beginRead remembers the address in case that read fails, and returns nil.
func (peers *Peers) beginRead(keyrevision api.KeyRevision, address string) *pendingRead {
	started := &pendingRead{version: keyrevision.Version(), startedAt: time.Now()}
	stored, isPending := peers.pendingReads.LoadOrStore(keyrevision.Key, started)
	if !isPending {
		return started
	}
	pendingread := stored.(*pendingRead)
	if !keyrevision.Version().After(pendingread.version) && time.Since(pendingread.startedAt) < callTimeout {
		pendingread.otherSource.Store(&address)
		return nil
	}
	if !peers.pendingReads.CompareAndSwap(keyrevision.Key, pendingread, started) {
		return nil
	}
	return started
}

// deleteOldReads deletes the pending reads that began more than callTimeout ago.
func (peers *Peers) deleteOldReads() {
	peers.pendingReads.Range(func(key, stored any) bool {
		if time.Since(stored.(*pendingRead).startedAt) > callTimeout {
			peers.pendingReads.CompareAndDelete(key, stored)
		}
		return true
	})
}

// documentReader reads documents from a peer whose gossip announced them.
type documentReader struct {
	peers   *Peers
	address string
	// keys and pendingReads hold the keys of the documents and the reads of them.
	keys         []string
	pendingReads []*pendingRead
}

// run reads the documents. If the peer does not answer, it reads them once more
// from another one that announced them.
func (documentreader *documentReader) run() {
	err := documentreader.read(documentreader.address)
	if other := documentreader.otherSource(); err != nil && other != "" {
		documentreader.peers.logger.Debug("documents not read from peer; trying another one", zap.Error(err))
		err = documentreader.read(other)
	}
	if err == nil {
		return
	}
	documentreader.peers.logger.Debug("documents not read from peer; a sync will make up for it", zap.Error(err))
	for index, key := range documentreader.keys {
		documentreader.peers.pendingReads.CompareAndDelete(key, documentreader.pendingReads[index])
	}
}

// read reads the documents from the peer at address, with several calls if one reply has no
// room for all.
func (documentreader *documentReader) read(address string) error {
	keys := documentreader.keys
	for len(keys) > 0 {
		reply, err := documentreader.peers.call(address, api.PeerRequest{ReadKeys: keys})
		if err != nil {
			return err
		}
		documentreader.peers.receiveDocuments(documentreader.peers.ctx, reply.Documents)
		received := make(map[string]bool, len(reply.Documents))
		for _, document := range reply.Documents {
			received[document.Key] = true
		}
		left := slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return received[key] })
		if len(left) == len(keys) {
			// The peer no longer has the others.
			return nil
		}
		keys = left
	}
	return nil
}

// otherSource returns the address of another peer that announced one of the
// documents, or "" if none did.
func (documentreader *documentReader) otherSource() string {
	for _, pendingread := range documentreader.pendingReads {
		if address := pendingread.otherSource.Load(); address != nil {
			return *address
		}
	}
	return ""
}

// receiveDocuments sends documents to control in the order in which they came. A
// peer sends the document in force before a newer one that was refused. It reports
// whether all of them were sent.
func (peers *Peers) receiveDocuments(ctx context.Context, documents []api.Document) bool {
	isComplete := true
	for _, document := range documents {
		decompressed, err := cbor.DecompressDocument(document)
		if err != nil {
			peers.logger.Warn("document of a peer dropped, since it could not be decompressed; a sync will make up for it", zap.Error(err))
			isComplete = false
			continue
		}
		decoded := api.Decode(decompressed, peers.parseDocument).WithoutUnusedValue()
		err = peers.mailbox.Send(ctx, message.DocumentReceived{Decoded: decoded})
		isComplete = isComplete && err == nil
	}
	return isComplete
}

// Bounds of the documents in one reply to a peer. One document is sent even if it exceeds
// maxReplyBytes, so that each exchange gets further.
const (
	// maxReplyBytes is the length of the documents together. The smallest instance can read
	// a reply of this length beside others.
	maxReplyBytes = 1 << 20
	// documentOverheadBytes is the length of an encoded document without its value.
	documentOverheadBytes = 64
)

// documentBatch collects the documents of one reply.
type documentBatch struct {
	peers     *Peers
	current   *view.View
	documents []api.Document
	bytes     int
}

// add adds the documents of one key, in the form in which they are sent to peers. It
// reports false if the reply has no room for them.
func (documentbatch *documentBatch) add(lacked []api.Document) bool {
	now := time.Now()
	length := 0
	lacked = documentbatch.peers.compressDocuments(lacked)
	for index, document := range lacked {
		if removedAt, isRemoved := documentbatch.current.RemovedAt[document.Key]; isRemoved && document.IsDeleted {
			lacked[index].AgeSeconds = ageSeconds(removedAt, now)
		}
		length += documentOverheadBytes + len(document.Key) + len(document.Value) + len(document.Compressed)
		if document.Refusal != nil {
			length += len(document.Refusal.Reason)
		}
	}
	if len(documentbatch.documents) > 0 && documentbatch.bytes+length > maxReplyBytes {
		return false
	}
	documentbatch.documents = append(documentbatch.documents, lacked...)
	documentbatch.bytes += length
	return true
}

// readDocuments returns the documents that are known for keys, as far as the reply has room
// for them, in the form in which they are sent to peers.
func (peers *Peers) readDocuments(keys []string) []api.Document {
	batch := documentBatch{peers: peers, current: peers.currentView.Load()}
	for _, key := range keys {
		if !batch.add(batch.current.DocumentsLacked(key, view.HeldVersions{})) {
			break
		}
	}
	return batch.documents
}

// compressDocuments replaces the long documents by their compressed form, in
// place, and returns documents. It compresses each version of a key only once.
func (peers *Peers) compressDocuments(documents []api.Document) []api.Document {
	for index, document := range documents {
		var compressedVersions []api.Document
		if known, isKnown := peers.compressedDocuments.Load(document.Key); isKnown {
			compressedVersions = known.([]api.Document)
		}
		isSame := func(known api.Document) bool { return known.Version() == document.Version() }
		if knownIndex := slices.IndexFunc(compressedVersions, isSame); knownIndex >= 0 {
			documents[index] = compressedVersions[knownIndex]
			continue
		}
		compressed, err := cbor.CompressDocument(document)
		if err != nil {
			peers.logger.Warn("document not compressed; sent as it is", zap.Error(err))
			continue
		}
		if len(compressed.Compressed) > 0 {
			latest := append([]api.Document{compressed}, compressedVersions...)
			peers.compressedDocuments.Store(document.Key, latest[:min(len(latest), 2)])
		}
		documents[index] = compressed
	}
	return documents
}

// deleteCompressed deletes the compressed documents of keys that are no longer known.
func (peers *Peers) deleteCompressed() {
	current := peers.currentView.Load()
	peers.compressedDocuments.Range(func(key, stored any) bool {
		held := current.HeldVersions(key.(string))
		isHeld := func(document api.Document) bool {
			return document.Version() == held.InForce.Stored || document.Version() == held.Superseded
		}
		if !slices.ContainsFunc(stored.([]api.Document), isHeld) {
			peers.compressedDocuments.Delete(key)
		}
		return true
	})
}

// answerSync sends the requesting peer to control as a member. It returns all
// members, leaving replicas and stopped homes, and the documents that the peer
// lacks. An instance that is not configured syncs with the peer in turn.
func (peers *Peers) answerSync(ctx context.Context, request api.SyncRequest) api.PeerReply {
	_ = peers.mailbox.Send(ctx, message.GossipReceived{Gossip: api.Gossip{Members: []api.Member{request.From}}})
	current := peers.currentView.Load()
	if !current.IsConfigured && len(request.RevisionsInForce) > 0 {
		// This instance has just started, and the peer may be the only one that knows
		// the newest configuration.
		peers.startSync(request.From.Instance.PeerAddress)
	}
	held := heldVersions(request)
	now := time.Now()
	reply := &api.SyncReply{
		IsConfigured:          current.IsConfigured,
		IsSettled:             current.IsSettled,
		ConfigurationEra:      current.ConfigurationVersion.Era,
		ConfigurationRevision: current.ConfigurationVersion.Revision,
		Platform:              platformTimes(current),
	}
	for _, timestamped := range current.LeavingReplicas {
		timestamped.Value.AgeSeconds = ageSeconds(timestamped.LearnedAt, now)
		reply.LeavingReplicas = append(reply.LeavingReplicas, timestamped.Value)
	}
	for _, timestamped := range current.StoppedHomes {
		timestamped.Value.AgeSeconds = ageSeconds(timestamped.LearnedAt, now)
		reply.StoppedHomes = append(reply.StoppedHomes, timestamped.Value)
	}
	batch := documentBatch{peers: peers, current: current}
	last := request.After
	for _, status := range current.KeyStatuses {
		if status.Key <= request.After {
			continue
		}
		if !batch.add(current.DocumentsLacked(status.Key, held[status.Key])) {
			// An instance of an earlier version, too, must not take these for all documents.
			reply.Next, reply.IsConfigured = last, false
			break
		}
		last = status.Key
	}
	reply.Documents = batch.documents
	for name, member := range current.Members {
		if endedAt, isEnded := current.EndedAt[name]; isEnded {
			member.AgeSeconds = ageSeconds(endedAt, now)
		}
		reply.Members = append(reply.Members, member)
	}
	return api.PeerReply{Sync: reply}
}

// ageSeconds returns the time from since to now in whole seconds, rounded up.
func ageSeconds(start, now time.Time) uint32 {
	return uint32(max(now.Sub(start)+time.Second-1, 0) / time.Second)
}

// heldVersions returns what the sender of request holds of each key.
func heldVersions(request api.SyncRequest) map[string]view.HeldVersions {
	held := make(map[string]view.HeldVersions, len(request.RevisionsInForce))
	for _, key := range request.RevisionsInForce {
		held[key.Key] = view.HeldVersions{InForce: key.Precedence()}
	}
	for _, key := range request.RefusedRevisions {
		versions := held[key.Key]
		versions.Refused = key.Version()
		held[key.Key] = versions
	}
	for _, key := range request.SupersededRevisions {
		versions := held[key.Key]
		versions.Superseded = key.Version()
		held[key.Key] = versions
	}
	return held
}

// Sync asks the peer at address for everything that this instance lacks, and sends
// the answer to control. It asks again while a reply leaves documents out. It returns an
// error if a call fails.
func (peers *Peers) Sync(ctx context.Context, address string) error {
	request := syncRequest(peers.currentView.Load())
	isComplete := true
	for {
		reply, err := peers.endpoint.Call(ctx, address, api.PeerRequest{Sync: request})
		if err != nil || reply.Sync == nil {
			return err
		}
		// Control decides by these times about documents that the store no longer has.
		if err := peers.mailbox.Send(ctx, platformMessage(reply.Sync.Platform, time.Now())); err != nil {
			return err
		}
		isComplete = peers.receiveDocuments(ctx, reply.Sync.Documents) && isComplete
		if err := peers.receiveSync(ctx, reply.Sync, isComplete && reply.Sync.Next == ""); err != nil {
			return err
		}
		if reply.Sync.Next <= request.After {
			return nil
		}
		request.After = reply.Sync.Next
	}
}

// syncRequest returns the statement of what an instance with the View holds.
func syncRequest(current *view.View) *api.SyncRequest {
	request := &api.SyncRequest{From: current.Self}
	for _, document := range current.DocumentsInForce {
		request.RevisionsInForce = append(request.RevisionsInForce, document.KeyRevision())
	}
	for _, document := range current.RefusedDocuments {
		keyrevision := document.KeyRevision()
		keyrevision.Refusal = nil
		if document.IsIgnored() {
			// Instances of earlier versions count it as in force.
			request.RevisionsInForce = append(request.RevisionsInForce, keyrevision)
			continue
		}
		request.RefusedRevisions = append(request.RefusedRevisions, keyrevision)
	}
	for _, document := range current.SupersededDocuments {
		request.SupersededRevisions = append(request.SupersededRevisions, document.KeyRevision())
	}
	return request
}

// receiveSync sends control what a reply to a sync holds besides documents. If hasAll is set,
// this instance has received all documents that the peer has.
func (peers *Peers) receiveSync(ctx context.Context, reply *api.SyncReply, hasAll bool) error {
	if hasAll && reply.IsConfigured {
		version := api.Version{Era: reply.ConfigurationEra, Revision: reply.ConfigurationRevision}
		if err := peers.mailbox.Send(ctx, message.ConfigurationReceived{Version: version}); err != nil {
			return err
		}
	}
	gossip := api.Gossip{Members: reply.Members, LeavingReplicas: reply.LeavingReplicas, StoppedHomes: reply.StoppedHomes}
	if err := peers.mailbox.Send(ctx, message.GossipReceived{Gossip: gossip}); err != nil || !reply.IsSettled {
		return err
	}
	return peers.mailbox.Send(ctx, message.MembersReceived{})
}

// syncer runs one sync with one peer.
type syncer struct {
	peers   *Peers
	address string
}

func (syncer *syncer) run() {
	ctx, cancel := context.WithTimeout(syncer.peers.ctx, callTimeout)
	defer cancel()
	if err := syncer.peers.Sync(ctx, syncer.address); err != nil {
		syncer.peers.logger.Debug("sync with peer failed", zap.Error(err))
	}
}

// startSync starts a sync with the peer at address, unless one started less than
// minSyncInterval ago.
func (peers *Peers) startSync(address string) {
	now := time.Now()
	last, isKnown := peers.syncTimes.Load(address)
	if isKnown && now.Sub(last.(time.Time)) < minSyncInterval {
		return
	}
	peers.syncTimes.Store(address, now)
	syncer := &syncer{peers: peers, address: address}
	go syncer.run()
}

// Refresh syncs with one of the neighbours after a pause of this process, without
// waiting for the result. It tries them in random order, each over a new
// connection, for at most view.MaxRefreshWait, and then sends
// message.RefreshCompleted to control.
func (peers *Peers) Refresh() {
	refresher := &refresher{peers: peers}
	go refresher.run()
}

// refresher runs the syncs of one Refresh.
type refresher struct{ peers *Peers }

func (refresher *refresher) run() {
	peers := refresher.peers
	ctx, cancel := context.WithTimeout(peers.ctx, view.MaxRefreshWait)
	defer cancel()
	members := peers.neighbours()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, member := range members {
		peers.endpoint.Reset(member.Instance.PeerAddress)
		if peers.Sync(ctx, member.Instance.PeerAddress) == nil || ctx.Err() != nil {
			break
		}
	}
	_ = peers.mailbox.Send(peers.ctx, message.RefreshCompleted{})
}
