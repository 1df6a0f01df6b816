// Package peer speaks to the other instances: membership, configuration news
// and commands whose key names another home.
package peer

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/quic"
)

const (
	callTimeout   = time.Second
	newsQueueSize = 1_024
	syncInterval  = 500 * time.Millisecond
	// gatherTime is how long news wait for others that go in the same message;
	// a change crosses a fleet of 1,700 in some five steps.
	gatherTime = 40 * time.Millisecond
	// settleTime is how long this instance's own knowledge must have been
	// unchanged before a difference to a peer counts as news that were missed
	// rather than on their way, and mostSettleTime when it counts in any case.
	settleTime     = 400 * time.Millisecond
	mostSettleTime = 1500 * time.Millisecond
)

// Handlers is what the part that keeps command outcomes does for peers.
type Handlers struct {
	// RunCommand runs or repeats a keyed command at its home or heir.
	RunCommand func(ctx context.Context, command api.Command) api.Result
	// AcceptHandover takes the outcomes of a stopping home.
	AcceptHandover func(handover api.Handover)
	// AnswerCell answers a query for the shards that this instance is the home of.
	AnswerCell func(ctx context.Context, query api.HomeQuery, send func(block api.PartialAnswer) error)
}

// Peers is the part of an instance that speaks to the other instances.
type Peers struct {
	endpoint  *quic.Endpoint
	published *view.PublishedView
	mailbox   *mailbox.Mailbox[message.Message]
	settings  settings.Peers
	seeds     []string
	logger    *zap.Logger
	homes     Handlers
	ctx       context.Context
	news      *mailbox.Mailbox[api.Gossip]
	sequence  atomic.Uint64
	waiting   sync.Map
	syncs     sync.Map
	// packed holds the last long document of each key as it is passed on.
	packed sync.Map
	// differs holds since when each peer's knowledge differs from this one's.
	differs sync.Map
	settled settled
	// heard holds when each neighbour's last probe or acknowledgement came.
	heard sync.Map
	load  func() int
	parse func(document api.Document) api.DecodedDocument
}

// Config is what the part is built from.
type Config struct {
	Settings settings.Settings
	TLS      *tls.Config
	Control  *control.Control
	Logger   *zap.Logger
	// ParseDocument reads and checks a document of the platform.
	ParseDocument func(document api.Document) api.DecodedDocument
	// InFlight returns the requests that this instance has in flight.
	InFlight func() int
	// Wrap changes the socket; nil leaves it as it is.
	Wrap quic.Wrap
}

// Listen opens the part's socket. Messages are served after Start.
func Listen(config Config) (*Peers, error) {
	peers := &Peers{
		published: config.Control.CurrentView,
		mailbox:   config.Control.Mailbox,
		settings:  config.Settings.Peers,
		seeds:     config.Settings.Seeds,
		logger:    config.Logger,
		parse:     config.ParseDocument,
		news:      mailbox.New[api.Gossip](newsQueueSize),
		load:      config.InFlight,
	}
	handler := quic.Handler{Call: peers.answer, Cell: peers.answerCell, Datagram: peers.receive}
	endpoint, err := quic.Listen(config.Settings.PeerAddress, config.TLS, handler, config.Wrap)
	if err != nil {
		return nil, err
	}
	peers.endpoint = endpoint
	return peers, nil
}

// Address returns the address that peers connect to.
func (peers *Peers) Address() string { return peers.endpoint.Address() }

// Handshakes returns how many connections this instance opened to peers.
func (peers *Peers) Handshakes() int64 { return peers.endpoint.Handshakes.Load() }

// Start serves peers, probes neighbours and passes news until ctx ends.
func (peers *Peers) Start(ctx context.Context, homes Handlers) {
	peers.ctx = ctx
	peers.homes = homes
	peers.endpoint.Serve()
	prober := &prober{peers: peers}
	go prober.run()
	go peers.run()
	joiner := &joiner{peers: peers}
	go joiner.run()
}

// Close closes the socket.
func (peers *Peers) Close() { peers.endpoint.Close() }

// QueueGossip passes news to the neighbours. It does not wait.
func (peers *Peers) QueueGossip(gossip api.Gossip) {
	if !peers.news.TrySend(gossip) {
		peers.logger.Warn("news dropped; a digest will repair it")
	}
}

// run passes queued news to every neighbour. News that follow closely go in
// one message.
func (peers *Peers) run() {
	for {
		select {
		case gossip := <-peers.news.Messages():
			peers.tellNeighbours(peers.gather(gossip))
		case <-peers.ctx.Done():
			return
		}
	}
}

// gather adds the news of the next gatherTime to first.
func (peers *Peers) gather(first api.Gossip) api.Gossip {
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for {
		select {
		case next := <-peers.news.Messages():
			first.Merge(next)
		case <-timer.C:
			return first
		case <-peers.ctx.Done():
			return first
		}
	}
}

func (peers *Peers) tellNeighbours(gossip api.Gossip) {
	gossip.From = peers.published.Load().Self.Instance.PeerAddress
	for _, member := range peers.neighbours() {
		teller := &teller{peers: peers, address: member.Instance.PeerAddress, gossip: gossip}
		go teller.run()
	}
}

func (peers *Peers) neighbours() []api.Member {
	current := peers.published.Load()
	members := make([]api.Member, 0, len(current.Neighbours))
	for _, name := range current.Neighbours {
		members = append(members, current.Members[name])
	}
	return members
}

// teller passes news to one neighbour.
type teller struct {
	peers   *Peers
	address string
	gossip  api.Gossip
}

func (teller *teller) run() {
	_, err := teller.peers.call(teller.address, api.PeerRequest{Gossip: &teller.gossip})
	if err != nil {
		teller.peers.logger.Debug("news not passed", zap.Error(err))
	}
}

func (peers *Peers) call(address string, call api.PeerRequest) (api.PeerReply, error) {
	ctx, cancel := context.WithTimeout(peers.ctx, callTimeout)
	defer cancel()
	return peers.endpoint.Call(ctx, address, call)
}

// answer serves one call of a peer.
func (peers *Peers) answer(ctx context.Context, call api.PeerRequest) api.PeerReply {
	switch {
	case call.Gossip != nil:
		peers.takeGossip(ctx, *call.Gossip)
	case call.Sync != nil:
		return peers.answerSync(ctx, *call.Sync)
	case call.Command != nil:
		result := peers.homes.RunCommand(ctx, *call.Command)
		return api.PeerReply{Result: &result}
	case call.Handover != nil:
		peers.homes.AcceptHandover(*call.Handover)
		return api.PeerReply{IsAlive: true}
	case call.IndirectProbe != "":
		_, err := peers.call(call.IndirectProbe, api.PeerRequest{IsPing: true})
		return api.PeerReply{IsAlive: err == nil}
	case len(call.ReadKeys) > 0:
		return api.PeerReply{Documents: peers.readDocuments(call.ReadKeys)}
	}
	return api.PeerReply{IsAlive: true}
}

func (peers *Peers) answerCell(ctx context.Context, query api.HomeQuery, send func(block api.PartialAnswer) error) {
	peers.homes.AnswerCell(ctx, query, send)
}

// QueryCell sends a cell query to the peer at address and passes on its blocks.
func (peers *Peers) QueryCell(ctx context.Context, address string, query api.HomeQuery, take func(block api.PartialAnswer)) error {
	return peers.endpoint.Ask(ctx, address, query, take)
}

// Preconnect opens a connection to the peer at address where there is none.
func (peers *Peers) Preconnect(ctx context.Context, address string) {
	if err := peers.endpoint.Warm(ctx, address); err != nil {
		peers.logger.Debug("connection not opened ahead", zap.Error(err))
	}
}

// Call sends one call to the peer at address.
func (peers *Peers) Call(ctx context.Context, address string, call api.PeerRequest) (api.PeerReply, error) {
	return peers.endpoint.Call(ctx, address, call)
}

// Reset makes the next call to address use a fresh connection.
func (peers *Peers) Reset(address string) { peers.endpoint.Reset(address) }
