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
	if effects.RebuildConfiguration {
		buildConfiguration(state)
	}
	if effects.RebuildRoles {
		buildRoles(state, members)
	}
	if effects.RebuildConfiguration || effects.RebuildRoles {
		buildHomes(state, members)
	}
	state.viewNumber++
	configuration, roles := state.configuration, state.roles
	return &view.View{
		Number:         state.viewNumber,
		Self:           state.Self,
		Members:        members,
		Listed:         configuration.listedInstances,
		InForce:        configuration.documentsInForce,
		Refused:        configuration.refusedDocuments,
		Neighbours:     roles.neighbours,
		IsReader:       roles.isReader,
		Homes:          state.homes,
		HomedUpstreams: state.homedUpstreams,
		Indexes:        configuration.indexes,
		Scopes:         configuration.scopes,
		Routes:         configuration.routes,
		Limits:         configuration.limits,
		Replicas:       state.Replicas,
		Keys:           configuration.keyStatuses,
		Digest:         configuration.digest,
		MembersDigest:  roles.digest,
		Marks:          configuration.leavingMarks,
		Stopped:        roles.stoppedHomes,
		Ended:          roles.endedMembers,
		PlatformHeard:  state.PlatformHeardAt,
		StaleAnswers:   state.StaleAnswers,
	}
}

// RebuildAll asks Build for every part.
var RebuildAll = Effects{RebuildConfiguration: true, RebuildRoles: true}

func buildConfiguration(state *State) {
	state.sortedDocuments = sortDocuments(state)
	upstreams := upstreamsByName(state)
	buildReplicas(state, upstreams)
	byUpstream := replicasByUpstream(state)
	indexes := buildIndexes(state, upstreams, byUpstream)
	scopes := buildScopes(state, indexes, targetResolver(upstreams, byUpstream))
	state.configuration = configuration{
		listedInstances:  listedInstances(state),
		documentsInForce: documentsByKey(state.DocumentsInForce),
		refusedDocuments: documentsByKey(state.RefusedDocuments),
		indexes:          indexes,
		scopes:           scopes,
		routes:           buildRoutes(scopes),
		limits:           callerLimits(state),
		keyStatuses:      keyStatuses(state),
		digest:           keysDigest(state),
		leavingMarks:     sortedByLearnTime(state.LeavingMarks),
	}
}

func buildRoles(state *State, members map[string]api.Member) {
	state.roles = roles{
		neighbours:   Neighbours(members, state.Self.Instance.Name),
		isReader:     IsReader(members, state.Self, state.ReadersPerFailureDomain),
		digest:       membersDigest(members, state.StoppedHomes),
		stoppedHomes: sortedByLearnTime(state.StoppedHomes),
		endedMembers: endedMembers(state.Members),
	}
}

// buildHomes assigns the homes anew where what they follow from changed.
func buildHomes(state *State, members map[string]api.Member) {
	shards := mergedShards(state.configuration.scopes)
	input := hashHomesInput(members, shards)
	if state.homes != nil && input == state.homesInputHash {
		return
	}
	state.homesInputHash = input
	state.homes = AssignHomes(members, shards, state.ShardsPerHome)
	state.homedUpstreams = homedUpstreams(state.homes, shards, state.Self.Instance.Name)
}

// sortedByLearnTime returns news in the order in which it was sortedByLearnTime.
func sortedByLearnTime[N comparable](since map[N]time.Time) []view.Learned[N] {
	all := make([]view.Learned[N], 0, len(since))
	for news, at := range since {
		all = append(all, view.Learned[N]{News: news, Since: at})
	}
	slices.SortFunc(all, func(a, b view.Learned[N]) int { return a.Since.Compare(b.Since) })
	return all
}

func endedMembers(members map[string]Member) map[string]time.Time {
	ended := make(map[string]time.Time)
	for name, member := range members {
		if member.State == api.MemberFailed || member.State == api.MemberLeft {
			ended[name] = member.LearnedAt
		}
	}
	return ended
}

// sortDocuments returns the documents in force, in the sortDocuments of keys.
func sortDocuments(state *State) []api.Received {
	ordered := make([]api.Received, 0, len(state.DocumentsInForce))
	for _, key := range slices.Sorted(maps.Keys(state.DocumentsInForce)) {
		if received := state.DocumentsInForce[key]; !received.Document.Deleted {
			ordered = append(ordered, received)
		}
	}
	return ordered
}

// forEachDocument visits the documents in force, in the order of keys.
func forEachDocument(state *State, visit func(api.Received)) {
	for _, received := range state.sortedDocuments {
		visit(received)
	}
}

// forEachInstance visits the instances of all documents in force.
func forEachInstance(state *State, visit func(api.Instance)) {
	forEachDocument(state, func(received api.Received) {
		if received.Instances == nil {
			return
		}
		for _, instance := range received.Instances.Instances {
			visit(instance)
		}
	})
}

func callerLimits(state *State) api.CallerLimits {
	limits := api.CallerLimits{MaxBodyBytes: defaultMaxBodyBytes}
	forEachDocument(state, func(received api.Received) {
		if received.Limits != nil {
			limits = *received.Limits
		}
	})
	return limits
}

// defaultMaxBodyBytes is the largest body of a relayed request, in bytes, where no
// document sets a limit: what the smallest instance can hold for each request
// that it serves at once.
const defaultMaxBodyBytes = 256 << 10

func documentsByKey(received map[string]api.Received) map[string]api.Document {
	documents := make(map[string]api.Document, len(received))
	for key, one := range received {
		documents[key] = one.Document
	}
	return documents
}

func listedInstances(state *State) []api.Instance {
	var listed []api.Instance
	forEachInstance(state, func(instance api.Instance) {
		if instance.Upstream == api.OwnUpstream {
			listed = append(listed, instance)
		}
	})
	return listed
}

func upstreamsByName(state *State) map[string]api.Upstream {
	upstreams := make(map[string]api.Upstream)
	forEachDocument(state, func(received api.Received) {
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
	forEachInstance(state, func(instance api.Instance) {
		if upstream, isKnown := upstreams[instance.Upstream]; isKnown {
			replicas[instance.Name] = buildReplica(state, instance, upstream)
		}
	})
	markRetiredReplicas(state.Replicas, replicas)
	state.Replicas = replicas
	maps.DeleteFunc(state.HeldSnapshots, func(name string, held message.ReplicaHeld) bool {
		return replicas[name] == nil || replicas[name].Instance.Incarnation != held.Incarnation
	})
}

// markRetiredReplicas marks the incarnations that are no longer published as
// leaving, for the requests that hold an older View.
func markRetiredReplicas(old, current map[string]*view.Replica) {
	for name, replica := range old {
		if next := current[name]; next == nil || next.Traffic != replica.Traffic {
			replica.Traffic.Leaving.Store(true)
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
		replica.Traffic = known.Traffic
	} else {
		replica.Traffic = &view.Traffic{}
		replica.Traffic.ColdUntil.Store(int64(view.Since() + instance.ColdLeft))
	}
	_, isMarked := state.LeavingMarks[api.LeavingMark{Replica: instance.Name, Incarnation: instance.Incarnation}]
	if isMarked || instance.State == api.InstanceLeaving {
		replica.Traffic.Leaving.Store(true)
	}
	return replica
}

// replicasByUpstream returns the replicas that may take new work.
func replicasByUpstream(state *State) map[string][]*view.Replica {
	byUpstream := make(map[string][]*view.Replica)
	for _, name := range slices.Sorted(maps.Keys(state.Replicas)) {
		replica := state.Replicas[name]
		if !replica.Traffic.Leaving.Load() {
			byUpstream[replica.Upstream.Name] = append(byUpstream[replica.Upstream.Name], replica)
		}
	}
	return byUpstream
}

func buildIndexes(state *State, upstreams map[string]api.Upstream, byUpstream map[string][]*view.Replica) map[string]view.Index {
	indexes := make(map[string]view.Index)
	forEachDocument(state, func(received api.Received) {
		if received.Index == nil {
			return
		}
		index := view.Index{Name: received.Index.Name, Published: received.Index.Snapshot, Positions: make(map[string]int)}
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
		index.Snapshot = ChooseSnapshot(index, state.HeldSnapshots)
		indexes[index.Name] = index
	})
	return indexes
}

func buildScopes(state *State, indexes map[string]view.Index, targets func(split []api.Share) []view.Target) map[string]view.Scope {
	scopes := make(map[string]view.Scope)
	add := func(scope api.Scope) {
		built := BuildScope(scope, indexes[scope.Index])
		built.Targets = targets(scope.Split)
		scopes[scope.Name] = built
	}
	forEachDocument(state, func(received api.Received) {
		if received.Scope != nil {
			add(*received.Scope)
		}
		for _, scope := range received.Scopes {
			add(scope)
		}
	})
	return scopes
}

// targetResolver returns the function that looks up the upstreams of a split.
func targetResolver(upstreams map[string]api.Upstream, byUpstream map[string][]*view.Replica) func([]api.Share) []view.Target {
	return func(split []api.Share) []view.Target {
		targets := make([]view.Target, 0, len(split))
		for _, share := range split {
			shard := view.Shard{Name: share.Upstream, Upstream: upstreams[share.Upstream], Replicas: byUpstream[share.Upstream]}
			targets = append(targets, view.Target{Weight: share.Weight, Shard: shard})
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
	statuses := make(map[string]view.KeyStatus, len(state.DocumentsInForce))
	for key, received := range state.DocumentsInForce {
		statuses[key] = view.KeyStatus{Key: key, InForce: received.Document.Revision}
	}
	for key, received := range state.RefusedDocuments {
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
