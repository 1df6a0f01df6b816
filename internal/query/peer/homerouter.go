// Package peer exchanges queries with the other instances. The home of a shard in
// a failure domain is the instance there that keeps the connections to the
// shard's replicas. This package sends queries to the homes of their shards, and
// answers the queries that peers send to this instance.
package peer

import (
	"context"
	"maps"
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
	// breakerOpenTime is how long a home that failed a query gets no queries
	// before a single one tries it again. Membership takes about as long to
	// detect the failure.
	breakerOpenTime = time.Second
	// connectInterval is the time between two checks of the connections to homes.
	connectInterval = 500 * time.Millisecond
)

// HomeRouter sends the shards of merged queries to their homes. It keeps a
// circuit breaker for each peer: while the breaker of a home is open, its
// stand-by is queried instead, or this instance queries the replicas itself.
//
// It implements upstream.Placement and is safe for concurrent use.
type HomeRouter struct {
	// Send sends a query to the peer at address and calls handle for every partial
	// answer.
	Send func(ctx context.Context, address string, query api.HomeQuery, handle func(partialanswer api.PartialAnswer)) error
	// Connect opens a connection to the peer at address unless there is one.
	Connect func(ctx context.Context, address string)
	// Reset makes the next query to the peer at address open a new connection.
	Reset       func(address string)
	CurrentView *view.PublishedView

	// breakers maps the name of a peer that has failed to its *breaker.
	breakers sync.Map
}

// breaker is the circuit breaker of one peer. It is open from a failure until a
// query to the peer succeeds.
type breaker struct {
	// retryAt is when one query may try the peer again, in nanoseconds since
	// view.MonotonicOrigin; 0 while the breaker is closed.
	retryAt atomic.Int64
	// isRetrying is set while one query tries the peer again.
	isRetrying atomic.Bool
}

// Start starts the goroutine that keeps connections to the homes open. It runs
// until ctx is done.
func (homerouter *HomeRouter) Start(ctx context.Context) { go homerouter.run(ctx) }

func (homerouter *HomeRouter) run(ctx context.Context) {
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			homerouter.connectHomes(ctx)
			homerouter.deleteBreakers()
		case <-ctx.Done():
			return
		}
	}
}

// deleteBreakers deletes the breakers of peers that are no longer members.
func (homerouter *HomeRouter) deleteBreakers() {
	current := homerouter.CurrentView.Load()
	homerouter.breakers.Range(func(name, _ any) bool {
		if _, isMember := current.Members[name.(string)]; !isMember {
			homerouter.breakers.Delete(name)
		}
		return true
	})
}

// connectHomes opens a connection to the first home of every shard in the first of
// the preferred failure domains that has homes of the shard.
func (homerouter *HomeRouter) connectHomes(ctx context.Context) {
	current := homerouter.CurrentView.Load()
	names := make(map[string]bool)
	for _, domains := range current.Homes {
		for _, domain := range current.PreferredDomains {
			if homes := domains[domain]; len(homes) > 0 {
				names[homes[0]] = true
				break
			}
		}
	}
	delete(names, current.Self.Instance.Name)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		homerouter.Connect(ctx, current.Members[name].Instance.PeerAddress)
	}
}

// Place groups the shards of a merged query by home. It uses the homes in this
// instance's failure domain, or those in another domain if there are none or
// their breakers are open. It returns the shards whose replicas this instance
// queries itself, and the groups to send to peers. The shards of other queries,
// and of those that allow a single attempt per shard, all stay with this instance.
func (homerouter *HomeRouter) Place(request *upstream.Request) ([]view.Shard, []upstream.ShardGroup) {
	shards := request.Selection.Shards
	isRouted := request.Scope.Form == api.FormMerged && request.Scope.MaxAttempts != 1
	if !isRouted || len(request.View.Homes) == 0 {
		return shards, nil
	}
	selection := &homeSelection{homerouter: homerouter, current: request.View, usablePeers: make(map[string]bool)}
	localShards := make([]view.Shard, 0, len(shards))
	groups := make(map[string][]view.Shard)
	for _, shard := range shards {
		key := view.ShardKey{Index: request.Scope.Index, Shard: shard.Name}
		name := selection.choose(request.View.Homes[key])
		if name == "" || name == request.View.Self.Instance.Name {
			localShards = append(localShards, shard)
			continue
		}
		groups[name] = append(groups[name], shard)
	}
	var result []upstream.ShardGroup
	for name, shards := range groups {
		result = append(result, upstream.ShardGroup{Peer: request.View.Members[name], Shards: shards})
	}
	return localShards, result
}

// homeSelection selects the homes for the shards of one query.
type homeSelection struct {
	homerouter *HomeRouter
	current    *view.View
	// usablePeers caches whether each peer may be queried. It is decided once for
	// each query.
	usablePeers map[string]bool
}

// choose returns the name of the member to query for a shard with the given
// homes, or "" if none of them may be queried.
func (homeselection *homeSelection) choose(homes view.DomainHomes) string {
	for _, domain := range homeselection.current.PreferredDomains {
		for _, name := range homes[domain] {
			if name == homeselection.current.Self.Instance.Name || homeselection.isUsable(name) {
				return name
			}
		}
	}
	return ""
}

// isUsable reports whether the named peer is alive and its breaker allows this
// query.
func (homeselection *homeSelection) isUsable(name string) bool {
	isUsable, isKnown := homeselection.usablePeers[name]
	if !isKnown {
		isUsable = homeselection.current.Members[name].State == api.MemberAlive && homeselection.homerouter.isAllowed(name)
		homeselection.usablePeers[name] = isUsable
	}
	return isUsable
}

// isAllowed reports whether a query may be sent to the named peer: its breaker is
// closed, or it may be tried again. In the latter case isAllowed marks this query
// as the one that tries the peer.
func (homerouter *HomeRouter) isAllowed(name string) bool {
	value, isKnown := homerouter.breakers.Load(name)
	if !isKnown {
		return true
	}
	breaker := value.(*breaker)
	retryAt := breaker.retryAt.Load()
	if retryAt == 0 {
		return true
	}
	return retryAt < int64(view.MonotonicNow()) && breaker.isRetrying.CompareAndSwap(false, true)
}

// Ask sends a query to the peer of a group and calls handle for every partial
// answer. The first partial answer closes the peer's breaker. If the query fails
// without any the breaker opens, unless ctx was cancelled for a reason other than
// upstream.ErrNoResponse.
func (homerouter *HomeRouter) Ask(ctx context.Context, group upstream.ShardGroup, query api.HomeQuery, handle func(partialanswer api.PartialAnswer)) error {
	name := group.Peer.Instance.Name
	isAnswered := false
	err := homerouter.Send(ctx, group.Peer.Instance.PeerAddress, query, func(partialanswer api.PartialAnswer) {
		if !isAnswered {
			isAnswered = true
			homerouter.closeBreaker(name)
		}
		handle(partialanswer)
	})
	switch {
	case err == nil || isAnswered:
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), upstream.ErrNoResponse):
		// The query ended before the peer had time to answer.
		homerouter.endRetry(name)
	default:
		homerouter.openBreaker(name)
		// The peer may have restarted, in which case it does not know the connection.
		homerouter.Reset(group.Peer.Instance.PeerAddress)
	}
	return err
}

// closeBreaker allows all queries to the named peer.
func (homerouter *HomeRouter) closeBreaker(name string) {
	if value, isKnown := homerouter.breakers.Load(name); isKnown {
		value.(*breaker).retryAt.Store(0)
		value.(*breaker).isRetrying.Store(false)
	}
}

// endRetry allows another query to try the named peer. It neither opens nor closes
// the breaker.
func (homerouter *HomeRouter) endRetry(name string) {
	if value, isKnown := homerouter.breakers.Load(name); isKnown {
		value.(*breaker).isRetrying.Store(false)
	}
}

// openBreaker blocks queries to the named peer for breakerOpenTime.
func (homerouter *HomeRouter) openBreaker(name string) {
	value, _ := homerouter.breakers.LoadOrStore(name, &breaker{})
	value.(*breaker).retryAt.Store(int64(view.MonotonicNow() + breakerOpenTime))
	value.(*breaker).isRetrying.Store(false)
}
