package instance

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/query/caller"
	"github.com/mimosaspring/mimosaspring/internal/query/peer"
	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/choice"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// queries are the two ways on which an instance answers queries: in the own
// form, and in the form of the callers.
type queries struct {
	registrar
	relay serveCall
	// cell answers a query of a peer for the shards of this instance.
	cell serveCell
	// placement is started with the instance where it has work of its own.
	placement any
}

// serveCell answers one cell query.
type serveCell func(ctx context.Context, query api.HomeQuery, send func(block api.PartialAnswer) error)

// policySets builds the query path under each named set of policies. The sets
// other than default are baselines to measure against.
var policySets = map[string]func(*Instance) queries{
	"default": func(instance *Instance) queries {
		return current(instance, instance.homes())
	},
	"direct": func(instance *Instance) queries {
		return current(instance, upstream.DirectPlacement{})
	},
	"admitAll": func(instance *Instance) queries {
		return same(instance, choice.PowerOfTwoChoices{}, upstream.NewPercentileHedge(), caller.AdmitAll{})
	},
	"randomChoice": func(instance *Instance) queries {
		return same(instance, choice.Random{}, upstream.NewPercentileHedge(), caller.AdmitAll{})
	},
	"baseline": func(instance *Instance) queries {
		return same(instance, choice.Random{}, upstream.NoHedge{}, caller.AdmitAll{})
	},
}

func newQueries(instance *Instance) (queries, error) {
	build, isKnown := policySets[instance.settings.Policy.Set]
	if !isKnown {
		return queries{}, errors.Errorf("policy.set = %q; allowed: %s", instance.settings.Policy.Set, strings.Join(settings.PolicySets, ", "))
	}
	return build(instance), nil
}

// current builds both ways under the policies that serve best.
func current[P upstream.Placement](instance *Instance, placement P) queries {
	near := choice.ShortestExpectedDelay{FailureDomain: instance.settings.FailureDomain}
	own := assemble(instance, choice.PowerOfTwoChoices{}, upstream.NewPercentileHedge(), caller.NewRateLimitedAdmission())
	return assembleRelay(instance, own, near, upstream.TargetHedge{}, caller.AdmitAll{}, placement)
}

// same builds both ways under the same policies, without homes.
func same[C upstream.Choice, H upstream.Hedge, A caller.Admission](instance *Instance, choice C, hedge H, admission A) queries {
	own := assemble(instance, choice, hedge, admission)
	return assembleRelay(instance, own, choice, hedge, admission, upstream.DirectPlacement{})
}

// newFanout returns the query path over one kind of link.
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

// homes returns the placement of shards at their homes.
func (instance *Instance) homes() *peer.HomeRouter {
	return &peer.HomeRouter{Send: instance.peers.QueryHome, Connect: instance.peers.Preconnect, CurrentView: instance.control.CurrentView}
}

// assemble builds the way of queries in the own form.
func assemble[C upstream.Choice, H upstream.Hedge, A caller.Admission](instance *Instance, choice C, hedge H, admission A) registrar {
	return &caller.Handler[A]{
		Admission:   admission,
		CurrentView: instance.control.CurrentView,
		Run:         newFanout(instance, choice, hedge, instance.links, upstream.DirectPlacement{}).Run,
		Metrics:     instance.metrics,
		KeepTime:    instance.settings.Callers.KeepTime.Duration,
	}
}

// assembleRelay builds the way of queries in the callers' own form, beside own.
func assembleRelay[C upstream.Choice, H upstream.Hedge, A caller.Admission, P upstream.Placement](instance *Instance, own registrar, choice C, hedge H, admission A, placement P) queries {
	relay := &caller.Relay[A]{
		Admission:    admission,
		Run:          newFanout(instance, choice, hedge, instance.relays, placement).Run,
		Metrics:      instance.metrics,
		TargetMargin: instance.settings.Callers.TargetMargin.Duration,
	}
	server := &peer.Server{
		CurrentView: instance.control.CurrentView,
		RunForPeer:  newFanout(instance, choice, hedge, instance.relays, upstream.DirectPlacement{}).RunForPeer,
		Log:         instance.requestLog.takeCell,
	}
	return queries{registrar: own, relay: relay.Serve, cell: server.Serve, placement: placement}
}
