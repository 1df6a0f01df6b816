package instance

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/query/caller"
	"github.com/mimosaspring/mimosaspring/internal/query/peer"
	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	schedulecaller "github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	schedulepeer "github.com/mimosaspring/mimosaspring/internal/schedule/peer"
	scheduleupstream "github.com/mimosaspring/mimosaspring/internal/schedule/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/choice"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/state/waitqueue"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// queries holds the handlers of queries that callers send through the system's own
// interface or the relay protocol, and of queries that peers send.
type queries struct {
	// registrar registers the paths of queries in the system's own interface.
	registrar
	// serveRelayed answers a query of the relay protocol.
	serveRelayed serveCall
	// serveHomeQuery answers a query that a peer sends to this instance as the home
	// of the shards.
	serveHomeQuery serveHomeQuery
	// placement is started with the instance if it has a Start method.
	placement any
}

// serveHomeQuery answers a query of a peer. It calls send for each partial answer.
type serveHomeQuery func(ctx context.Context, query api.HomeQuery, send func(partial api.PartialAnswer) error)

// policySets maps the name of each set of policies to the function that builds the
// query handlers with it. The sets other than default serve as baselines in
// measurements.
var policySets = map[string]func(*Instance) queries{
	"default": func(instance *Instance) queries {
		return newDefaultQueries(instance, instance.newHomeRouter())
	},
	"direct": func(instance *Instance) queries {
		return newDefaultQueries(instance, upstream.DirectPlacement{})
	},
	"admitAll": func(instance *Instance) queries {
		return newBaselineQueries(instance, choice.PowerOfTwoChoices{}, upstream.NewPercentileHedge(), caller.AdmitAll{})
	},
	"randomChoice": func(instance *Instance) queries {
		return newBaselineQueries(instance, choice.Random{}, upstream.NewPercentileHedge(), caller.AdmitAll{})
	},
	"baseline": func(instance *Instance) queries {
		return newBaselineQueries(instance, choice.Random{}, upstream.NoHedge{}, caller.AdmitAll{})
	},
}

// newQueries builds the query handlers with the set of policies that the settings
// name. It returns an error if there is no such set.
func newQueries(instance *Instance) (queries, error) {
	buildQueries, isKnown := policySets[instance.settings.Policy.Set]
	if !isKnown {
		return queries{}, errors.Errorf("policy.set = %q; allowed: %s", instance.settings.Policy.Set, strings.Join(settings.PolicySets, ", "))
	}
	return buildQueries(instance), nil
}

// newDefaultQueries builds the query handlers with the policies for production use
// and the given placement for the relay protocol. The relay protocol has another
// choice of replicas, hedge and admission than the system's own interface.
func newDefaultQueries[P upstream.Placement](instance *Instance, placement P) queries {
	relayChoice := choice.ShortestExpectedDelay{FailureDomain: instance.settings.FailureDomain}
	nativeQueries := newNativeQueries(instance, choice.PowerOfTwoChoices{}, upstream.NewPercentileHedge(), caller.NewRateLimitedAdmission())
	if instance.settings.Schedule.AdmitByPriority {
		return newRelayQueries(instance, nativeQueries, relayChoice, upstream.TargetHedge{}, caller.NewPriorityAdmission(), placement)
	}
	return newRelayQueries(instance, nativeQueries, relayChoice, upstream.TargetHedge{}, caller.NewRankAdmission(), placement)
}

// newBaselineQueries builds the query handlers with the same policies for the
// system's own interface and the relay protocol, without homes.
func newBaselineQueries[C upstream.Choice, H upstream.Hedge, A caller.Admission](instance *Instance, choice C, hedge H, admission A) queries {
	nativeQueries := newNativeQueries(instance, choice, hedge, admission)
	return newRelayQueries(instance, nativeQueries, choice, hedge, admission, upstream.DirectPlacement{})
}

// newFanout returns the component that sends the requests of a query to replicas
// over the given links.
func newFanout[C upstream.Choice, H upstream.Hedge, L upstream.Link, P upstream.Placement](instance *Instance, choice C, hedge H, links *wire.Links[L], placement P) *upstream.Fanout[C, H, L, P] {
	return &upstream.Fanout[C, H, L, P]{
		Choice:      choice,
		Hedge:       hedge,
		Placement:   placement,
		Links:       links,
		CurrentView: instance.control.CurrentView,
		Mailbox:     instance.control.Mailbox,
		Budget:      instance.budget,
		Metrics:     instance.metrics,
	}
}

// newOrder returns the order in which requests wait for a connection to one replica.
func (instance *Instance) newOrder() waitqueue.Order {
	if instance.settings.Schedule.OrderByUrgency {
		return &scheduleupstream.UrgencyOrder{FloorTurns: instance.settings.Schedule.FloorTurns}
	}
	return scheduleupstream.RankOrder{}
}

// newHomeRouter returns the placement that sends queries to the homes of their
// shards.
func (instance *Instance) newHomeRouter() *peer.HomeRouter {
	return &peer.HomeRouter{Send: instance.peers.QueryHome, Connect: instance.peers.Preconnect, Reset: instance.peers.Reset, CurrentView: instance.control.CurrentView}
}

// newNativeQueries builds the handler of queries in the system's own interface.
func newNativeQueries[C upstream.Choice, H upstream.Hedge, A caller.Admission](instance *Instance, choice C, hedge H, admission A) registrar {
	return &caller.Handler[A]{
		Admission:   admission,
		CurrentView: instance.control.CurrentView,
		Run:         newFanout(instance, choice, hedge, instance.nativeLinks, upstream.DirectPlacement{}).Run,
		Metrics:     instance.metrics,
		KeepTime:    instance.settings.Callers.KeepTime.Duration,
	}
}

// newRelayQueries builds the handlers of queries of the relay protocol and of
// peers, and returns them together with nativeQueries.
func newRelayQueries[C upstream.Choice, H upstream.Hedge, A caller.Admission, P upstream.Placement](instance *Instance, nativeQueries registrar, choice C, hedge H, admission A, placement P) queries {
	relay := &caller.Relay[A]{
		Admission:    admission,
		Run:          newFanout(instance, choice, hedge, instance.relayLinks, placement).Run,
		Metrics:      instance.metrics,
		TargetMargin: instance.settings.Callers.TargetMargin.Duration,
	}
	server := &peer.Server{
		CurrentView: instance.control.CurrentView,
		RunForPeer:  newFanout(instance, choice, hedge, instance.relayLinks, upstream.DirectPlacement{}).RunForPeer,
		Log:         instance.requestLog.logPeerQuery,
	}
	return queries{registrar: nativeQueries, serveRelayed: relay.Serve, serveHomeQuery: instance.accountHomeQuery(server.Serve), placement: placement}
}

// accountHomeQuery returns next with an account for what each query holds, which is that of
// the callers' requests.
func (instance *Instance) accountHomeQuery(next serveHomeQuery) serveHomeQuery {
	return func(ctx context.Context, query api.HomeQuery, send func(partialanswer api.PartialAnswer) error) {
		account := instance.guard.OpenRequest()
		defer account.Close()
		next(schedulecaller.NewContext(ctx, account), query, send)
	}
}

// slackShare returns this instance's share of the retry budget's slack.
func (instance *Instance) slackShare() float64 {
	current := instance.View()
	isUnsettled := instance.settings.Schedule.SlackBySender && !current.IsSettled
	if isUnsettled || instance.hasRecentlyStarted() || schedulepeer.IsUnmet(current.Members, instance.PeerAddress, instance.settings.Seeds) {
		// Instances that start at once, or do not find each other, would each take the share
		// of a small fleet.
		return 0
	}
	return current.Senders.SlackShare(instance.settings.Name, instance.memberCount(), time.Now(), instance.settings.Retries.Window.Duration)
}
