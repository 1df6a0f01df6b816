// Package deployment builds the users' two deployments out of stand-ins: the
// replicas at their real size and the documents that describe them.
package deployment

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/standin/platform"
	"github.com/mimosaspring/mimosaspring/internal/standin/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/wire/toml"
)

// ServiceGroup is a number of services of one shape.
type ServiceGroup struct {
	Name            string
	ServiceCount        int
	ReplicasPerService        int
	Slots           int
	ConnectionLimit int
	ConnectCost     time.Duration
	// ServiceTime is the median time that a request runs.
	ServiceTime time.Duration
	// ServiceTimeSigma is the sigma of the log-normal service time.
	ServiceTimeSigma float64
}

// Plan is one user's deployment.
type Plan struct {
	Name           string
	FailureDomains []string
	Groups         []ServiceGroup
	Scopes         []api.Scope
	// NetworkDelay is the round trip between an instance and a replica.
	NetworkDelay time.Duration
	// CallerDelay is the one-way latency between a caller and an instance.
	CallerDelay time.Duration
}

// InitialSnapshot is the snapshot that a new deployment serves.
const InitialSnapshot = 7

const (
	serviceTime = 4 * time.Millisecond
	queueFactor = 8
	spread      = 0.4
	healthLag   = time.Second
)

// Batinah is the plan of Batinah Co-operative Briquette Trial Search.
func Batinah() Plan {
	return Plan{
		Name:           "batinah",
		FailureDomains: []string{"muscat-a", "sohar-b", "nizwa-c"},
		NetworkDelay:   time.Millisecond,
		CallerDelay:    time.Millisecond,
		Groups: []ServiceGroup{
			{Name: "kiln-desk", ServiceCount: 20, ReplicasPerService: 2, Slots: 2, ConnectionLimit: 25, ConnectCost: 6 * time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: spread},
			{Name: "member-portal", ServiceCount: 30, ReplicasPerService: 2, Slots: 2, ConnectionLimit: 25, ConnectCost: 6 * time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: spread},
			{Name: "ledger-office", ServiceCount: 1, ReplicasPerService: 5, Slots: 3, ConnectionLimit: 110, ConnectCost: time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: spread},
			{Name: "moisture-logbook", ServiceCount: 1, ReplicasPerService: 3, Slots: 3, ConnectionLimit: 110, ConnectCost: time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: spread},
		},
		Scopes: []api.Scope{
			scope("burn-tests", "batinah", "supervisor", "batinah", api.AimLatency, 0, 2, selector("lookup", false, "kiln-desk")),
			scope("members", "batinah", "member", "batinah", api.AimLatency, 0, 1, selector("lookup", false, "kiln-desk", "member-portal")),
			scope("registrations", "batinah", "supervisor", "batinah", api.AimLatency, 0, 2, selector("register", true, "ledger-office")),
		},
	}
}

// Voces is the plan of Voces del Archivo oral history search.
func Voces() Plan {
	return Plan{
		Name:           "voces",
		FailureDomains: []string{"andina-a", "andina-b", "andina-c", "andina-d"},
		NetworkDelay:   time.Millisecond,
		CallerDelay:    3 * time.Millisecond,
		Groups: []ServiceGroup{
			{Name: "agenda", ServiceCount: 20, ReplicasPerService: 2, Slots: 2, ConnectionLimit: 25, ConnectCost: 6 * time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: spread},
			{Name: "transcribe", ServiceCount: 30, ReplicasPerService: 2, Slots: 2, ConnectionLimit: 25, ConnectCost: 6 * time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: spread},
			{Name: "familias", ServiceCount: 1, ReplicasPerService: 7, Slots: 4, ConnectionLimit: 45, ConnectCost: time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: spread},
			{Name: "permisos", ServiceCount: 1, ReplicasPerService: 4, Slots: 4, ConnectionLimit: 45, ConnectCost: time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: spread},
		},
		Scopes: []api.Scope{
			scope("availability", "voces", "interviewer", "voces", api.AimCoverage, 0, 2, selector("lookup", false, "agenda")),
			scope("catalogue", "voces", "researcher", "voces", api.AimCoverage, 0, 1, selector("pull", false, "agenda", "transcribe")),
			scope("families", "voces", "family", "voces", api.AimLatency, 0, 3, selector("call", false, "familias")),
			scope("bookings", "voces", "interviewer", "voces", api.AimCoverage, 0, 3, selector("book", true, "agenda")),
		},
	}
}

func scope(name, tenant, class, index string, aim api.Aim, least float64, priority int, selectors ...api.Selector) api.Scope {
	return api.Scope{Name: name, Tenant: tenant, Class: class, Index: index, Aim: aim, MinCoverage: least, Priority: priority, Selectors: selectors}
}

func selector(kind string, isCommand bool, groups ...string) api.Selector {
	return api.Selector{Kind: kind, IsCommand: isCommand, Shards: map[string][]string{"group": groups}}
}

// Fleet is a plan's replicas while they run.
type Fleet struct {
	Plan     Plan
	Servers []*upstream.Server
	// ServerByName holds the replicas by name.
	ServerByName map[string]*upstream.Server
	index  api.Index
	hosts  []api.Upstream
	listed []api.Instance
}

// Start starts the replicas of plan on loopback ports that the kernel picks.
func Start(plan Plan) (*Fleet, error) {
	fleet := &Fleet{Plan: plan, ServerByName: make(map[string]*upstream.Server), index: api.Index{Name: plan.Name, Snapshot: InitialSnapshot}}
	for _, group := range plan.Groups {
		for service := range group.ServiceCount {
			if err := fleet.startService(group, service); err != nil {
				fleet.Close()
				return nil, err
			}
		}
	}
	return fleet, nil
}

func (fleet *Fleet) startService(group ServiceGroup, number int) error {
	name := group.Name
	if group.ServiceCount > 1 {
		name = fmt.Sprintf("%s-%02d", group.Name, number+1)
	}
	labels := map[string]string{"group": group.Name}
	fleet.index.Shards = append(fleet.index.Shards, api.Shard{Name: name, Upstream: name, Epoch: 1, Labels: labels})
	fleet.hosts = append(fleet.hosts, api.Upstream{Name: name, Labels: labels, Slots: group.Slots, ConnectionLimit: group.ConnectionLimit})
	shape := upstream.ReplicaConfig{
		Slots:           group.Slots,
		QueueLimit:           group.Slots * queueFactor,
		ConnectionLimit: group.ConnectionLimit,
		ConnectCost:     group.ConnectCost,
		ServiceTime:         group.ServiceTime,
		ServiceTimeSigma:          group.ServiceTimeSigma,
		HealthLag:             healthLag,
		NetworkDelay:    fleet.Plan.NetworkDelay,
	}
	for copyNumber := range group.ReplicasPerService {
		replica := fmt.Sprintf("%s-%c", name, 'a'+copyNumber)
		domain := fleet.Plan.FailureDomains[(number+copyNumber)%len(fleet.Plan.FailureDomains)]
		if err := fleet.startReplica(replica, name, domain, shape); err != nil {
			return err
		}
	}
	return nil
}

func (fleet *Fleet) startReplica(name, service, domain string, shape upstream.ReplicaConfig) error {
	replica := upstream.NewReplica(name, shape, map[string]uint64{service: 1}, []uint64{InitialSnapshot})
	server, err := upstream.Listen("127.0.0.1:0", replica)
	if err != nil {
		return errors.Wrap(err, "start replica "+name)
	}
	fleet.Servers = append(fleet.Servers, server)
	fleet.ServerByName[name] = server
	fleet.listed = append(fleet.listed, api.Instance{
		Name:          name,
		Upstream:      service,
		Address:       server.Address,
		FailureDomain: domain,
		State:         api.InstanceLive,
		Incarnation:   1,
	})
	return nil
}

// Close ends all replicas.
func (fleet *Fleet) Close() {
	for _, server := range fleet.Servers {
		server.Close()
	}
}

// Publish puts the documents that describe the fleet into store.
func (fleet *Fleet) Publish(store *platform.Store) error {
	documents := map[string]any{
		api.IndexPrefix + fleet.Plan.Name:     fleet.index,
		api.UpstreamsPrefix + fleet.Plan.Name: api.Upstreams{Upstreams: fleet.hosts},
		api.InstancesPrefix + fleet.Plan.Name: api.InstanceList{Instances: fleet.listed},
	}
	for _, scope := range fleet.Plan.Scopes {
		documents[api.ScopePrefix+scope.Name] = scope
	}
	for key, value := range documents {
		if err := PutDocument(store, key, value); err != nil {
			return err
		}
	}
	return nil
}

// PutDocument encodes value and puts it into store under key.
func PutDocument(store *platform.Store, key string, value any) error {
	text, err := toml.Encode(value)
	if err != nil {
		return err
	}
	_, err = store.Put(key, text)
	return err
}

// Index returns the index document of the fleet.
func (fleet *Fleet) Index() api.Index { return fleet.index }

// Instances returns the instance list of the fleet's replicas.
func (fleet *Fleet) Instances() []api.Instance { return fleet.listed }
