// Package peer exchanges messages with the other instances: probes that detect
// failed members, gossip about membership and configuration, commands that are
// forwarded to the home of their key, and queries to the home of some shards.
package peer

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/quic"
)

// Times and limits of the messages between instances.
const (
	callTimeout = time.Second
	// gossipQueueSize is the number of gossip messages that can wait to be sent.
	gossipQueueSize = 1_024
	// minSyncInterval is the least time between the starts of two syncs with the
	// same peer.
	minSyncInterval = 500 * time.Millisecond
	// batchDelay is how long gossip waits for further gossip to go into the same
	// message.
	// It delays a change at each hop; a change reaches all of 1,700 instances in
	// about five hops.
	batchDelay = 40 * time.Millisecond
	// minUnchangedTime is how long this instance's digests must have been unchanged
	// before a difference from a peer's digests starts a sync. Until then, the
	// difference may disappear with gossip that is still on its way.
	minUnchangedTime = 400 * time.Millisecond
	// maxDifferenceTime is how long this instance's digests may differ from a peer's
	// before the difference starts a sync even if they keep changing.
	maxDifferenceTime = 1500 * time.Millisecond
)

// Handlers holds the functions that serve those calls of peers which this package
// only passes on.
type Handlers struct {
	// RunCommand runs a command with a key of which this instance is the home or
	// successor, or returns the outcome that is stored for the key.
	RunCommand func(ctx context.Context, command api.Command) api.Result
	// AcceptHandover stores the command outcomes of a home that stops.
	AcceptHandover func(handover api.Handover)
	// AnswerHomeQuery answers a query for shards of which this instance is the home.
	// It sends one or more partial answers.
	AnswerHomeQuery func(ctx context.Context, query api.HomeQuery, send func(answer api.PartialAnswer) error)
}

// Peers exchanges messages with the other instances. Its goroutines read the
// published View and change control state only by messages to mailbox.
type Peers struct {
	endpoint    *quic.Endpoint
	currentView *view.PublishedView
	mailbox     *mailbox.Mailbox[message.Message]
	settings    settings.Peers
	seeds       []string
	logger      *zap.Logger
	handlers    Handlers
	ctx         context.Context
	// gossipQueue holds gossip that was not sent to the neighbours yet.
	gossipQueue *mailbox.Mailbox[api.Gossip]
	// probeSequence is the sequence number of the latest probe.
	probeSequence atomic.Uint64
	// pendingProbes holds, by the sequence number of a probe that was not
	// acknowledged yet, the channel that gets its acknowledgement.
	pendingProbes sync.Map
	// syncTimes holds, by peer address, when the last sync with it started.
	syncTimes sync.Map
	// compressedDocuments holds, by key, the latest two versions of a long document, as
	// []api.Document, in the compressed form in which they are sent to peers: a key may
	// have a document in force and a superseded one.
	compressedDocuments sync.Map
	// differingSince holds, by the name of a peer, since when its digests differ
	// from those of this instance.
	differingSince sync.Map
	ownDigests     digestTracker
	// pendingReads holds, by key, the *pendingRead of a document that is being read
	// from a peer.
	pendingReads sync.Map
	// lastContacts holds, by the name of a peer, when its last probe or
	// acknowledgement came.
	lastContacts sync.Map
	// inFlight and parseDocument are the functions of Config.
	inFlight      func() int
	parseDocument func(document api.Document) api.DecodedDocument
}

// Config holds what Listen needs.
type Config struct {
	Settings settings.Settings
	TLS      *tls.Config
	Control  *control.Control
	Logger   *zap.Logger
	// ParseDocument parses and checks a document of the platform.
	ParseDocument func(document api.Document) api.DecodedDocument
	// InFlight returns the number of requests that this instance has in flight.
	InFlight func() int
	// WrapSocket may replace the socket before it is used; nil leaves it as it is.
	WrapSocket quic.SocketWrapper
	// Guard accounts for what peers send; see quic.WithGuard.
	Guard *caller.Guard
}

// Listen opens the socket for peers. Messages of peers are served only after Start.
func Listen(config Config) (*Peers, error) {
	peers := &Peers{
		currentView:   config.Control.CurrentView,
		mailbox:       config.Control.Mailbox,
		settings:      config.Settings.Peers,
		seeds:         config.Settings.Seeds,
		logger:        config.Logger,
		parseDocument: config.ParseDocument,
		gossipQueue:   mailbox.New[api.Gossip](gossipQueueSize),
		inFlight:      config.InFlight,
	}
	handler := quic.Handler{AnswerCall: peers.answerCall, AnswerHomeQuery: peers.answerHomeQuery, ReceiveDatagram: peers.receiveDatagram}
	endpoint, err := quic.Listen(config.Settings.PeerAddress, config.TLS, handler, config.WrapSocket, quic.WithGuard(config.Guard))
	if err != nil {
		return nil, err
	}
	peers.endpoint = endpoint
	return peers, nil
}

// Address returns the address that peers connect to.
func (peers *Peers) Address() string { return peers.endpoint.Address() }

// Handshakes returns how many connections this instance has opened to peers.
func (peers *Peers) Handshakes() int64 { return peers.endpoint.Handshakes.Load() }

// Connections returns the number of connections to peers that are kept.
func (peers *Peers) Connections() int { return peers.endpoint.Connections() }

// CompressedKeys returns the number of keys whose documents are kept in compressed form.
func (peers *Peers) CompressedKeys() int {
	count := 0
	peers.compressedDocuments.Range(func(any, any) bool {
		count++
		return true
	})
	return count
}

// Start serves peers, probes neighbours, sends queued gossip and looks for
// instances to join, until ctx ends.
func (peers *Peers) Start(ctx context.Context, handlers Handlers) {
	peers.ctx = ctx
	peers.handlers = handlers
	peers.endpoint.Start()
	prober := &prober{peers: peers}
	go prober.run()
	go peers.run()
	joiner := &joiner{peers: peers}
	go joiner.run()
}

// Close closes the socket and all connections to peers.
func (peers *Peers) Close() { peers.endpoint.Close() }

// QueueGossip queues gossip for the neighbours, without waiting. If the queue is
// full, it drops the gossip; neighbours then notice the differing digests and ask
// for a sync.
func (peers *Peers) QueueGossip(gossip api.Gossip) {
	if !peers.gossipQueue.TrySend(gossip) {
		peers.logger.Warn("gossip dropped, since its queue is full; a sync will make up for it")
	}
}

// run sends queued gossip to every neighbour, in one message for all that is queued
// within batchDelay.
func (peers *Peers) run() {
	for {
		select {
		case gossip := <-peers.gossipQueue.Messages():
			peers.sendToNeighbours(peers.collectGossip(gossip))
		case <-peers.ctx.Done():
			return
		}
	}
}

// collectGossip merges the gossip that is queued within batchDelay into first.
func (peers *Peers) collectGossip(first api.Gossip) api.Gossip {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for {
		select {
		case next := <-peers.gossipQueue.Messages():
			first.Merge(next)
		case <-timer.C:
			return first
		case <-peers.ctx.Done():
			return first
		}
	}
}

// maxGossipKeys is the number of keys in one gossip message, which its receiver can hold
// beside others.
const maxGossipKeys = 1_024

// sendToNeighbours sends gossip to every neighbour that gets it, without waiting for replies,
// in several messages if it announces many keys.
func (peers *Peers) sendToNeighbours(gossip api.Gossip) {
	for len(gossip.Keys) > maxGossipKeys {
		peers.sendMessage(api.Gossip{Keys: gossip.Keys[:maxGossipKeys]})
		gossip.Keys = gossip.Keys[maxGossipKeys:]
	}
	peers.sendMessage(gossip)
}

// sendMessage sends one gossip message to every neighbour that gets it.
func (peers *Peers) sendMessage(gossip api.Gossip) {
	current := peers.currentView.Load()
	gossip.From = current.Self.Instance.PeerAddress
	for _, member := range peers.reachable(current, current.GossipNeighbours) {
		gossipsender := &gossipSender{peers: peers, address: member.Instance.PeerAddress, gossip: gossip}
		go gossipsender.run()
	}
}

// neighbours returns the members that this instance probes.
func (peers *Peers) neighbours() []api.Member {
	current := peers.currentView.Load()
	return peers.reachable(current, current.Neighbours)
}

// reachable returns the named members. While this instance does not know the others
// yet, its neighbours change with each that it learns of; it then leaves out those in
// other failure domains to which it has no connection, since each new connection
// crosses a border with as many bytes as all gossip of a start.
func (peers *Peers) reachable(current *view.View, names []string) []api.Member {
	members := make([]api.Member, 0, len(names))
	for _, name := range names {
		member := current.Members[name]
		isNear := member.Instance.FailureDomain == current.Self.Instance.FailureDomain
		if current.IsSettled || isNear || peers.endpoint.IsConnected(member.Instance.PeerAddress) {
			members = append(members, member)
		}
	}
	return members
}

// gossipSender sends gossip to one neighbour.
type gossipSender struct {
	peers   *Peers
	address string
	gossip  api.Gossip
}

func (gossipsender *gossipSender) run() {
	_, err := gossipsender.peers.call(gossipsender.address, api.PeerRequest{Gossip: &gossipsender.gossip})
	if err != nil {
		gossipsender.peers.logger.Debug("gossip not sent to neighbour", zap.Error(err))
	}
}

// call sends one call to the peer at address, with callTimeout.
func (peers *Peers) call(address string, call api.PeerRequest) (api.PeerReply, error) {
	ctx, cancel := context.WithTimeout(peers.ctx, callTimeout)
	defer cancel()
	return peers.endpoint.Call(ctx, address, call)
}

// answerCall serves one call of a peer and returns its reply.
func (peers *Peers) answerCall(ctx context.Context, call api.PeerRequest) api.PeerReply {
	switch {
	case call.Gossip != nil:
		peers.receiveGossip(ctx, *call.Gossip)
	case call.Sync != nil:
		return peers.answerSync(ctx, *call.Sync)
	case call.Command != nil:
		result := peers.handlers.RunCommand(ctx, *call.Command)
		return api.PeerReply{Result: &result}
	case call.Handover != nil:
		peers.handlers.AcceptHandover(*call.Handover)
		return api.PeerReply{IsAlive: true}
	case call.IndirectProbe != "":
		_, err := peers.call(call.IndirectProbe, api.PeerRequest{IsPing: true})
		return api.PeerReply{IsAlive: err == nil}
	case len(call.ReadKeys) > 0:
		return api.PeerReply{Documents: peers.readDocuments(call.ReadKeys)}
	}
	return api.PeerReply{IsAlive: true}
}

// answerHomeQuery answers a home query. It sends nothing if the query is invalid; its
// sender then asks the replicas itself.
func (peers *Peers) answerHomeQuery(ctx context.Context, query api.HomeQuery, send func(answer api.PartialAnswer) error) {
	if err := query.Validate(); err != nil {
		peers.logger.Warn("query of a peer refused", zap.Error(err))
		return
	}
	peers.handlers.AnswerHomeQuery(ctx, query, send)
}

// QueryHome sends a home query to the peer at address and calls receive with each
// partial answer. It returns after the final one, or with an error.
func (peers *Peers) QueryHome(ctx context.Context, address string, query api.HomeQuery, receive func(answer api.PartialAnswer)) error {
	return peers.endpoint.QueryHome(ctx, address, query, receive)
}

// Preconnect opens a connection to the peer at address if there is none, so that
// the next call need not wait for a handshake.
func (peers *Peers) Preconnect(ctx context.Context, address string) {
	if err := peers.endpoint.Preconnect(ctx, address); err != nil {
		peers.logger.Debug("connection not opened ahead of use", zap.Error(err))
	}
}

// Call sends one call to the peer at address.
func (peers *Peers) Call(ctx context.Context, address string, call api.PeerRequest) (api.PeerReply, error) {
	return peers.endpoint.Call(ctx, address, call)
}

// Reset makes the next call to address open a new connection.
func (peers *Peers) Reset(address string) { peers.endpoint.Reset(address) }
