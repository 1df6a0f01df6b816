// Package instance builds one instance of the system from its settings, and
// starts and stops it.
package instance

import (
	"context"
	"net"
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

const readHeaderTimeout = 5 * time.Second

// Instance is one running instance.
type Instance struct {
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string

	settings settings.Settings
	loggers  *log.Loggers
	logger   *zap.Logger
	control  *control.Control
	peers    *peer.Peers
	home     *commandcaller.Home
	metrics  *metrics.Metrics
	links    *wire.Links[*wire.Link]
	relays   *wire.Links[*wire.RelayLink]
	budget   *budget.Budget
	// requestLog logs the decisions about requests of callers and peers.
	requestLog *requestLog
	adapter    Adapter
	inFlight   atomic.Int64
	stopping   atomic.Bool
	caller     *server
	operator   *server
	locator    *server
	readiness  *server
	cancel     context.CancelFunc
	// endRequests ends the requests in flight, which are then answered.
	endRequests context.CancelCauseFunc
	requests    context.Context
	wrap        quic.SocketWrapper
	startedAt   time.Time
}

// Option changes how an instance is built.
type Option func(instance *Instance)

// WithLoggers sets where the instance logs.
func WithLoggers(loggers *log.Loggers) Option {
	return func(instance *Instance) { instance.loggers = loggers }
}

// WithPeerSocket changes the socket on which the instance speaks to peers.
func WithPeerSocket(wrap quic.SocketWrapper) Option {
	return func(instance *Instance) { instance.wrap = wrap }
}

// Start starts an instance and returns once it listens.
func Start(settings settings.Settings, options ...Option) (*Instance, error) {
	instance := &Instance{
		settings:  settings,
		loggers:   log.Discard(),
		metrics:   metrics.New(),
		links:     &wire.Links[*wire.Link]{Open: wire.OpenLink},
		adapter:   ownAdapter(),
		startedAt: time.Now(),
	}
	for _, option := range options {
		option(instance)
	}
	instance.requests, instance.endRequests = context.WithCancelCause(context.Background())
	instance.logger = instance.loggers.Part(log.PartProcess)
	instance.requestLog = newRequestLog(instance.loggers.Part(log.PartCaller))
	instance.relays = &wire.Links[*wire.RelayLink]{Open: wire.RelayLinkOpener(instance.adapter.Names)}
	instance.budget = budget.New(limitsOf(settings.Retries), instance.fleetSize, view.MonotonicNow)
	if err := instance.listen(); err != nil {
		instance.close()
		return nil, err
	}
	if err := instance.build(); err != nil {
		instance.close()
		return nil, err
	}
	instance.logger.Info("instance started", zap.String("name", settings.Name),
		zap.String("callerAddress", instance.CallerAddress), zap.String("peerAddress", instance.PeerAddress),
		zap.String("operatorAddress", instance.OperatorAddress), zap.String("version", Version))
	return instance, nil
}

func (instance *Instance) listen() error {
	var err error
	if instance.caller, err = newServer(instance.settings.CallerAddress); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	instance.CallerAddress = instance.caller.address()
	if instance.locator, err = newOptionalServer(instance.settings.LocatorAddress); err != nil {
		return errors.Wrap(err, "listen for callers that look for instances")
	}
	if instance.readiness, err = newOptionalServer(instance.settings.ReadinessAddress); err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	if instance.operator, err = newOptionalServer(instance.settings.OperatorAddress); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	if instance.operator != nil {
		instance.OperatorAddress = instance.operator.address()
	}
	return nil
}

// build makes the parts in the order in which they need one another. The
// peers' socket opens before control starts, so that control knows its own
// address.
func (instance *Instance) build() error {
	ctx, cancel := context.WithCancel(context.Background())
	instance.cancel = cancel
	config, err := quic.TLSConfig(instance.settings.TLS)
	if err != nil {
		return err
	}
	if instance.settings.TLS.CertFile == "" {
		instance.logger.Warn("peers are not verified: no tls.certFile is set")
	}
	self := instance.self()
	state := control.NewState(self, instance.settings.Peers.SuspicionTimeout.Duration, instance.startedAt)
	state.ShardsPerHome = instance.settings.Policy.ShardsPerHome
	if instance.settings.Policy.Set != settings.DefaultPolicySet {
		state.ShardsPerHome = control.HomesDisabled
	}
	state.ReadersPerFailureDomain = instance.settings.Reading.ReadersPerFailureDomain
	instance.control = control.New(state, instance.loggers.Part(log.PartControl))
	instance.peers, err = peer.Listen(peer.Config{
		Settings:      instance.settings,
		TLS:           config,
		Control:       instance.control,
		Logger:        instance.loggers.Part(log.PartPeer),
		ParseDocument: instance.adapter.Parse,
		InFlight:      instance.load,
		Wrap:          instance.wrap,
	})
	if err != nil {
		return err
	}
	instance.PeerAddress = instance.peers.Address()
	state.SetPeerAddress(instance.PeerAddress, instance.startedAt)
	return instance.start(ctx, state.Self)
}

func (instance *Instance) self() api.Member {
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

func (instance *Instance) load() int { return int(instance.inFlight.Load()) }

func (instance *Instance) start(ctx context.Context, self api.Member) error {
	sender := commandupstream.NewSender(instance.control, instance.links, instance.loggers.Part(log.PartUpstream))
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
	instance.control.Start(ctx, control.Peers{SendGossip: instance.peers.QueueGossip, Refresh: instance.peers.Refresh})
	instance.peers.Start(ctx, peer.Handlers{RunCommand: router.RunForwarded, AcceptHandover: home.AcceptHandover, AnswerHomeQuery: queries.cell})
	if starter, isStarter := queries.placement.(interface{ Start(ctx context.Context) }); isStarter {
		starter.Start(ctx)
	}
	instance.adapter.StartReader(ctx, instance.settings, instance.control, instance.loggers.Part(log.PartPlatform))
	commandupstream.NewHealthChecker(instance.control, instance.links, instance.relays).Start(ctx)
	relay := &relay{
		names:     instance.adapter.Names,
		published: instance.control.CurrentView,
		metrics:   instance.metrics,
		query:     queries.relay,
		command:   instance.relayCommands().Serve,
		log:       instance.requestLog,
	}
	instance.serve(queries, commandcaller.NewHandler(home, router, instance.metrics), relay)
	return nil
}

// registrar adds its paths to a router.
type registrar interface{ Register(mux chi.Router) }

// relayCommands builds the way of commands in the callers' own form.
func (instance *Instance) relayCommands() *commandcaller.Relay {
	relayer := &commandupstream.Relayer[choice.ShortestExpectedDelay]{
		Choice:    choice.ShortestExpectedDelay{FailureDomain: instance.settings.FailureDomain},
		Links:     instance.relays,
		Published: instance.control.CurrentView,
		Mailbox:   instance.control.Mailbox,
		Budget:    instance.budget,
	}
	return &commandcaller.Relay{Send: relayer.Send}
}

// serve starts the listeners. Callers of an adapter speak their own form only;
// others reach the own interface, and their own form on all other paths.
func (instance *Instance) serve(queries, commands registrar, relay http.Handler) {
	if instance.adapter.IsOwn {
		mux := chi.NewRouter()
		mux.Use(instance.admit)
		queries.Register(mux)
		commands.Register(mux)
		mux.NotFound(relay.ServeHTTP)
		mux.MethodNotAllowed(relay.ServeHTTP)
		instance.caller.start(mux)
	} else {
		instance.caller.start(instance.admit(relay))
	}
	instance.locator.start(instance.adapter.Locator(instance.locate))
	instance.readiness.start(instance.adapter.Readiness(instance.isReady))
	if instance.operator == nil {
		return
	}
	operatorMux := chi.NewRouter()
	handler := &operator.Handler{CurrentView: instance.control.CurrentView, Metrics: instance.metrics, Version: Version}
	handler.Register(operatorMux)
	instance.operator.start(operatorMux)
}

// admit counts the requests in flight and refuses those beyond the bound. A
// stopping instance ends each caller's connection after its answer.
func (instance *Instance) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithCancelCause(request.Context())
		defer cancel(nil)
		defer context.AfterFunc(instance.requests, func() { cancel(context.Cause(instance.requests)) })()
		request = request.WithContext(ctx)
		inFlight := instance.inFlight.Add(1)
		defer instance.inFlight.Add(-1)
		if instance.stopping.Load() {
			writer.Header().Set("Connection", "close")
		}
		if inFlight > int64(instance.settings.Callers.MaxInFlight) {
			wire.WriteRefusal(writer, http.StatusServiceUnavailable, "the instance serves its most requests", time.Second)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// locate returns the instances that a caller of a failure domain should use.
func (instance *Instance) locate(failureDomain string) api.Addresses {
	return caller.LocateInDomain(instance.View(), failureDomain, instance.settings.Callers.KeepTime.Duration)
}

// isReady reports whether the instance should get new callers.
func (instance *Instance) isReady() bool {
	return !instance.stopping.Load() && instance.View().Routes != nil
}

// fleetSize returns among how many instances limits are shared: all that are
// known and have not left on purpose.
func (instance *Instance) fleetSize() int {
	count := 0
	for _, member := range instance.View().Members {
		if member.State != api.MemberLeft {
			count++
		}
	}
	return count
}

func limitsOf(retries settings.Retries) budget.Limits {
	return budget.Limits{Ratio: retries.Ratio, Slack: retries.Slack, Window: retries.Window.Duration}
}

// View returns the instance's current View.
func (instance *Instance) View() *view.View { return instance.control.CurrentView.Load() }

// Metrics returns the instance's counters and histograms.
func (instance *Instance) Metrics() *metrics.Metrics { return instance.metrics }

// server is one HTTP listener.
type server struct {
	listener net.Listener
	http     *http.Server
}

func newServer(address string) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &server{listener: listener, http: &http.Server{ReadHeaderTimeout: readHeaderTimeout, ConnContext: withRoundTrip}}, nil
}

// newOptionalServer returns nil for an empty address.
func newOptionalServer(address string) (*server, error) {
	if address == "" {
		return nil, nil
	}
	return newServer(address)
}

func (server *server) address() string { return server.listener.Addr().String() }

func (server *server) start(handler http.Handler) {
	if server == nil {
		return
	}
	server.http.Handler = handler
	go server.run()
}

func (server *server) run() { _ = server.http.Serve(server.listener) }

// Handshakes returns how many connections to peers the instance opened.
func (instance *Instance) Handshakes() int64 { return instance.peers.Handshakes() }
