package instance

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/query/caller"
	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/choice"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// queries are the two ways on which an instance answers queries: in the own
// form, and in the form of the callers.
type queries struct {
	registrar
	relay serveCall
}

// policySets builds the query path under each named set of policies. The sets
// other than default are baselines to measure against.
var policySets = map[string]func(*Instance) queries{
	"default": func(instance *Instance) queries {
		least := choice.LeastWait{FailureDomain: instance.settings.FailureDomain}
		return queries{
			registrar: assemble(instance, choice.LeastWait{}, upstream.NewPercentileHedge(), caller.NewPacedAdmission()),
			relay:     assembleRelay(instance, least, upstream.TargetHedge{}, caller.AdmitAll{}),
		}
	},
	"admitAll": func(instance *Instance) queries {
		return same(instance, choice.LeastWait{}, upstream.NewPercentileHedge(), caller.AdmitAll{})
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

// same builds both ways under the same policies.
func same[C upstream.Choice, H upstream.Hedge, A caller.Admission](instance *Instance, choice C, hedge H, admission A) queries {
	return queries{
		registrar: assemble(instance, choice, hedge, admission),
		relay:     assembleRelay(instance, choice, hedge, admission),
	}
}

// newFanout returns the query path over one kind of link.
func newFanout[C upstream.Choice, H upstream.Hedge, L upstream.Link](instance *Instance, choice C, hedge H, links *wire.Links[L]) *upstream.Fanout[C, H, L] {
	return &upstream.Fanout[C, H, L]{
		Choice:    choice,
		Hedge:     hedge,
		Links:     links,
		Published: instance.control.Published,
		Mailbox:   instance.control.Mailbox,
		Budget:    instance.budget,
		Metrics:   instance.metrics,
	}
}

// assemble builds the way of queries in the own form.
func assemble[C upstream.Choice, H upstream.Hedge, A caller.Admission](instance *Instance, choice C, hedge H, admission A) registrar {
	return &caller.Handler[A]{
		Admission: admission,
		Published: instance.control.Published,
		Run:       newFanout(instance, choice, hedge, instance.links).Run,
		Metrics:   instance.metrics,
		KeepTime:  instance.settings.Callers.KeepTime.Duration,
	}
}

// assembleRelay builds the way of queries in the callers' own form.
func assembleRelay[C upstream.Choice, H upstream.Hedge, A caller.Admission](instance *Instance, choice C, hedge H, admission A) serveCall {
	relay := &caller.Relay[A]{
		Admission:    admission,
		Run:          newFanout(instance, choice, hedge, instance.relays).Run,
		Metrics:      instance.metrics,
		TargetMargin: instance.settings.Callers.TargetMargin.Duration,
	}
	return relay.Serve
}
