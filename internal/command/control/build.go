package control

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Build returns a new View of state. It rebuilds only the parts that effects ask
// for and takes the others from the last View.
func Build(state *State, effects Effects) *view.View {
	members := make(map[string]api.Member, len(state.Members))
	for name, member := range state.Members {
		members[name] = member.Member
	}
	if effects.RebuildConfiguration || effects.RebuildDocuments {
		nameUpstreams(state)
		enforceBounds(state)
		state.sortedDocuments = sortDocuments(state)
		buildDocuments(state)
	}
	if effects.RebuildConfiguration {
		buildConfiguration(state)
	}
	if effects.RebuildRoles {
		buildRoles(state, members)
	}
	if effects.RebuildConfiguration || effects.RebuildRoles {
		buildHomes(state, members)
		buildPacing(state, members, view.MonotonicNow())
	}
	state.viewNumber++
	configuration, documents, roles := state.configuration, state.documents, state.roles
	return &view.View{
		Number:           state.viewNumber,
		IsConfigured:     state.IsConfigured,
		IsSettled:        state.IsSettled,
		HasPredecessor:   state.HasPredecessor,
		Self:             state.Self,
		Members:          members,
		ListedInstances:  configuration.listedInstances,
		DocumentsInForce: documents.documentsInForce,
		RefusedDocuments: documents.refusedDocuments,

		SupersededDocuments: documents.supersededDocuments,
		SupersededKeys:      documents.supersededKeys,

		Neighbours:         roles.neighbours.Probed,
		GossipNeighbours:   roles.neighbours.Gossip,
		IsReader:           roles.isReader,
		Serving:            roles.serving,
		Senders:            roles.senders,
		Homes:              state.homes,
		IsHomeOfUpstream:   state.homedUpstreams,
		PreferredDomains:   state.preferredDomains,
		Indexes:            configuration.indexes,
		Scopes:             configuration.scopes,
		Routes:             configuration.routes,
		Limits:             configuration.limits,
		Replicas:           state.Replicas,
		KeyStatuses:        documents.keyStatuses,
		UnusedKeys:         documents.unusedKeys,
		RemovedAt:          documents.removedAt,
		ListingNumber:      state.retention.listingNumber,
		ConfigDigest:       documents.digest,
		MembersDigest:      roles.digest,
		LeavingReplicas:    configuration.leavingReplicas,
		StoppedHomes:       roles.stoppedHomes,
		EndedAt:            roles.endedAt,
		EvacuatedDomains:   configuration.evacuatedDomains,
		PlatformAnsweredAt: state.PlatformAnsweredAt,

		ConfigurationVersion:     state.ConfigurationVersion,
		CoveredVersion:           state.CoveredVersion,
		ConfigurationLackedSince: state.ConfigurationLackedSince,

		StaleAnswers: state.StaleAnswers,
		Era:          state.Era,
		PendingCount: len(state.PendingDocuments),

		PlatformKnownSince: state.PlatformKnownSince,
		PlatformReturnedAt: state.PlatformReturnedAt,
		HeldBackRemovals:   heldBackRemovals(state),
		RemovalCounts:      maps.Clone(state.RemovalCounts),
	}
}

// RebuildAll makes Build rebuild every part of the View.
var RebuildAll = Effects{RebuildConfiguration: true, RebuildRoles: true}

// buildConfiguration rebuilds the part of the View that is derived from documents,
// leaving replicas and snapshot reports.
func buildConfiguration(state *State) {
	upstreams := upstreamsByName(state)
	evacuated := evacuatedDomains(state)
	buildReplicas(state, upstreams, evacuated)
	upstreamReplicas := replicasByUpstream(state)
	indexes := buildIndexes(state, upstreams, upstreamReplicas)
	scopes := buildScopes(state, indexes, splitResolver(upstreams, upstreamReplicas))
	state.configuration = configuration{
		listedInstances:  listedInstances(state),
		indexes:          indexes,
		scopes:           scopes,
		routes:           buildRoutes(scopes),
		limits:           callerLimits(state),
		evacuatedDomains: evacuated,
		leavingReplicas:  sortedByLearnTime(state.LeavingReplicas),
	}
}

// buildDocuments rebuilds the part of the View that states which documents are known.
func buildDocuments(state *State) {
	state.documents = documents{
		documentsInForce: documentsByKey(state.DocumentsInForce),
		refusedDocuments: documentsByKey(state.RefusedDocuments),

		supersededDocuments: supersededDocuments(state),
		supersededKeys:      supersededKeys(state),

		keyStatuses: keyStatuses(state),
		unusedKeys:  unusedKeys(state),
		removedAt:   maps.Clone(state.retention.removedAt),
		digest:      keysDigest(state),
	}
}

// buildRoles rebuilds the part of the View that is derived from the membership.
func buildRoles(state *State, members map[string]api.Member) {
	state.roles = roles{
		neighbours:   Neighbours(members, state.Self.Instance.Name),
		isReader:     IsReader(members, state.Self, state.ReadersPerFailureDomain),
		serving:      state.ChooseServing(members),
		senders:      state.roles.senders.Observe(state.ChooseSenders(members), time.Now()),
		digest:       membersDigest(members, state.StoppedHomes),
		stoppedHomes: sortedByLearnTime(state.StoppedHomes),
		endedAt:      endedMembers(state.Members),
	}
}

// buildHomes assigns the homes again if the input of the assignment has changed.
func buildHomes(state *State, members map[string]api.Member) {
	if !state.IsSettled {
		return
	}
	shards := mergedShards(state.configuration.scopes)
	inputHash := hashHomesInput(members, state.roles.serving, shards)
	if state.homes != nil && inputHash == state.homesInputHash {
		return
	}
	state.homesInputHash = inputHash
	state.homes = AssignHomes(members, state.roles.serving, shards, state.ShardsPerHome)
	state.preferredDomains = PreferredDomains(members, state.homes, state.Self.Instance.Name)
	state.homedUpstreams = homedUpstreams(state.homes, shards, state.Self.Instance.Name)
}

// sortedByLearnTime returns the keys of learnTimes with the times at which they were
// learned, the earliest first.
func sortedByLearnTime[T comparable](learnTimes map[T]time.Time) []view.Timestamped[T] {
	sorted := make([]view.Timestamped[T], 0, len(learnTimes))
	for item, learnedAt := range learnTimes {
		sorted = append(sorted, view.Timestamped[T]{Value: item, LearnedAt: learnedAt})
	}
	slices.SortFunc(sorted, func(a, b view.Timestamped[T]) int { return a.LearnedAt.Compare(b.LearnedAt) })
	return sorted
}

// endedMembers returns, by name of each member that failed or left, the time at
// which this was learned.
func endedMembers(members map[string]Member) map[string]time.Time {
	ended := make(map[string]time.Time)
	for name, member := range members {
		if member.State == api.MemberFailed || member.State == api.MemberLeft {
			ended[name] = member.LearnedAt
		}
	}
	return ended
}

// sortDocuments returns the documents in force without the deletions, sorted by key.
func sortDocuments(state *State) []api.DecodedDocument {
	sorted := make([]api.DecodedDocument, 0, len(state.DocumentsInForce))
	for _, key := range slices.Sorted(maps.Keys(state.DocumentsInForce)) {
		if decoded := state.DocumentsInForce[key]; !decoded.Document.IsDeleted {
			sorted = append(sorted, decoded)
		}
	}
	return sorted
}

// forEachDocument calls visit for each document in force that is not a deletion, in
// the order of their keys.
func forEachDocument(state *State, visit func(api.DecodedDocument)) {
	for _, decoded := range state.sortedDocuments {
		visit(decoded)
	}
}

// forEachInstance calls visit for each instance of the documents in force.
func forEachInstance(state *State, visit func(api.Instance)) {
	forEachDocument(state, func(decoded api.DecodedDocument) {
		if decoded.Instances == nil {
			return
		}
		for _, instance := range decoded.Instances.Instances {
			visit(instance)
		}
	})
}

// callerLimits returns the limits of the last document, in the order of keys, that
// sets any, or the defaults.
func callerLimits(state *State) api.CallerLimits {
	limits := api.CallerLimits{MaxBodyBytes: defaultMaxBodyBytes}
	forEachDocument(state, func(decoded api.DecodedDocument) {
		if decoded.Limits != nil {
			limits = *decoded.Limits
		}
	})
	return limits
}

// defaultMaxBodyBytes is the size of the largest body of a relayed request unless
// a document sets a limit. The smallest instance can hold a body of this size for
// each of the requests that it serves at the same time.
const defaultMaxBodyBytes = 256 << 10

// documentsByKey returns the documents as they were received, without their decoded
// contents.
func documentsByKey(decodedByKey map[string]api.DecodedDocument) map[string]api.Document {
	documents := make(map[string]api.Document, len(decodedByKey))
	for key, decoded := range decodedByKey {
		documents[key] = decoded.Document
	}
	return documents
}

// listedInstances returns this system's own instances that the platform lists.
func listedInstances(state *State) []api.Instance {
	var listed []api.Instance
	forEachInstance(state, func(instance api.Instance) {
		if instance.Upstream == api.OwnUpstream {
			listed = append(listed, instance)
		}
	})
	return listed
}

// upstreamsByName returns the upstreams of the documents in force.
func upstreamsByName(state *State) map[string]api.Upstream {
	upstreams := make(map[string]api.Upstream)
	forEachDocument(state, func(decoded api.DecodedDocument) {
		if decoded.Upstreams == nil {
			return
		}
		for _, upstream := range decoded.Upstreams.Upstreams {
			upstreams[upstream.Name] = upstream
		}
	})
	return upstreams
}

// buildReplicas replaces state.Replicas by the published instances of known
// upstreams, and marks those in evacuated failure domains. It deletes the snapshot
// reports of replicas and incarnations that are no longer published.
func buildReplicas(state *State, upstreams map[string]api.Upstream, evacuated []string) {
	replicas := make(map[string]*view.Replica, len(state.Replicas))
	forEachInstance(state, func(instance api.Instance) {
		if upstream, isKnown := upstreams[instance.Upstream]; isKnown {
			replica := buildReplica(state, instance, upstream)
			setEvacuated(replica, slices.Contains(evacuated, instance.FailureDomain))
			replicas[instance.Name] = replica
		}
	})
	markRetiredReplicas(state.Replicas, replicas)
	state.Replicas = replicas
	maps.DeleteFunc(state.SnapshotReports, func(name string, replicasnapshotsreported message.ReplicaSnapshotsReported) bool {
		return replicas[name] == nil || replicas[name].Instance.Incarnation != replicasnapshotsreported.Incarnation
	})
}

// markRetiredReplicas marks the incarnations that are no longer published as leaving,
// so that requests which still use an older View send them no new work.
func markRetiredReplicas(old, current map[string]*view.Replica) {
	for name, replica := range old {
		if next := current[name]; next == nil || next.Stats != replica.Stats {
			replica.Stats.IsLeaving.Store(true)
		}
	}
}

// buildReplica returns the replica of a published instance. Its Stats are shared by
// all Views with the same incarnation of the instance.
func buildReplica(state *State, instance api.Instance, upstream api.Upstream) *view.Replica {
	if instance.Slots > 0 {
		upstream.Slots = instance.Slots
	}
	replica := &view.Replica{Instance: instance, Upstream: upstream}
	previous := state.Replicas[instance.Name]
	if previous != nil && previous.Instance.Incarnation == instance.Incarnation {
		replica.Stats = previous.Stats
	} else {
		replica.Stats = &view.ReplicaStats{}
	}
	observePublished(state, replica, previous)
	_, isKnownLeaving := state.LeavingReplicas[api.LeavingReplica{Replica: instance.Name, Incarnation: instance.Incarnation}]
	if isKnownLeaving || instance.State == api.InstanceLeaving {
		replica.Stats.IsLeaving.Store(true)
	}
	return replica
}

// replicasByUpstream returns each upstream's replicas that are not leaving, sorted by
// name.
func replicasByUpstream(state *State) map[string][]*view.Replica {
	upstreamReplicas := make(map[string][]*view.Replica)
	for _, name := range slices.Sorted(maps.Keys(state.Replicas)) {
		replica := state.Replicas[name]
		if !replica.Stats.IsLeaving.Load() {
			upstreamReplicas[replica.Upstream.Name] = append(upstreamReplicas[replica.Upstream.Name], replica)
		}
	}
	return upstreamReplicas
}

// buildIndexes returns the published indexes by name, each with the snapshot that
// new queries read.
func buildIndexes(state *State, upstreams map[string]api.Upstream, upstreamReplicas map[string][]*view.Replica) map[string]view.Index {
	indexes := make(map[string]view.Index)
	forEachDocument(state, func(decoded api.DecodedDocument) {
		if decoded.Index == nil {
			return
		}
		index := view.Index{Name: decoded.Index.Name, PublishedSnapshot: decoded.Index.Snapshot, Positions: make(map[string]int)}
		for _, shard := range decoded.Index.Shards {
			index.Positions[shard.Name] = len(index.Shards)
			index.Shards = append(index.Shards, view.Shard{
				Name:     shard.Name,
				Epoch:    shard.Epoch,
				Labels:   shard.Labels,
				Upstream: upstreams[shard.Upstream],
				Replicas: upstreamReplicas[shard.Upstream],
			})
		}
		index.Snapshot = ChooseSnapshot(index, state.SnapshotReports)
		indexes[index.Name] = index
	})
	return indexes
}

// buildScopes returns the published scopes by name. resolveSplit looks up the
// upstreams of a relayed scope.
func buildScopes(state *State, indexes map[string]view.Index, resolveSplit func(split []api.UpstreamWeight) []view.WeightedUpstream) map[string]view.Scope {
	scopes := make(map[string]view.Scope)
	add := func(scope api.Scope) {
		built := BuildScope(scope, indexes[scope.Index])
		built.WeightedUpstreams = resolveSplit(scope.TrafficSplit)
		scopes[scope.Name] = built
	}
	forEachDocument(state, func(decoded api.DecodedDocument) {
		if decoded.Scope != nil {
			add(*decoded.Scope)
		}
		for _, scope := range decoded.Scopes {
			add(scope)
		}
	})
	return scopes
}

// splitResolver returns a function that looks up the upstreams and replicas of a
// traffic split.
func splitResolver(upstreams map[string]api.Upstream, upstreamReplicas map[string][]*view.Replica) func([]api.UpstreamWeight) []view.WeightedUpstream {
	return func(split []api.UpstreamWeight) []view.WeightedUpstream {
		weightedUpstreams := make([]view.WeightedUpstream, 0, len(split))
		for _, upstreamweight := range split {
			shard := view.Shard{Name: upstreamweight.Upstream, Upstream: upstreams[upstreamweight.Upstream], Replicas: upstreamReplicas[upstreamweight.Upstream]}
			weightedUpstreams = append(weightedUpstreams, view.WeightedUpstream{Weight: upstreamweight.Weight, Shard: shard})
		}
		return weightedUpstreams
	}
}

// buildRoutes returns the routes of all scopes, or nil if there is no scope yet. Of
// scopes with an equal route, the one with the lowest name has it on all instances.
func buildRoutes(scopes map[string]view.Scope) view.Routes {
	if len(scopes) == 0 {
		return nil
	}
	routes := make(view.Routes, len(scopes))
	for _, name := range slices.Backward(slices.Sorted(maps.Keys(scopes))) {
		for _, route := range scopes[name].Scope.Routes {
			routes[view.RouteKey{Host: route.Host, Prefix: route.Prefix}] = view.RouteTarget{Scope: name, Kind: route.Kind}
		}
	}
	return routes
}

// BuildScope returns the scope with the shards of index that the selector of each
// kind covers.
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

// keyStatuses returns the status of each known key, sorted by key.
func keyStatuses(state *State) []view.KeyStatus {
	statuses := make(map[string]view.KeyStatus, len(state.DocumentsInForce))
	for key, decoded := range state.DocumentsInForce {
		statuses[key] = view.KeyStatus{Key: key, EraInForce: decoded.Document.Era, RevisionInForce: decoded.Document.Revision}
	}
	for key, decoded := range state.RefusedDocuments {
		if decoded.IgnoredReason != "" {
			statuses[key] = view.KeyStatus{Key: key, EraInForce: decoded.Document.Era, RevisionInForce: decoded.Document.Revision, IsIgnored: true}
			continue
		}
		status := statuses[key]
		status.Key = key
		status.RefusedEra, status.RefusedRevision = decoded.Document.Era, decoded.Document.Revision
		status.Reason = decoded.RefusalReason
		statuses[key] = status
	}
	sorted := make([]view.KeyStatus, 0, len(statuses))
	for _, key := range slices.Sorted(maps.Keys(statuses)) {
		sorted = append(sorted, statuses[key])
	}
	return sorted
}
