package control

import (
	"maps"
	"slices"
	"time"

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
	if effects.Rebuild || effects.Membership {
		buildHomes(state, members)
	}
	state.number++
	configuration, roles := state.configuration, state.roles
	return &view.View{
		Number:             state.number,
		Self:               state.Self,
		Members:            members,
		ListedInstances:    configuration.listed,
		DocumentsInForce:   configuration.inForce,
		RefusedDocuments:   configuration.refused,
		Neighbours:         roles.neighbours,
		IsReader:           roles.isReader,
		Homes:              state.homes,
		HomedUpstreams:     state.homedUpstreams,
		Indexes:            configuration.indexes,
		Scopes:             configuration.scopes,
		Routes:             configuration.routes,
		Limits:             configuration.limits,
		Replicas:           state.Replicas,
		KeyStatuses:        configuration.keys,
		ConfigDigest:       configuration.digest,
		MembersDigest:      roles.digest,
		LeavingReplicas:    configuration.marks,
		StoppedHomes:       roles.stopped,
		EndedAt:            roles.ended,
		PlatformAnsweredAt: state.PlatformHeardAt,
		StaleAnswers:       state.StaleAnswers,
	}
}

// RebuildAll asks Build for every part.
var RebuildAll = Effects{Rebuild: true, Membership: true}

func buildConfiguration(state *State) {
	state.ordered = order(state)
	upstreams := publishedUpstreams(state)
	buildReplicas(state, upstreams)
	byUpstream := replicasByUpstream(state)
	indexes := buildIndexes(state, upstreams, byUpstream)
	scopes := buildScopes(state, indexes, targetsOf(upstreams, byUpstream))
	state.configuration = configuration{
		listed:  listedInstances(state),
		inForce: documents(state.InForce),
		refused: documents(state.Refused),
		indexes: indexes,
		scopes:  scopes,
		routes:  buildRoutes(scopes),
		limits:  publishedLimits(state),
		keys:    keyStatuses(state),
		digest:  keysDigest(state),
		marks:   learned(state.Marks),
	}
}

func buildRoles(state *State, members map[string]api.Member) {
	state.roles = roles{
		neighbours: Neighbours(members, state.Self.Instance.Name),
		isReader:   IsReader(members, state.Self, state.ReadersPerFailureDomain),
		digest:     membersDigest(members, state.Stopped),
		stopped:    learned(state.Stopped),
		ended:      ended(state.Members),
	}
}

// buildHomes assigns the homes anew where what they follow from changed.
func buildHomes(state *State, members map[string]api.Member) {
	shards := mergedShards(state.configuration.scopes)
	input := homesInput(members, shards)
	if state.homes != nil && input == state.homesInput {
		return
	}
	state.homesInput = input
	state.homes = AssignHomes(members, shards, state.ShardsPerHome)
	state.homedUpstreams = homedUpstreams(state.homes, shards, state.Self.Instance.Name)
}

// learned returns news in the order in which it was learned.
func learned[N comparable](since map[N]time.Time) []view.Timestamped[N] {
	all := make([]view.Timestamped[N], 0, len(since))
	for news, at := range since {
		all = append(all, view.Timestamped[N]{Value: news, LearnedAt: at})
	}
	slices.SortFunc(all, func(a, b view.Timestamped[N]) int { return a.LearnedAt.Compare(b.LearnedAt) })
	return all
}

func ended(members map[string]Member) map[string]time.Time {
	ended := make(map[string]time.Time)
	for name, member := range members {
		if member.State == api.MemberFailed || member.State == api.MemberLeft {
			ended[name] = member.Since
		}
	}
	return ended
}

// order returns the documents in force, in the order of keys.
func order(state *State) []api.DecodedDocument {
	ordered := make([]api.DecodedDocument, 0, len(state.InForce))
	for _, key := range slices.Sorted(maps.Keys(state.InForce)) {
		if received := state.InForce[key]; !received.Document.IsDeleted {
			ordered = append(ordered, received)
		}
	}
	return ordered
}

// published visits the documents in force, in the order of keys.
func published(state *State, visit func(api.DecodedDocument)) {
	for _, received := range state.ordered {
		visit(received)
	}
}

// publishedInstances visits the instances of all documents in force.
func publishedInstances(state *State, visit func(api.Instance)) {
	published(state, func(received api.DecodedDocument) {
		if received.Instances == nil {
			return
		}
		for _, instance := range received.Instances.Instances {
			visit(instance)
		}
	})
}

func publishedLimits(state *State) api.CallerLimits {
	limits := api.CallerLimits{MaxBodyBytes: defaultMaxBody}
	published(state, func(received api.DecodedDocument) {
		if received.Limits != nil {
			limits = *received.Limits
		}
	})
	return limits
}

// defaultMaxBody is the largest body of a relayed request, in bytes, where no
// document sets a limit: what the smallest instance can hold for each request
// that it serves at once.
const defaultMaxBody = 256 << 10

func documents(received map[string]api.DecodedDocument) map[string]api.Document {
	documents := make(map[string]api.Document, len(received))
	for key, one := range received {
		documents[key] = one.Document
	}
	return documents
}

func listedInstances(state *State) []api.Instance {
	var listed []api.Instance
	publishedInstances(state, func(instance api.Instance) {
		if instance.Upstream == api.OwnUpstream {
			listed = append(listed, instance)
		}
	})
	return listed
}

func publishedUpstreams(state *State) map[string]api.Upstream {
	upstreams := make(map[string]api.Upstream)
	published(state, func(received api.DecodedDocument) {
		if received.Upstreams == nil {
			return
		}
		for _, upstream := range received.Upstreams.Upstreams {
			upstreams[upstream.Name] = upstream
		}
	})
	return upstreams
}

func buildReplicas(state *State, upstreams map[string]api.Upstream) {
	replicas := make(map[string]*view.Replica, len(state.Replicas))
	publishedInstances(state, func(instance api.Instance) {
		if upstream, isKnown := upstreams[instance.Upstream]; isKnown {
			replicas[instance.Name] = buildReplica(state, instance, upstream)
		}
	})
	retireReplicas(state.Replicas, replicas)
	state.Replicas = replicas
	maps.DeleteFunc(state.Held, func(name string, held message.ReplicaSnapshotsReported) bool {
		return replicas[name] == nil || replicas[name].Instance.Incarnation != held.Incarnation
	})
}

// retireReplicas marks the incarnations that are no longer published as
// leaving, for the requests that hold an older View.
func retireReplicas(old, current map[string]*view.Replica) {
	for name, replica := range old {
		if next := current[name]; next == nil || next.Stats != replica.Stats {
			replica.Stats.IsLeaving.Store(true)
		}
	}
}

// buildReplica keeps the traffic counters of an incarnation over all Views.
func buildReplica(state *State, instance api.Instance, upstream api.Upstream) *view.Replica {
	if instance.Slots > 0 {
		upstream.Slots = instance.Slots
	}
	replica := &view.Replica{Instance: instance, Upstream: upstream}
	known := state.Replicas[instance.Name]
	if known != nil && known.Instance.Incarnation == instance.Incarnation {
		replica.Stats = known.Stats
	} else {
		replica.Stats = &view.ReplicaStats{}
		replica.Stats.ColdUntil.Store(int64(view.MonotonicNow() + instance.ColdTimeLeft))
	}
	_, isMarked := state.Marks[api.LeavingReplica{Replica: instance.Name, Incarnation: instance.Incarnation}]
	if isMarked || instance.State == api.InstanceLeaving {
		replica.Stats.IsLeaving.Store(true)
	}
	return replica
}

// replicasByUpstream returns the replicas that may take new work.
func replicasByUpstream(state *State) map[string][]*view.Replica {
	byUpstream := make(map[string][]*view.Replica)
	for _, name := range slices.Sorted(maps.Keys(state.Replicas)) {
		replica := state.Replicas[name]
		if !replica.Stats.IsLeaving.Load() {
			byUpstream[replica.Upstream.Name] = append(byUpstream[replica.Upstream.Name], replica)
		}
	}
	return byUpstream
}

func buildIndexes(state *State, upstreams map[string]api.Upstream, byUpstream map[string][]*view.Replica) map[string]view.Index {
	indexes := make(map[string]view.Index)
	published(state, func(received api.DecodedDocument) {
		if received.Index == nil {
			return
		}
		index := view.Index{Name: received.Index.Name, PublishedSnapshot: received.Index.Snapshot, Positions: make(map[string]int)}
		for _, shard := range received.Index.Shards {
			index.Positions[shard.Name] = len(index.Shards)
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

func buildScopes(state *State, indexes map[string]view.Index, targets func(split []api.UpstreamWeight) []view.WeightedUpstream) map[string]view.Scope {
	scopes := make(map[string]view.Scope)
	add := func(scope api.Scope) {
		built := BuildScope(scope, indexes[scope.Index])
		built.WeightedUpstreams = targets(scope.Split)
		scopes[scope.Name] = built
	}
	published(state, func(received api.DecodedDocument) {
		if received.Scope != nil {
			add(*received.Scope)
		}
		for _, scope := range received.Scopes {
			add(scope)
		}
	})
	return scopes
}

// targetsOf returns the function that looks up the upstreams of a split.
func targetsOf(upstreams map[string]api.Upstream, byUpstream map[string][]*view.Replica) func([]api.UpstreamWeight) []view.WeightedUpstream {
	return func(split []api.UpstreamWeight) []view.WeightedUpstream {
		targets := make([]view.WeightedUpstream, 0, len(split))
		for _, share := range split {
			shard := view.Shard{Name: share.Upstream, Upstream: upstreams[share.Upstream], Replicas: byUpstream[share.Upstream]}
			targets = append(targets, view.WeightedUpstream{Weight: share.Weight, Shard: shard})
		}
		return targets
	}
}

// buildRoutes returns the routes of all scopes; nil before there is a scope.
func buildRoutes(scopes map[string]view.Scope) view.Routes {
	if len(scopes) == 0 {
		return nil
	}
	routes := make(view.Routes, len(scopes))
	for name, scope := range scopes {
		for _, route := range scope.Scope.Routes {
			routes[view.RouteKey{Host: route.Host, Prefix: route.Prefix}] = view.RouteTarget{Scope: name, Kind: route.Kind}
		}
	}
	return routes
}

// BuildScope selects the shards of every kind of scope from index.
func BuildScope(scope api.Scope, index view.Index) view.Scope {
	built := view.Scope{Scope: scope, Selections: make(map[string]view.Selection, len(scope.Selectors))}
	for _, selector := range scope.Selectors {
		selection := view.Selection{Kind: selector.Kind, IsCommand: selector.IsCommand}
		for _, shard := range index.Shards {
			if api.MatchesSelector(selector.Shards, shard.Labels) && api.MatchesSelector(selector.Upstreams, shard.Upstream.Labels) {
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
		statuses[key] = view.KeyStatus{Key: key, RevisionInForce: received.Document.Revision}
	}
	for key, received := range state.Refused {
		status := statuses[key]
		status.Key = key
		status.RefusedRevision = received.Document.Revision
		status.Reason = received.RefusalReason
		statuses[key] = status
	}
	sorted := make([]view.KeyStatus, 0, len(statuses))
	for _, key := range slices.Sorted(maps.Keys(statuses)) {
		sorted = append(sorted, statuses[key])
	}
	return sorted
}
