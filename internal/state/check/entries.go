package check

import (
	"maps"
	"slices"
	"strings"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// forEachScope calls visit for each scope, in the order of their names.
func (checker *checker) forEachScope(visit func(scope view.Scope)) {
	for _, name := range slices.Sorted(maps.Keys(checker.current.Scopes)) {
		visit(checker.current.Scopes[name])
	}
}

// checkRoutes reports the routes that no request takes or that lead to no shard.
func (checker *checker) checkRoutes() {
	checker.forEachScope(func(scope view.Scope) {
		for _, route := range scope.Scope.Routes {
			checker.checkRoute(scope, route)
		}
	})
}

// checkRoute reports a route that is not taken or leads to no shard. Of the routes of a
// host, the one with the longest prefix is taken, so that only an equal one can hide it.
func (checker *checker) checkRoute(scope view.Scope, route api.Route) {
	entry, location := scopeEntry(scope.Scope.Name), route.Host+route.Prefix
	path, _, _ := strings.Cut(route.Prefix, "?")
	target, isFound := checker.current.Routes.Find(route.Host, path)
	_, isKindKnown := scope.Selections[route.Kind]
	switch {
	case !isFound || path != route.Prefix:
		checker.warn(entry, "route %s matches no path", location)
	case target.Scope != scope.Scope.Name:
		checker.warn(entry, "route %s is hidden by the same one of scope %s", location, target.Scope)
	case target.Kind != route.Kind:
		checker.warn(entry, "route %s is hidden by the same one with the kind %s", location, target.Kind)
	case scope.Scope.Form != api.FormRelayed && !isKindKnown:
		checker.warn(entry, "route %s has the kind %q, which no selector has", location, route.Kind)
	}
}

// checkScopes reports the scopes and kinds that reach no shard or upstream.
func (checker *checker) checkScopes() {
	checker.forEachScope(func(scope view.Scope) {
		entry := scopeEntry(scope.Scope.Name)
		if scope.Scope.Form == api.FormRelayed {
			checker.checkSplit(entry, scope)
			return
		}
		index, isDefined := checker.current.Indexes[scope.Scope.Index]
		if !isDefined {
			checker.warn(entry, "index %s is not defined", scope.Scope.Index)
			return
		}
		for _, selector := range scope.Scope.Selectors {
			checker.checkSelector(entry, selector, scope.Selections[selector.Kind], index)
		}
	})
}

// checkSplit reports the upstreams of a relayed scope that get no requests.
func (checker *checker) checkSplit(entry string, scope view.Scope) {
	for _, upstreamweight := range scope.Scope.TrafficSplit {
		if _, isDefined := checker.upstreams[upstreamweight.Upstream]; !isDefined {
			checker.warn(entry, "upstream %s is not defined", upstreamweight.Upstream)
		}
	}
	if _, isPicked := view.PickUpstream(scope.WeightedUpstreams, 0); !isPicked {
		checker.warn(entry, "no upstream has a weight above 0; its requests are not run")
	}
	if len(scope.Scope.Routes) == 0 {
		checker.warn(entry, "has no route, so that no request reaches it")
	}
}

// checkSelector reports a selector that covers no shard, and the values of its labels
// that no shard has.
func (checker *checker) checkSelector(entry string, selector api.Selector, selection view.Selection, index view.Index) {
	isValueUnknown := false
	checkValues := func(labels map[string][]string, labelsOf func(view.Shard) map[string]string) {
		for _, label := range slices.Sorted(maps.Keys(labels)) {
			for _, value := range labels[label] {
				isMatch := func(shard view.Shard) bool {
					return api.MatchesSelector(map[string][]string{label: {value}}, labelsOf(shard))
				}
				if !slices.ContainsFunc(index.Shards, isMatch) {
					isValueUnknown = true
					checker.warn(entry, "kind %s: no shard of index %s has %s = %q", selector.Kind, index.Name, label, value)
				}
			}
		}
	}
	checkValues(selector.Shards, func(shard view.Shard) map[string]string { return shard.Labels })
	checkValues(selector.Upstreams, func(shard view.Shard) map[string]string { return shard.Upstream.Labels })
	if len(selection.Shards) == 0 && !isValueUnknown {
		checker.warn(entry, "kind %s covers no shard", selector.Kind)
	}
}

// checkUpstreams reports the upstreams that get no requests or have no replica, and the
// shards whose upstream is not defined.
func (checker *checker) checkUpstreams() {
	shards := make(map[string][]string)
	for _, decoded := range checker.documents {
		if decoded.Index == nil {
			continue
		}
		for _, shard := range decoded.Index.Shards {
			entry := shardEntry(decoded.Index.Name, shard.Name)
			shards[shard.Upstream] = append(shards[shard.Upstream], decoded.Index.Name+"/"+shard.Name)
			if _, isDefined := checker.upstreams[shard.Upstream]; !isDefined {
				checker.warn(entry, "upstream %s is not defined", shard.Upstream)
			}
		}
	}
	isUsed := checker.usedUpstreams()
	for _, name := range slices.Sorted(maps.Keys(checker.upstreams)) {
		entry := upstreamEntry(name)
		if !isUsed[name] {
			checker.warn(entry, "no scope sends requests to it")
		}
		isListed, isUsable := checker.replicasOf(name)
		switch {
		case len(checker.instances) == 0 || isUsable:
		case isListed:
			checker.warn(entry, "all its replicas are in evacuated failure domains")
		case len(shards[name]) > 0:
			checker.warn(entry, "has no replica, and so have the shards %s", strings.Join(shards[name], ", "))
		default:
			checker.warn(entry, "has no replica")
		}
	}
}

// usedUpstreams returns the upstreams to which a scope sends requests.
func (checker *checker) usedUpstreams() map[string]bool {
	isUsed := make(map[string]bool)
	checker.forEachScope(func(scope view.Scope) {
		for _, weightedupstream := range scope.WeightedUpstreams {
			if weightedupstream.Weight > 0 {
				isUsed[weightedupstream.Shard.Name] = true
			}
		}
		for _, selection := range scope.Selections {
			for _, shard := range selection.Shards {
				isUsed[shard.Upstream.Name] = true
			}
		}
	})
	return isUsed
}

// replicasOf reports whether an upstream has a replica that is not leaving, and whether
// one of these may be used.
func (checker *checker) replicasOf(upstream string) (isListed, isUsable bool) {
	for _, replica := range checker.current.Replicas {
		if replica.Upstream.Name == upstream && !replica.Stats.IsLeaving.Load() {
			isListed = true
			isUsable = isUsable || !replica.Stats.IsEvacuated.Load()
		}
	}
	return isListed, isUsable
}

// checkEvacuations reports the evacuations of failure domains in which there is no
// instance. Without instances nothing is known of them.
func (checker *checker) checkEvacuations() {
	for _, domain := range checker.current.EvacuatedDomains {
		isInhabited := func(instance api.Instance) bool { return instance.FailureDomain == domain }
		if len(checker.instances) > 0 && !slices.ContainsFunc(checker.instances, isInhabited) {
			checker.warn(evacuationEntry(domain), "no instance is in the failure domain")
		}
	}
}
