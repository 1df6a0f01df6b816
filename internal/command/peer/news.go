package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/cbor"
)

// takeGossip tells control the members and marks, and reads from the sender
// the documents that are news here.
func (peers *Peers) takeGossip(ctx context.Context, gossip api.Gossip) {
	current := peers.published.Load()
	var wanted []string
	for _, key := range gossip.Keys {
		known := max(current.DocumentsInForce[key.Key].Revision, current.RefusedDocuments[key.Key].Revision)
		if key.Revision > known {
			wanted = append(wanted, key.Key)
		}
	}
	_ = peers.mailbox.Send(ctx, message.GossipReceived{Gossip: gossip})
	if len(wanted) > 0 && gossip.From != "" {
		puller := &puller{peers: peers, address: gossip.From, keys: wanted}
		go puller.run()
	}
}

// puller reads documents from a peer that announced them.
type puller struct {
	peers   *Peers
	address string
	keys    []string
}

func (puller *puller) run() {
	reply, err := puller.peers.call(puller.address, api.PeerRequest{ReadKeys: puller.keys})
	if err != nil {
		puller.peers.logger.Debug("documents not read; a digest will repair it", zap.Error(err))
		return
	}
	puller.peers.takeDocuments(puller.peers.ctx, reply.Documents)
}

// takeDocuments tells control documents in the order in which they come, so
// that one in force comes before a newer one that was refused.
func (peers *Peers) takeDocuments(ctx context.Context, documents []api.Document) {
	for _, document := range documents {
		unpacked, err := cbor.Unpack(document)
		if err != nil {
			peers.logger.Warn("document of a peer dropped; a digest will repair it", zap.Error(err))
			continue
		}
		_ = peers.mailbox.Send(ctx, message.DocumentReceived{Decoded: peers.parse(unpacked)})
	}
}

func (peers *Peers) readDocuments(keys []string) []api.Document {
	current := peers.published.Load()
	var documents []api.Document
	for _, key := range keys {
		documents = appendKnown(documents, current, key, 0, 0)
	}
	return peers.pack(documents)
}

// pack compresses long documents, each revision of a key once.
func (peers *Peers) pack(documents []api.Document) []api.Document {
	for index, document := range documents {
		known, isKnown := peers.packed.Load(document.Key)
		if isKnown && known.(api.Document).Revision == document.Revision {
			documents[index] = known.(api.Document)
			continue
		}
		packed, err := cbor.Pack(document)
		if err != nil {
			peers.logger.Warn("document is passed on as it is", zap.Error(err))
			continue
		}
		if len(packed.Compressed) > 0 {
			peers.packed.Store(document.Key, packed)
		}
		documents[index] = packed
	}
	return documents
}

// appendKnown appends what current holds of key beyond the given revisions.
func appendKnown(documents []api.Document, current *view.View, key string, inForce, refused uint64) []api.Document {
	if document, isKnown := current.DocumentsInForce[key]; isKnown && document.Revision > inForce {
		documents = append(documents, document)
	}
	if document, isKnown := current.RefusedDocuments[key]; isKnown && document.Revision > refused {
		documents = append(documents, document)
	}
	return documents
}

// answerSync answers with all that the asking peer lacks.
func (peers *Peers) answerSync(ctx context.Context, request api.SyncRequest) api.PeerReply {
	_ = peers.mailbox.Send(ctx, message.GossipReceived{Gossip: api.Gossip{Members: []api.Member{request.From}}})
	current := peers.published.Load()
	inForce := revisions(request.InForce)
	refused := revisions(request.Refused)
	now := time.Now()
	reply := &api.SyncReply{}
	for _, learned := range current.LeavingReplicas {
		learned.Value.AgeSeconds = ageSeconds(learned.LearnedAt, now)
		reply.LeavingReplicas = append(reply.LeavingReplicas, learned.Value)
	}
	for _, learned := range current.StoppedHomes {
		learned.Value.AgeSeconds = ageSeconds(learned.LearnedAt, now)
		reply.StoppedHomes = append(reply.StoppedHomes, learned.Value)
	}
	for _, status := range current.KeyStatuses {
		key := status.Key
		reply.Documents = appendKnown(reply.Documents, current, key, inForce[key], refused[key])
	}
	reply.Documents = peers.pack(reply.Documents)
	for name, member := range current.Members {
		if since, isEnded := current.EndedAt[name]; isEnded {
			member.AgeSeconds = ageSeconds(since, now)
		}
		reply.Members = append(reply.Members, member)
	}
	return api.PeerReply{Sync: reply}
}

// ageSeconds returns the age of news in whole seconds, rounded up.
func ageSeconds(since, now time.Time) uint32 {
	return uint32(max(now.Sub(since)+time.Second-1, 0) / time.Second)
}

func revisions(keys []api.KeyRevision) map[string]uint64 {
	revisions := make(map[string]uint64, len(keys))
	for _, key := range keys {
		revisions[key.Key] = key.Revision
	}
	return revisions
}

// Sync asks the peer at address for all news.
func (peers *Peers) Sync(ctx context.Context, address string) error {
	current := peers.published.Load()
	request := &api.SyncRequest{From: current.Self}
	for key, document := range current.DocumentsInForce {
		request.InForce = append(request.InForce, api.KeyRevision{Key: key, Revision: document.Revision})
	}
	for key, document := range current.RefusedDocuments {
		request.Refused = append(request.Refused, api.KeyRevision{Key: key, Revision: document.Revision})
	}
	reply, err := peers.endpoint.Call(ctx, address, api.PeerRequest{Sync: request})
	if err != nil {
		return err
	}
	if reply.Sync == nil {
		return nil
	}
	peers.takeDocuments(ctx, reply.Sync.Documents)
	gossip := api.Gossip{Members: reply.Sync.Members, LeavingReplicas: reply.Sync.LeavingReplicas, StoppedHomes: reply.Sync.StoppedHomes}
	return peers.mailbox.Send(ctx, message.GossipReceived{Gossip: gossip})
}

// syncer repairs the difference to one peer.
type syncer struct {
	peers   *Peers
	address string
}

func (syncer *syncer) run() {
	ctx, cancel := context.WithTimeout(syncer.peers.ctx, callTimeout)
	defer cancel()
	if err := syncer.peers.Sync(ctx, syncer.address); err != nil {
		syncer.peers.logger.Debug("sync failed", zap.Error(err))
	}
}

// repair starts a sync with a peer whose digest differs, unless one started
// a moment ago.
func (peers *Peers) repair(address string) {
	now := time.Now()
	last, isKnown := peers.syncs.Load(address)
	if isKnown && now.Sub(last.(time.Time)) < syncInterval {
		return
	}
	peers.syncs.Store(address, now)
	syncer := &syncer{peers: peers, address: address}
	go syncer.run()
}

// Refresh asks one peer for all news after a pause of this process.
func (peers *Peers) Refresh() {
	refresher := &refresher{peers: peers}
	go refresher.run()
}

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
