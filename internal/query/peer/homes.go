// Package peer asks the homes of shards for their parts of a query, and
// answers for the shards that this instance is the home of.
package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// doubtTime is how long a home that failed a query is passed over before
	// one query tries it again. Membership takes about as long to notice.
	doubtTime = time.Second
	// warmInterval is the time between two looks at the connections to homes.
	warmInterval = 500 * time.Millisecond
)

// HomeRouter places the shards of merged queries at their homes. A home that fails
// is passed over for a while: its stand-by is asked, or the replicas are.
type HomeRouter struct {
	// Send sends a query to the peer at address and passes on its blocks.
	Send func(ctx context.Context, address string, query api.HomeQuery, take func(block api.PartialAnswer)) error
	// Connect opens a connection to the peer at address where there is none.
	Connect   func(ctx context.Context, address string)
	Published *view.PublishedView

	doubts sync.Map
}

// doubt is what is held against one peer.
type doubt struct {
	// until is when the peer may be tried again, in nanoseconds since
	// view.Epoch; 0 where it is not in doubt.
	until atomic.Int64
	// isTrying is set while one query tries the peer again.
	isTrying atomic.Bool
}

// Start keeps the connections to homes open until ctx ends.
func (homes *HomeRouter) Start(ctx context.Context) { go homes.run(ctx) }

func (homes *HomeRouter) run(ctx context.Context) {
	ticker := time.NewTicker(warmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			homes.warm(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (homes *HomeRouter) warm(ctx context.Context) {
	current := homes.Published.Load()
	names := make(map[string]bool)
	for _, domains := range current.Homes {
		for _, members := range ownDomains(domains, current.Self.Instance.FailureDomain) {
			names[members[0]] = true
		}
	}
	delete(names, current.Self.Instance.Name)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		homes.Connect(ctx, current.Members[name].Instance.PeerAddress)
	}
}

// ownDomains returns the homes in the given failure domain, or all where it
// has none.
func ownDomains(domains view.DomainHomes, failureDomain string) view.DomainHomes {
	if members, isKnown := domains[failureDomain]; isKnown {
		return view.DomainHomes{failureDomain: members}
	}
	return domains
}

// Place groups the shards of a merged query by their homes: those of this
// instance's failure domain, or of another where there is none or they are in
// doubt.
func (homes *HomeRouter) Place(request *upstream.Request) ([]view.Shard, []upstream.ShardGroup) {
	shards := request.Selection.Shards
	isPlaced := request.Scope.Form == api.FormMerged && request.Scope.MaxAttempts != 1
	if !isPlaced || len(request.View.Homes) == 0 {
		return shards, nil
	}
	placing := newPlacing(homes, request.View)
	var local []view.Shard
	groups := make(map[string][]view.Shard)
	for _, shard := range shards {
		key := view.ShardKey{Index: request.Scope.Index, Shard: shard.Name}
		name := placing.choose(request.View.Homes[key])
		if name == "" || name == request.View.Self.Instance.Name {
			local = append(local, shard)
			continue
		}
		groups[name] = append(groups[name], shard)
	}
	var placed []upstream.ShardGroup
	for name, shards := range groups {
		placed = append(placed, upstream.ShardGroup{Peer: request.View.Members[name], Shards: shards})
	}
	return local, placed
}

// placing is the placement of one query.
type placing struct {
	homes   *HomeRouter
	current *view.View
	// domains holds the failure domains in the order in which their homes are
	// asked: the own one first, the others at random, so that queries from a
	// domain without replicas load the others alike. One order for all shards
	// of a query keeps its messages few.
	domains []string
	// usable holds the verdict on each peer, which is taken once a query.
	usable map[string]bool
}

func newPlacing(homes *HomeRouter, current *view.View) *placing {
	placing := &placing{homes: homes, current: current, usable: make(map[string]bool)}
	own := current.Self.Instance.FailureDomain
	isListed := map[string]bool{own: true}
	for _, member := range current.Members {
		if domain := member.Instance.FailureDomain; !isListed[domain] {
			isListed[domain] = true
			placing.domains = append(placing.domains, domain)
		}
	}
	rand.Shuffle(len(placing.domains), func(i, j int) {
		placing.domains[i], placing.domains[j] = placing.domains[j], placing.domains[i]
	})
	placing.domains = append([]string{own}, placing.domains...)
	return placing
}

// choose returns the member to ask for a shard with the given homes; "" where
// all are in doubt.
func (placing *placing) choose(homes view.DomainHomes) string {
	for _, domain := range placing.domains {
		for _, name := range homes[domain] {
			if name == placing.current.Self.Instance.Name || placing.isUsable(name) {
				return name
			}
		}
	}
	return ""
}

func (placing *placing) isUsable(name string) bool {
	isUsable, isKnown := placing.usable[name]
	if !isKnown {
		isUsable = placing.current.Members[name].State == api.MemberAlive && placing.homes.isUsable(name)
		placing.usable[name] = isUsable
	}
	return isUsable
}

// isUsable reports whether a peer is not in doubt, or whether this query is
// the one that tries it again.
func (homes *HomeRouter) isUsable(name string) bool {
	known, isKnown := homes.doubts.Load(name)
	if !isKnown {
		return true
	}
	doubt := known.(*doubt)
	until := doubt.until.Load()
	if until == 0 {
		return true
	}
	return until < int64(view.MonotonicNow()) && doubt.isTrying.CompareAndSwap(false, true)
}

// Ask sends a query to the peer of a group, and notes whether it failed.
func (homes *HomeRouter) Ask(ctx context.Context, group upstream.ShardGroup, query api.HomeQuery, take func(block api.PartialAnswer)) error {
	name := group.Peer.Instance.Name
	isHeard := false
	err := homes.Send(ctx, group.Peer.Instance.PeerAddress, query, func(block api.PartialAnswer) {
		if !isHeard {
			isHeard = true
			homes.clear(name)
		}
		take(block)
	})
	switch {
	case err == nil || isHeard:
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), upstream.ErrNoResponse):
		// The query ended before the peer could show that it is alive.
		homes.release(name)
	default:
		homes.suspect(name)
	}
	return err
}

func (homes *HomeRouter) clear(name string) {
	if known, isKnown := homes.doubts.Load(name); isKnown {
		known.(*doubt).until.Store(0)
		known.(*doubt).isTrying.Store(false)
	}
}

func (homes *HomeRouter) release(name string) {
	if known, isKnown := homes.doubts.Load(name); isKnown {
		known.(*doubt).isTrying.Store(false)
	}
}

func (homes *HomeRouter) suspect(name string) {
	known, _ := homes.doubts.LoadOrStore(name, &doubt{})
	known.(*doubt).until.Store(int64(view.MonotonicNow() + doubtTime))
	known.(*doubt).isTrying.Store(false)
}
