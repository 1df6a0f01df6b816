// Package deployment simulates the users' two deployments: it starts as many
// replicas as they have and publishes the documents that describe these.
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

// ServiceGroup describes a number of services of the same configuration.
type ServiceGroup struct {
	Name               string
	ServiceCount       int
	ReplicasPerService int
	// Slots is the number of requests that a replica runs at once.
	Slots           int
	ConnectionLimit int
	// ConnectCost is the time that a new connection to a replica takes.
	ConnectCost time.Duration
	// ServiceTime is the median time that a request runs.
	ServiceTime time.Duration
	// ServiceTimeSigma is the sigma of the log-normal service time.
	ServiceTimeSigma float64
}

// Plan describes the deployment of one user.
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
	serviceTime      = 4 * time.Millisecond
	serviceTimeSigma = 0.4
	// queuePerSlot is the number of requests in a replica's queue per slot.
	queuePerSlot = 8
	healthLag    = time.Second
)

// Batinah returns the plan of Batinah Co-operative Briquette Trial Search.
func Batinah() Plan {
	return Plan{
		Name:           "batinah",
		FailureDomains: []string{"muscat-a", "sohar-b", "nizwa-c"},
		NetworkDelay:   time.Millisecond,
		CallerDelay:    time.Millisecond,
		Groups: []ServiceGroup{
			{Name: "kiln-desk", ServiceCount: 20, ReplicasPerService: 2, Slots: 2, ConnectionLimit: 25, ConnectCost: 6 * time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: serviceTimeSigma},
			{Name: "member-portal", ServiceCount: 30, ReplicasPerService: 2, Slots: 2, ConnectionLimit: 25, ConnectCost: 6 * time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: serviceTimeSigma},
			{Name: "ledger-office", ServiceCount: 1, ReplicasPerService: 5, Slots: 3, ConnectionLimit: 110, ConnectCost: time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: serviceTimeSigma},
			{Name: "moisture-logbook", ServiceCount: 1, ReplicasPerService: 3, Slots: 3, ConnectionLimit: 110, ConnectCost: time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: serviceTimeSigma},
		},
		Scopes: []api.Scope{
			newScope("burn-tests", "batinah", "supervisor", "batinah", api.AimLatency, 0, 2, newSelector("lookup", false, "kiln-desk")),
			newScope("members", "batinah", "member", "batinah", api.AimLatency, 0, 1, newSelector("lookup", false, "kiln-desk", "member-portal")),
			newScope("registrations", "batinah", "supervisor", "batinah", api.AimLatency, 0, 2, newSelector("register", true, "ledger-office")),
		},
	}
}

// Voces returns the plan of Voces del Archivo oral history search.
func Voces() Plan {
	return Plan{
		Name:           "voces",
		FailureDomains: []string{"andina-a", "andina-b", "andina-c", "andina-d"},
		NetworkDelay:   time.Millisecond,
		CallerDelay:    3 * time.Millisecond,
		Groups: []ServiceGroup{
			{Name: "agenda", ServiceCount: 20, ReplicasPerService: 2, Slots: 2, ConnectionLimit: 25, ConnectCost: 6 * time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: serviceTimeSigma},
			{Name: "transcribe", ServiceCount: 30, ReplicasPerService: 2, Slots: 2, ConnectionLimit: 25, ConnectCost: 6 * time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: serviceTimeSigma},
			{Name: "familias", ServiceCount: 1, ReplicasPerService: 7, Slots: 4, ConnectionLimit: 45, ConnectCost: time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: serviceTimeSigma},
			{Name: "permisos", ServiceCount: 1, ReplicasPerService: 4, Slots: 4, ConnectionLimit: 45, ConnectCost: time.Millisecond, ServiceTime: serviceTime, ServiceTimeSigma: serviceTimeSigma},
		},
		Scopes: []api.Scope{
			newScope("availability", "voces", "interviewer", "voces", api.AimCoverage, 0, 2, newSelector("lookup", false, "agenda")),
			newScope("catalogue", "voces", "researcher", "voces", api.AimCoverage, 0, 1, newSelector("pull", false, "agenda", "transcribe")),
			newScope("families", "voces", "family", "voces", api.AimLatency, 0, 3, newSelector("call", false, "familias")),
			newScope("bookings", "voces", "interviewer", "voces", api.AimCoverage, 0, 3, newSelector("book", true, "agenda")),
		},
	}
}

func newScope(name, tenant, class, index string, aim api.Aim, minCoverage float64, priority int, selectors ...api.Selector) api.Scope {
	return api.Scope{Name: name, Tenant: tenant, Class: class, Index: index, Aim: aim, MinCoverage: minCoverage, Priority: priority, Selectors: selectors}
}

func newSelector(kind string, isCommand bool, groups ...string) api.Selector {
	return api.Selector{Kind: kind, IsCommand: isCommand, Shards: map[string][]string{"group": groups}}
}

// Fleet holds the running replicas of a plan.
type Fleet struct {
	Plan    Plan
	Servers []*upstream.Server
	// ServerByName holds the servers by the name of their replica.
	ServerByName map[string]*upstream.Server
	index        api.Index
	upstreams    []api.Upstream
	// instances describes the replicas, in the order of Servers.
	instances []api.Instance
}

// Start starts the replicas of plan on loopback ports that the kernel assigns. On
// an error it closes what it has started.
func Start(plan Plan) (*Fleet, error) {
	fleet := &Fleet{Plan: plan, ServerByName: make(map[string]*upstream.Server), index: api.Index{Name: plan.Name, Snapshot: InitialSnapshot}}
	for _, group := range plan.Groups {
		for number := range group.ServiceCount {
			if err := fleet.startService(group, number); err != nil {
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
	fleet.upstreams = append(fleet.upstreams, api.Upstream{Name: name, Labels: labels, Slots: group.Slots, ConnectionLimit: group.ConnectionLimit})
	config := upstream.ReplicaConfig{
		Slots:            group.Slots,
		QueueLimit:       group.Slots * queuePerSlot,
		ConnectionLimit:  group.ConnectionLimit,
		ConnectCost:      group.ConnectCost,
		ServiceTime:      group.ServiceTime,
		ServiceTimeSigma: group.ServiceTimeSigma,
		HealthLag:        healthLag,
		NetworkDelay:     fleet.Plan.NetworkDelay,
	}
	failureDomains := fleet.Plan.FailureDomains
	for copyNumber := range group.ReplicasPerService {
		replica := fmt.Sprintf("%s-%c", name, 'a'+copyNumber)
		failureDomain := failureDomains[(number+copyNumber)%len(failureDomains)]
		if err := fleet.startReplica(replica, name, failureDomain, config); err != nil {
			return err
		}
	}
	return nil
}

// startReplica starts the replica with the given name. Its service is the only
// shard that it serves.
func (fleet *Fleet) startReplica(name, service, failureDomain string, config upstream.ReplicaConfig) error {
	replica := upstream.NewReplica(name, config, map[string]uint64{service: 1}, []uint64{InitialSnapshot})
	server, err := upstream.Listen("127.0.0.1:0", replica)
	if err != nil {
		return errors.Wrap(err, "start replica "+name)
	}
	fleet.Servers = append(fleet.Servers, server)
	fleet.ServerByName[name] = server
	fleet.instances = append(fleet.instances, api.Instance{
		Name:          name,
		Upstream:      service,
		Address:       server.Address,
		FailureDomain: failureDomain,
		State:         api.InstanceLive,
		Incarnation:   1,
	})
	return nil
}

// Close stops all replicas at once.
func (fleet *Fleet) Close() {
	for _, server := range fleet.Servers {
		server.Close()
	}
}

// Publish puts the documents that describe the fleet into store.
func (fleet *Fleet) Publish(store *platform.Store) error {
	documents := map[string]any{
		api.IndexPrefix + fleet.Plan.Name:     fleet.index,
		api.UpstreamsPrefix + fleet.Plan.Name: api.Upstreams{Upstreams: fleet.upstreams},
		api.InstancesPrefix + fleet.Plan.Name: api.InstanceList{Instances: fleet.instances},
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

// PutDocument encodes value as TOML and stores it under key.
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

// Instances returns the instance list of the fleet's replicas, in the order of
// Servers.
func (fleet *Fleet) Instances() []api.Instance { return fleet.instances }
