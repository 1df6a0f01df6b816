package control

import (
	"maps"
	"slices"
	"strings"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Build returns the View of state. It builds anew only the parts that effects
// name and keeps the others.
func Build(state *State, effects Effects) *view.View {
	members := make(map[string]api.Member, len(state.Members))
	for name, member := range state.Members {
		members[name] = member.Member
	}
	if effects.Rebuild {
		buildConfiguration(state)
	}
	if effects.Membership {
		buildRoles(state, members)
	}
	state.number++
	configuration, roles := state.configuration, state.roles
	return &view.View{
		Number:        state.number,
		Self:          state.Self,
		Members:       members,
		Listed:        configuration.listed,
		InForce:       configuration.inForce,
		Refused:       configuration.refused,
		Neighbours:    roles.neighbours,
		IsReader:      roles.isReader,
		Indexes:       configuration.indexes,
		Scopes:        configuration.scopes,
		Replicas:      state.Replicas,
		Keys:          configuration.keys,
		Digest:        configuration.digest,
		MembersDigest: roles.digest,
		Marks:         configuration.marks,
		Stopped:       roles.stopped,
		PlatformHeard: state.PlatformHeard,
		StaleAnswers:  state.StaleAnswers,
	}
}

// All asks Build for every part.
var All = Effects{Rebuild: true, Membership: true}

func buildConfiguration(state *State) {
	upstreams := publishedUpstreams(state)
	buildReplicas(state, upstreams)
	indexes := buildIndexes(state, upstreams)
	state.configuration = configuration{
		listed:  listedInstances(state),
		inForce: documents(state.InForce),
		refused: documents(state.Refused),
		indexes: indexes,
		scopes:  buildScopes(state, indexes),
		keys:    keyStatuses(state),
		digest:  keysDigest(state),
		marks:   slices.Collect(maps.Keys(state.Marks)),
	}
}

func buildRoles(state *State, members map[string]api.Member) {
	state.roles = roles{
		neighbours: Neighbours(members, state.Self.Instance.Name),
		isReader:   IsReader(members, state.Self),
		digest:     membersDigest(members, state.Stopped),
		stopped:    slices.Collect(maps.Keys(state.Stopped)),
	}
}

// published visits the documents in force under prefix, in the order of keys.
func published(state *State, prefix string, visit func(api.Received)) {
	for _, key := range slices.Sorted(maps.Keys(state.InForce)) {
		received := state.InForce[key]
		if strings.HasPrefix(key, prefix) && !received.Document.Deleted {
			visit(received)
		}
	}
}

func documents(received map[string]api.Received) map[string]api.Document {
	documents := make(map[string]api.Document, len(received))
	for key, one := range received {
		documents[key] = one.Document
	}
	return documents
}

func listedInstances(state *State) []api.Instance {
	var listed []api.Instance
	published(state, api.InstancesPrefix, func(received api.Received) {
		for _, instance := range received.Instances.Instances {
			if instance.Upstream == api.OwnUpstream {
				listed = append(listed, instance)
			}
		}
	})
	return listed
}

func publishedUpstreams(state *State) map[string]api.Upstream {
	upstreams := make(map[string]api.Upstream)
	published(state, api.UpstreamsPrefix, func(received api.Received) {
		for _, upstream := range received.Upstreams.Upstreams {
			upstreams[upstream.Name] = upstream
		}
	})
	return upstreams
}

func buildReplicas(state *State, upstreams map[string]api.Upstream) {
	replicas := make(map[string]*view.Replica, len(state.Replicas))
	published(state, api.InstancesPrefix, func(received api.Received) {
		for _, instance := range received.Instances.Instances {
			upstream, isKnown := upstreams[instance.Upstream]
			if isKnown {
				replicas[instance.Name] = buildReplica(state, instance, upstream)
			}
		}
	})
	state.Replicas = replicas
	maps.DeleteFunc(state.Held, func(name string, held message.ReplicaHeld) bool {
		return replicas[name] == nil || replicas[name].Instance.Incarnation != held.Incarnation
	})
}

// buildReplica keeps the traffic counters of an incarnation over all Views.
func buildReplica(state *State, instance api.Instance, upstream api.Upstream) *view.Replica {
	replica := &view.Replica{Instance: instance, Upstream: upstream}
	known := state.Replicas[instance.Name]
	if known != nil && known.Instance.Incarnation == instance.Incarnation {
		replica.Traffic = known.Traffic
	} else {
		replica.Traffic = &view.Traffic{}
	}
	_, isMarked := state.Marks[api.LeavingMark{Replica: instance.Name, Incarnation: instance.Incarnation}]
	if isMarked || instance.State == api.InstanceLeaving {
		replica.Traffic.Leaving.Store(true)
	}
	return replica
}

func buildIndexes(state *State, upstreams map[string]api.Upstream) map[string]view.Index {
	byUpstream := make(map[string][]*view.Replica)
	for _, name := range slices.Sorted(maps.Keys(state.Replicas)) {
		replica := state.Replicas[name]
		if !replica.Traffic.Leaving.Load() {
			byUpstream[replica.Upstream.Name] = append(byUpstream[replica.Upstream.Name], replica)
		}
	}
	indexes := make(map[string]view.Index)
	published(state, api.IndexPrefix, func(received api.Received) {
		index := view.Index{Name: received.Index.Name, Published: received.Index.Snapshot}
		for _, shard := range received.Index.Shards {
			index.Shards = append(index.Shards, view.Shard{
				Name:     shard.Name,
				Epoch:    shard.Epoch,
				Labels:   shard.Labels,
				Upstream: upstreams[shard.Upstream],
				Replicas: byUpstream[shard.Upstream],
			})
		}
		index.Snapshot = ChooseSnapshot(index, state.Held)
		indexes[index.Name] = index
	})
	return indexes
}

func buildScopes(state *State, indexes map[string]view.Index) map[string]view.Scope {
	scopes := make(map[string]view.Scope)
	published(state, api.ScopePrefix, func(received api.Received) {
		scopes[received.Scope.Name] = BuildScope(*received.Scope, indexes[received.Scope.Index])
	})
	return scopes
}

// BuildScope selects the shards of every kind of scope from index.
func BuildScope(scope api.Scope, index view.Index) view.Scope {
	built := view.Scope{Scope: scope, Selections: make(map[string]view.Selection, len(scope.Selectors))}
	for _, selector := range scope.Selectors {
		selection := view.Selection{Kind: selector.Kind, Command: selector.Command}
		for _, shard := range index.Shards {
			if api.IsSelected(selector.Shards, shard.Labels) && api.IsSelected(selector.Upstreams, shard.Upstream.Labels) {
				selection.Shards = append(selection.Shards, shard)
			}
		}
		built.Selections[selector.Kind] = selection
	}
	return built
}

func keyStatuses(state *State) []view.KeyStatus {
	statuses := make(map[string]view.KeyStatus, len(state.InForce))
	for key, received := range state.InForce {
		statuses[key] = view.KeyStatus{Key: key, InForce: received.Document.Revision}
	}
	for key, received := range state.Refused {
		status := statuses[key]
		status.Key = key
		status.Refused = received.Document.Revision
		status.Reason = received.Refusal
		statuses[key] = status
	}
	sorted := make([]view.KeyStatus, 0, len(statuses))
	for _, key := range slices.Sorted(maps.Keys(statuses)) {
		sorted = append(sorted, statuses[key])
	}
	return sorted
}
