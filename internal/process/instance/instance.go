// Package instance builds an instance of the system from its settings, starts it
// and shuts it down.
package instance

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	commandcaller "github.com/mimosaspring/mimosaspring/internal/command/caller"
	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/command/peer"
	commandupstream "github.com/mimosaspring/mimosaspring/internal/command/upstream"
	"github.com/mimosaspring/mimosaspring/internal/process/log"
	"github.com/mimosaspring/mimosaspring/internal/query/caller"
	"github.com/mimosaspring/mimosaspring/internal/query/operator"
	schedulecaller "github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	schedulepeer "github.com/mimosaspring/mimosaspring/internal/schedule/peer"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/budget"
	"github.com/mimosaspring/mimosaspring/internal/state/choice"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
	"github.com/mimosaspring/mimosaspring/internal/wire/quic"
)

// Version is the program's version.
const Version = "0.1.0"

// Instance is a running instance.
type Instance struct {
	// CallerAddress, PeerAddress and OperatorAddress are the addresses that the
	// instance listens on, with the port that was bound. OperatorAddress is empty
	// if no operator listener is configured.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string

	settings settings.Settings
	loggers  *log.Loggers
	logger   *zap.Logger
	control  *control.Control
	peers    *peer.Peers
	// home runs the commands that have an idempotency key of this instance. It is
	// unrelated to the homes of shards, which serve queries.
	home    *commandcaller.Home
	metrics *metrics.Metrics
	// nativeLinks holds the connections to replicas for the system's own interface.
	nativeLinks *wire.Links[*wire.Link]
	// relayLinks holds the connections to replicas for the relay protocol.
	relayLinks *wire.Links[*wire.RelayLink]
	budget     *budget.Budget
	// requestLog logs the decisions about requests of callers and peers.
	requestLog *requestLog
	adapter    Adapter
	// inFlight is the number of requests from callers that are being served.
	inFlight atomic.Int64
	// isStopping is set from the beginning of Stop. drainEnd is then when the
	// requests that are still in flight are cancelled.
	isStopping atomic.Bool
	drainEnd   atomic.Pointer[time.Time]
	// guard accounts for what is held for callers and their requests.
	guard *schedulecaller.Guard
	// callerServer is set by listen. The other servers stay nil if their address is
	// not configured.
	callerServer    *server
	operatorServer  *server
	locatorServer   *server
	readinessServer *server
	// cancel stops the goroutines of the instance; nil before build.
	cancel context.CancelFunc
	// cancelRequests cancels requestsContext and with it every request in flight.
	// These are then answered with the results that have arrived so far.
	cancelRequests  context.CancelCauseFunc
	requestsContext context.Context
	// wrapPeerSocket replaces the peer socket before use; nil leaves it as it is.
	wrapPeerSocket quic.SocketWrapper
	startedAt      time.Time
}

// Option configures an instance before it starts.
type Option func(instance *Instance)

// WithLoggers sets the loggers of the instance. The default discards all lines.
func WithLoggers(loggers *log.Loggers) Option {
	return func(instance *Instance) { instance.loggers = loggers }
}

// WithPeerSocket sets a function that replaces the UDP socket to peers, for
// example by one that counts or drops datagrams.
func WithPeerSocket(wrap quic.SocketWrapper) Option {
	return func(instance *Instance) { instance.wrapPeerSocket = wrap }
}

// Start starts an instance and returns once it listens on all configured
// addresses. It returns an error if it cannot listen on one of them, cannot use the
// TLS files, finds no policies named settings.Policy.Set or gets no random bytes for
// the key secret. Everything that was started is then closed.
func Start(settings settings.Settings, options ...Option) (*Instance, error) {
	instance := &Instance{
		settings:  settings,
		loggers:   log.Discard(),
		metrics:   metrics.New(),
		adapter:   NativeAdapter(),
		startedAt: time.Now(),
	}
	for _, option := range options {
		option(instance)
	}
	instance.requestsContext, instance.cancelRequests = context.WithCancelCause(context.Background())
	instance.logger = instance.loggers.Part(log.PartProcess)
	instance.requestLog = newRequestLog(instance.loggers.Part(log.PartCaller))
	instance.guard = schedulecaller.NewGuard("callers", CallerLimits(instance.settings), view.MonotonicNow, instance.metrics, instance.loggers.Part(log.PartCaller))
	instance.nativeLinks = &wire.Links[*wire.Link]{Open: wire.LinkOpener(instance.guard)}
	instance.relayLinks = &wire.Links[*wire.RelayLink]{Open: wire.RelayLinkOpener(instance.adapter.RelayHeaders, wire.WithOrder(instance.newOrder), wire.WithReplyMemory(instance.guard))}
	instance.budget = budget.New(retryLimits(settings.Retries), instance.memberCount, view.MonotonicNow, budget.WithSlackShare(instance.slackShare), budget.WithRecentStart(instance.hasRecentlyStarted))
	if err := instance.listen(); err != nil {
		instance.close()
		return nil, err
	}
	if err := instance.build(); err != nil {
		instance.close()
		return nil, err
	}
	instance.logger.Info("instance started", zap.String("name", settings.Name),
		zap.Int("maxDescriptors", settings.Process.MaxDescriptors), zap.Bool("pace", settings.Schedule.Pace), zap.Bool("firstStart", settings.Retries.IsFirstStart), zap.Float64("coldOvershoot", settings.Schedule.ColdOvershoot),
		zap.String("callerAddress", instance.CallerAddress), zap.String("peerAddress", instance.PeerAddress),
		zap.String("operatorAddress", instance.OperatorAddress), zap.String("version", Version))
	return instance, nil
}

// listen opens the TCP listeners for callers, operators and the platform. They
// accept connections, but requests are served only after serve.
func (instance *Instance) listen() error {
	var err error
	if instance.callerServer, err = newServer(instance.settings.CallerAddress, callerListener, instance.guard, instance.settings.Callers); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	instance.CallerAddress = instance.callerServer.address()
	if instance.locatorServer, err = newOptionalServer(instance.settings.LocatorAddress, locatorListener, instance.guard, instance.settings.Callers); err != nil {
		return errors.Wrap(err, "listen for locator requests")
	}
	if instance.readinessServer, err = newOptionalServer(instance.settings.ReadinessAddress, readinessListener, instance.guard, instance.settings.Callers); err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	if instance.operatorServer, err = newOptionalServer(instance.settings.OperatorAddress, operatorListener, instance.guard, instance.settings.Callers); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	if instance.operatorServer != nil {
		instance.OperatorAddress = instance.operatorServer.address()
	}
	return nil
}

// build creates the components in the order of their dependencies and starts
// them. The socket to peers is opened before the control goroutine starts, because
// the control state contains the instance's own peer address.
func (instance *Instance) build() error {
	ctx, cancel := context.WithCancel(context.Background())
	instance.cancel = cancel
	config, err := quic.TLSConfig(instance.settings.TLS)
	if err != nil {
		return err
	}
	if instance.settings.TLS.CertFile == "" {
		instance.logger.Warn("peers are not authenticated: tls.certFile is not set")
	}
	self := instance.newSelf()
	state := control.NewState(self, instance.settings.Peers.SuspicionTimeout.Duration, instance.startedAt)
	state.ShardsPerHome = instance.settings.Policy.ShardsPerHome
	// The other sets of policies send all queries directly to replicas.
	if instance.settings.Policy.Set != settings.DefaultPolicySet {
		state.ShardsPerHome = control.HomesDisabled
	}
	if instance.settings.Schedule.ByCapacity {
		state.ChooseServing = schedulepeer.Serving[schedulepeer.LargestClass]
		if instance.settings.Schedule.SlackBySender {
			state.ChooseSenders = schedulepeer.ChooseSenders[schedulepeer.LargestClass]
		}
	}
	state.ReadersPerFailureDomain = instance.settings.Reading.ReadersPerFailureDomain
	state.OutageAfter = instance.settings.Reading.OutageAfter()
	state.PacesReplicas = instance.settings.Schedule.Pace
	state.ColdOvershoot, state.ColdSlack = instance.settings.Schedule.ColdOvershoot, instance.settings.Schedule.ColdSlack
	// Without a seed, there is no other instance to learn of but those that join.
	state.IsSettled = len(instance.settings.Seeds) == 0
	instance.control = control.New(state, instance.loggers.Part(log.PartControl))
	instance.peers, err = peer.Listen(peer.Config{
		Settings:      instance.settings,
		TLS:           config,
		Control:       instance.control,
		Logger:        instance.loggers.Part(log.PartPeer),
		ParseDocument: instance.adapter.ParseDocument,
		InFlight:      instance.inFlightCount,
		WrapSocket:    instance.wrapPeerSocket,
		Guard:         schedulecaller.NewGuard("peers", quic.PeerLimits(peerMemory(instance.settings.Process)), view.MonotonicNow, instance.metrics, instance.loggers.Part(log.PartPeer)),
	})
	if err != nil {
		return err
	}
	instance.PeerAddress = instance.peers.Address()
	state.SetPeerAddress(instance.PeerAddress, instance.startedAt)
	return instance.start(ctx, state.Self)
}

// newSelf returns the membership entry of this instance. Its incarnation is the
// start time in nanoseconds, so that a restarted instance supersedes its previous
// incarnation.
func (instance *Instance) newSelf() api.Member {
	return api.Member{
		Instance: api.Instance{
			Name:          instance.settings.Name,
			Upstream:      api.OwnUpstream,
			Address:       instance.CallerAddress,
			FailureDomain: instance.settings.FailureDomain,
			State:         api.InstanceLive,
		},
		State:              api.MemberAlive,
		Incarnation:        uint64(instance.startedAt.UnixNano()),
		CapacityMillicores: instance.settings.Process.CapacityMillicores(),
	}
}

// inFlightCount returns the number of requests from callers that are being served.
func (instance *Instance) inFlightCount() int { return int(instance.inFlight.Load()) }

// start connects the command and query sides, starts their goroutines and begins
// to serve. The goroutines stop when ctx ends.
func (instance *Instance) start(ctx context.Context, self api.Member) error {
	sender := commandupstream.NewSender(instance.control, instance.nativeLinks, instance.loggers.Part(log.PartUpstream))
	home, err := commandcaller.NewHome(self, instance.settings.Callers, sender.Send)
	if err != nil {
		return err
	}
	instance.home = home
	forwarder := commandcaller.Forwarder{Call: instance.peers.Call, Reset: instance.peers.Reset}
	router := commandcaller.NewRouter(home, instance.control.CurrentView, forwarder, sender.Send, instance.loggers.Part(log.PartCaller))
	queries, err := newQueries(instance)
	if err != nil {
		return err
	}
	instance.control.Start(ctx, control.PeerCalls{SendGossip: instance.peers.QueueGossip, Refresh: instance.peers.Refresh})
	if instance.settings.Schedule.ByCapacity {
		instance.control.StartOverloadMeter(ctx)
	}
	instance.peers.Start(ctx, peer.Handlers{RunCommand: router.RunForwarded, AcceptHandover: home.AcceptHandover, AnswerHomeQuery: queries.serveHomeQuery})
	if placement, hasStart := queries.placement.(interface{ Start(ctx context.Context) }); hasStart {
		placement.Start(ctx)
	}
	instance.adapter.StartPlatformReader(ctx, instance.settings, instance.control, instance.loggers.Part(log.PartPlatform))
	coldChecks := commandupstream.WithColdChecks(instance.settings.Reading.StaleAfter(), instance.metrics, instance.loggers.Part(log.PartUpstream))
	commandupstream.NewHealthChecker(instance.control, instance.nativeLinks, instance.relayLinks, coldChecks).Start(ctx)
	relay := &relay{
		headers:       instance.adapter.RelayHeaders,
		publishedView: instance.control.CurrentView,
		metrics:       instance.metrics,
		serveQuery:    queries.serveRelayed,
		serveCommand:  instance.newCommandRelay().Serve,
		requestLog:    instance.requestLog,
		drainEnd:      instance.drainEnd.Load,
	}
	instance.exportGauges()
	instance.serve(queries, commandcaller.NewHandler(home, router, instance.metrics), relay)
	return nil
}

// registrar registers its HTTP paths with a router.
type registrar interface{ Register(mux chi.Router) }

// newCommandRelay returns the handler of relayed commands: requests in the
// callers' own format that are not idempotent.
func (instance *Instance) newCommandRelay() *commandcaller.Relay {
	relayer := &commandupstream.Relayer[choice.ShortestExpectedDelay]{
		Choice:      choice.ShortestExpectedDelay{FailureDomain: instance.settings.FailureDomain},
		Links:       instance.relayLinks,
		CurrentView: instance.control.CurrentView,
		Mailbox:     instance.control.Mailbox,
		Budget:      instance.budget,
		Metrics:     instance.metrics,
	}
	return &commandcaller.Relay{Send: relayer.Send, IsOrdered: instance.settings.Schedule.OrderByUrgency}
}

// serve starts the HTTP servers. With the system's own interface, requests with a
// path or method that the interface does not define are served by relay. With another
// adapter, callers can use only the relay protocol.
func (instance *Instance) serve(queries, commands registrar, relay http.Handler) {
	if instance.adapter.IsNative {
		mux := chi.NewRouter()
		mux.Use(instance.admit)
		queries.Register(mux)
		commands.Register(mux)
		mux.NotFound(relay.ServeHTTP)
		mux.MethodNotAllowed(relay.ServeHTTP)
		instance.callerServer.start(mux)
	} else {
		instance.callerServer.start(instance.admit(relay))
	}
	instance.locatorServer.start(instance.adapter.LocatorHandler(instance.locate))
	instance.readinessServer.start(instance.adapter.ReadinessHandler(instance.isReady))
	if instance.operatorServer == nil {
		return
	}
	operatorMux := chi.NewRouter()
	handler := &operator.Handler{CurrentView: instance.control.CurrentView, Metrics: instance.metrics, Version: Version}
	handler.Register(operatorMux)
	instance.operatorServer.start(operatorMux)
}

// admit returns a handler that passes requests on to next. It counts the requests
// in flight and refuses those beyond Callers.MaxInFlight. While the instance is
// stopping, it asks callers to close their connection after each answer. When
// cancelRequests is called, it cancels the contexts of the requests in flight.
func (instance *Instance) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithCancelCause(request.Context())
		defer cancel(nil)
		defer context.AfterFunc(instance.requestsContext, func() { cancel(context.Cause(instance.requestsContext)) })()
		inFlight := instance.inFlight.Add(1)
		defer instance.inFlight.Add(-1)
		if instance.isStopping.Load() {
			writer.Header().Set("Connection", "close")
		}
		if inFlight > int64(instance.settings.Callers.MaxInFlight) {
			wire.WriteRefusal(writer, http.StatusServiceUnavailable, "the instance serves its most requests", time.Second)
			return
		}
		account := instance.guard.OpenRequest()
		defer account.Close()
		next.ServeHTTP(writer, request.WithContext(schedulecaller.NewContext(ctx, account)))
	})
}

// locate returns the addresses of the instances that a caller in failureDomain
// should use, and how long the caller may use them.
func (instance *Instance) locate(failureDomain string) api.Addresses {
	return caller.LocateInDomain(instance.View(), failureDomain, instance.settings.Callers.KeepTime.Duration)
}

// isReady reports whether the instance should get new callers: it is configured,
// has routes and is not stopping.
func (instance *Instance) isReady() bool {
	current := instance.View()
	return !instance.isStopping.Load() && current.UnreadyReason() == "" && current.Routes != nil
}

// memberCount returns the number of instances that share the retry budget.
func (instance *Instance) memberCount() int {
	current := instance.View()
	return schedulepeer.SlackMemberCount(current.Members, current.EndedAt, time.Now(), instance.settings.Retries.Window.Duration)
}

// hasRecentlyStarted reports whether an earlier process may have spent this instance's
// share of the retry budget.
func (instance *Instance) hasRecentlyStarted() bool {
	current := instance.View()
	isCounted := current.HasPredecessor || schedulepeer.StartedTogether(current.Members, current.Self)
	return !instance.settings.Retries.IsFirstStart && schedulepeer.HasRecentlyStarted(instance.startedAt, time.Now(), instance.settings.Retries.Window.Duration, isCounted)
}

// retryLimits returns the limits of the retry budget that the settings contain.
func retryLimits(retries settings.Retries) budget.Limits {
	return budget.Limits{Ratio: retries.Ratio, Slack: retries.Slack, Window: retries.Window.Duration}
}

// View returns the instance's current View.
func (instance *Instance) View() *view.View { return instance.control.CurrentView.Load() }

// Metrics returns the instance's counters and histograms.
func (instance *Instance) Metrics() *metrics.Metrics { return instance.metrics }

// Handshakes returns the number of connections to peers that the instance has
// opened since it started.
func (instance *Instance) Handshakes() int64 { return instance.peers.Handshakes() }
