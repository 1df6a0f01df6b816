package upstream_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/budget"
	"github.com/mimosaspring/mimosaspring/internal/state/choice"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// behaviour is how a stub replica answers.
type behaviour struct {
	after time.Duration
	// refuses is set where the replica does not run the request.
	refuses bool
	fails   bool
	// breaks is set where the connection ends after the request was sent.
	breaks bool
	// unreachable is for how long after the start no connection is accepted.
	unreachable time.Duration
}

// stubLink answers attempts as its replica's behaviour says.
type stubLink struct {
	replica *view.Replica
	fleet   *stubFleet
}

func (stublink *stubLink) Close()                        {}
func (stublink *stubLink) LimitConnections(int, bool)    {}
func (stublink *stubLink) Preconnect()                   {}
func (stublink *stubLink) HealthCheckedLink() *http.Link { return nil }

func (stublink *stubLink) Send(ctx context.Context, attempt api.Attempt) (api.Reply, error) {
	name := stublink.replica.Instance.Name
	if time.Since(stublink.fleet.started) < stublink.fleet.behaviours[name].unreachable {
		return api.Reply{}, &http.SendError{Step: "connect to", Peer: name, Cause: errors.New("reset")}
	}
	behaviour := stublink.fleet.arrive(attempt.Shard, name)
	timer := time.NewTimer(behaviour.after)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return api.Reply{}, &http.SendError{Step: "exchange with", Peer: name, MayHaveRun: true, Cause: ctx.Err()}
	}
	reply := api.Reply{Status: api.ReplyDone, Signature: name, Body: recordOf(attempt.Shard), Epoch: attempt.Epoch}
	switch {
	case behaviour.breaks:
		return api.Reply{}, &http.SendError{Step: "exchange with", Peer: name, MayHaveRun: true, Cause: errors.New("reset")}
	case behaviour.refuses:
		reply.Status = api.ReplyShed
		stublink.fleet.unrun(attempt.Shard, name)
	case behaviour.fails:
		reply.Status = api.ReplyFailed
	}
	return reply, nil
}

func recordOf(shard string) []byte { return []byte(fmt.Sprintf("%-16s", shard)) }

// stubFleet holds stub replicas and counts what reaches them.
type stubFleet struct {
	mutex      sync.Mutex
	behaviours map[string]behaviour
	// ran holds, by shard, the replicas that ran the query.
	ran      map[string][]string
	arrivals int
	started  time.Time
}

func (stubfleet *stubFleet) arrive(shard, replica string) behaviour {
	stubfleet.mutex.Lock()
	defer stubfleet.mutex.Unlock()
	stubfleet.arrivals++
	stubfleet.ran[shard] = append(stubfleet.ran[shard], replica)
	return stubfleet.behaviours[replica]
}

func (stubfleet *stubFleet) unrun(shard, replica string) {
	stubfleet.mutex.Lock()
	defer stubfleet.mutex.Unlock()
	index := slices.Index(stubfleet.ran[shard], replica)
	stubfleet.ran[shard] = slices.Delete(stubfleet.ran[shard], index, index+1)
}

func (stubfleet *stubFleet) open(replica *view.Replica, _ int) *stubLink {
	return &stubLink{replica: replica, fleet: stubfleet}
}

// newShards returns shards of so many stub replicas each, named shard-replica.
func newShards(count, replicas int) []view.Shard {
	shards := make([]view.Shard, count)
	for number := range shards {
		name := fmt.Sprintf("s%d", number)
		shards[number] = view.Shard{Name: name, Upstream: api.Upstream{Name: name, Slots: 2}}
		for copyNumber := range replicas {
			instance := api.Instance{Name: fmt.Sprintf("%s-%c", name, 'a'+copyNumber)}
			replica := &view.Replica{Instance: instance, Upstream: shards[number].Upstream, Stats: &view.ReplicaStats{}}
			shards[number].Replicas = append(shards[number].Replicas, replica)
		}
	}
	return shards
}

type fanout[P upstream.Placement] = upstream.Fanout[choice.ShortestExpectedDelay, upstream.TargetHedge, *stubLink, P]

func newFanout[P upstream.Placement](fleet *stubFleet, placement P) *fanout[P] {
	start := time.Now()
	limits := budget.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	return &fanout[P]{
		Placement: placement,
		Links:     &http.Links[*stubLink]{Open: fleet.open},
		Published: view.NewPublishedView(),
		Mailbox:   mailbox.New[message.Message](16),
		Budget:    budget.New(limits, func() int { return 1 }, func() time.Duration { return time.Since(start) }),
		Metrics:   metrics.New(),
	}
}

func newRequest(shards []view.Shard) upstream.Request {
	now := time.Now()
	return upstream.Request{
		View:           &view.View{},
		Scope:          api.Scope{Form: api.FormMerged, TopK: 100, MinCoverage: 0.5, MaxAttempts: 2},
		Selection:      view.Selection{Shards: shards},
		RelayedRequest: &api.RelayedRequest{Identity: "q"},
		Target:         now.Add(80 * time.Millisecond),
		Deadline:       now.Add(time.Second),
	}
}

// stubPlacement gives all shards to one peer, whose part home plays.
type stubPlacement struct {
	home func(ctx context.Context, query api.HomeQuery, take func(block api.PartialAnswer)) error
}

func (stubplacement *stubPlacement) Place(request *upstream.Request) ([]view.Shard, []upstream.ShardGroup) {
	return nil, []upstream.ShardGroup{{Peer: api.Member{}, Shards: request.Selection.Shards}}
}

func (stubplacement *stubPlacement) Ask(ctx context.Context, _ upstream.ShardGroup, query api.HomeQuery, take func(block api.PartialAnswer)) error {
	return stubplacement.home(ctx, query, take)
}

func blockOf(isFinal bool, shards ...string) api.PartialAnswer {
	block := api.PartialAnswer{IsFinal: isFinal, MayHaveRun: true}
	for _, shard := range shards {
		block.Shards = append(block.Shards, shard)
		block.Signatures = append(block.Signatures, "home-"+shard)
		block.Records = append(block.Records, recordOf(shard)...)
	}
	return block
}

// TestHomeFails plays homes that fail a query of four shards in each way. The
// answer is whole where the replicas can still be asked, and holds the records
// of each shard once.
func TestHomeFails(t *testing.T) {
	type home func(ctx context.Context, query api.HomeQuery, take func(block api.PartialAnswer)) error
	silent := func(ctx context.Context, _ api.HomeQuery, _ func(api.PartialAnswer)) error {
		<-ctx.Done()
		return ctx.Err()
	}
	broken := errors.New("the stream broke")
	tests := map[string]struct {
		home     home
		included int
		// arrivals is how many attempts this instance sends itself.
		arrivals int
		within   time.Duration
	}{
		"a sound home": {
			home: func(_ context.Context, _ api.HomeQuery, take func(api.PartialAnswer)) error {
				take(blockOf(true, "s0", "s1", "s2", "s3"))
				return nil
			},
			included: 4, within: time.Millisecond,
		},
		"in two blocks": {
			home: func(_ context.Context, _ api.HomeQuery, take func(api.PartialAnswer)) error {
				take(blockOf(false, "s0", "s1"))
				time.Sleep(30 * time.Millisecond)
				take(blockOf(true, "s2", "s3"))
				return nil
			},
			included: 4, within: 31 * time.Millisecond,
		},
		"silent":      {home: silent, included: 4, arrivals: 4, within: 60 * time.Millisecond},
		"not reached": {home: func(context.Context, api.HomeQuery, func(api.PartialAnswer)) error { return api.ErrNotSent }, included: 4, arrivals: 4, within: 12 * time.Millisecond},
		"broken off before the first block": {
			home:     func(context.Context, api.HomeQuery, func(api.PartialAnswer)) error { return broken },
			included: 4, arrivals: 4, within: 12 * time.Millisecond,
		},
		"broken off after a block": {
			home: func(_ context.Context, _ api.HomeQuery, take func(api.PartialAnswer)) error {
				take(blockOf(false, "s0", "s1", "s2"))
				return broken
			},
			included: 4, arrivals: 1, within: 12 * time.Millisecond,
		},
		"knows no replica of one": {
			home: func(_ context.Context, _ api.HomeQuery, take func(api.PartialAnswer)) error {
				block := blockOf(true, "s0", "s1", "s2")
				block.MissingShards = []api.MissingShard{{Shard: "s3", Reason: api.MissingMoved}}
				take(block)
				return nil
			},
			included: 4, arrivals: 1, within: 12 * time.Millisecond,
		},
		"gives one up": {
			home: func(_ context.Context, _ api.HomeQuery, take func(api.PartialAnswer)) error {
				block := blockOf(true, "s0", "s1", "s2")
				block.MissingShards = []api.MissingShard{{Shard: "s3", Reason: api.MissingFailed}}
				take(block)
				return nil
			},
			included: 3, within: time.Millisecond,
		},
		"names a shard twice": {
			home: func(_ context.Context, _ api.HomeQuery, take func(api.PartialAnswer)) error {
				take(blockOf(false, "s0", "s1"))
				take(blockOf(true, "s1", "s2", "s3"))
				return nil
			},
			included: 4, arrivals: 2, within: 12 * time.Millisecond,
		},
		"late with a part": {
			home: func(ctx context.Context, _ api.HomeQuery, take func(api.PartialAnswer)) error {
				take(blockOf(false, "s0", "s1", "s2"))
				<-ctx.Done()
				return ctx.Err()
			},
			included: 3, within: 81 * time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &stubFleet{ran: make(map[string][]string), behaviours: make(map[string]behaviour)}
				shards := newShards(4, 3)
				for _, shard := range shards {
					for _, replica := range shard.Replicas {
						fleet.behaviours[replica.Instance.Name] = behaviour{after: 10 * time.Millisecond}
					}
				}
				start := time.Now()
				answer := newFanout(fleet, &stubPlacement{home: test.home}).Run(t.Context(), newRequest(shards))
				assert.Equal(t, answer.Outcome, api.OutcomeDone)
				assert.Equal(t, answer.Coverage.IncludedShards, test.included)
				assert.Equal(t, len(answer.Signatures), test.included)
				assert.Equal(t, len(answer.Records), test.included*upstream.RecordBytes)
				assert.Equal(t, fleet.arrivals, test.arrivals)
				assert.Assert(t, time.Since(start) <= test.within, "%s", time.Since(start))
			})
		})
	}
}

// TestAttemptsOfHomeAndPeer lets a home and the peer that asked it work on the
// same shards while the home is late by different times and its replicas fail:
// together they never run a query on more replicas of a shard than the scope
// allows.
func TestAttemptsOfHomeAndPeer(t *testing.T) {
	tests := map[string]struct {
		// lag is how much later than the home sends a block the peer gets it.
		lag        time.Duration
		behaviours [3]behaviour
	}{
		"replicas that break":             {behaviours: [3]behaviour{{breaks: true}, {breaks: true}, {breaks: true}}},
		"replicas that hang":              {behaviours: [3]behaviour{{after: time.Minute}, {after: time.Minute}, {after: time.Minute}}},
		"one breaks, the others hang":     {behaviours: [3]behaviour{{breaks: true}, {after: time.Minute}, {after: time.Minute}}},
		"two refuse":                      {behaviours: [3]behaviour{{refuses: true}, {refuses: true}, {after: time.Millisecond}}},
		"a late home, replicas that hang": {lag: time.Second, behaviours: [3]behaviour{{after: time.Minute}, {after: time.Minute}, {after: time.Minute}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &stubFleet{ran: make(map[string][]string), behaviours: make(map[string]behaviour)}
				shards := newShards(4, 3)
				for _, shard := range shards {
					for number, replica := range shard.Replicas {
						fleet.behaviours[replica.Instance.Name] = test.behaviours[number]
					}
				}
				home := newFanout(fleet, upstream.DirectPlacement{})
				placement := &stubPlacement{home: func(ctx context.Context, query api.HomeQuery, take func(api.PartialAnswer)) error {
					return serveLate(ctx, home, shards, query, test.lag, take)
				}}
				newFanout(fleet, placement).Run(t.Context(), newRequest(shards))
				synctest.Wait()
				for shard, replicas := range fleet.ran {
					slices.Sort(replicas)
					distinct := slices.Compact(replicas)
					assert.Assert(t, len(distinct) <= 2, "%s ran on %v", shard, distinct)
				}
			})
		})
	}
}

// serveLate answers query from home; its blocks arrive after lag, and a peer
// that no longer waits is noticed after as long.
func serveLate(ctx context.Context, home *fanout[upstream.DirectPlacement], shards []view.Shard, query api.HomeQuery, lag time.Duration, take func(api.PartialAnswer)) error {
	request := newRequest(named(shards, query.ReplicaHashes))
	request.Scope.MaxAttempts = query.MaxAttempts
	request.Target = time.Now().Add(query.TimeToTarget)
	request.Deadline = time.Now().Add(query.TimeToDeadline)
	blocks := make(chan api.PartialAnswer, 16)
	go (&lateHome{home: home, ctx: ctx, request: request, blocks: blocks}).run()
	for {
		select {
		case block := <-blocks:
			select {
			case <-time.After(lag):
				take(block)
			case <-ctx.Done():
				return ctx.Err()
			}
			if block.IsFinal {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// named returns shards with the replicas that hashes name.
func named(shards []view.Shard, hashes [][]uint32) []view.Shard {
	shards = slices.Clone(shards)
	for number, shard := range shards {
		shards[number].Replicas = nil
		for _, replica := range shard.Replicas {
			if slices.Contains(hashes[number], upstream.ReplicaHash(replica)) {
				shards[number].Replicas = append(shards[number].Replicas, replica)
			}
		}
	}
	return shards
}

type lateHome struct {
	home    *fanout[upstream.DirectPlacement]
	ctx     context.Context
	request upstream.Request
	blocks  chan api.PartialAnswer
}

func (latehome *lateHome) run() {
	latehome.home.RunForPeer(latehome.ctx, latehome.request, nil, func(block api.PartialAnswer) error {
		latehome.blocks <- block
		return nil
	})
}

// TestSlowReplicasAreAvoided checks that a replica which a home calls slow is
// left out while there are others.
func TestSlowReplicasAreAvoided(t *testing.T) {
	fleet := &stubFleet{ran: make(map[string][]string), behaviours: make(map[string]behaviour)}
	shards := newShards(2, 3)
	placement := &stubPlacement{home: func(_ context.Context, _ api.HomeQuery, take func(api.PartialAnswer)) error {
		block := blockOf(true, "s0", "s1")
		block.SlowReplicaHashes = []uint32{upstream.ReplicaHash(shards[0].Replicas[1])}
		take(block)
		return nil
	}}
	request := newRequest(shards)
	request.Selection.Shards = slices.Clone(shards)
	newFanout(fleet, placement).Run(t.Context(), request)
	for range 50 {
		candidates := upstream.CandidateReplicas(shards[0].Replicas, 2, "")
		assert.Assert(t, !slices.Contains(candidates, shards[0].Replicas[1]))
		assert.Equal(t, len(upstream.CandidateReplicas(shards[1].Replicas, 2, "")), 2)
	}
	assert.Equal(t, len(upstream.CandidateReplicas(shards[0].Replicas, 3, "")), 3)
}

// TestUnreachableReplicasAreAskedAgain plays the first moments after all
// instances started at once: replicas accept no connections for a while. Tries
// that reach no replica take nothing of the retry budget, and the answer is
// whole once the replicas accept again.
func TestUnreachableReplicasAreAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &stubFleet{ran: make(map[string][]string), behaviours: make(map[string]behaviour), started: time.Now()}
		shards := newShards(20, 2)
		for _, shard := range shards {
			for _, replica := range shard.Replicas {
				fleet.behaviours[replica.Instance.Name] = behaviour{after: 5 * time.Millisecond, unreachable: 40 * time.Millisecond}
			}
		}
		fanout := newFanout(fleet, upstream.DirectPlacement{})
		answer := fanout.Run(t.Context(), newRequest(shards))
		assert.Equal(t, answer.Outcome, api.OutcomeDone)
		assert.Equal(t, answer.Coverage.IncludedShards, 20)
		assert.Equal(t, fleet.arrivals, 20)
		for range 30 {
			assert.Assert(t, fanout.Budget.Allow("s0", 1))
		}
	})
}

// manyHomes gives each shard to a home of its own.
type manyHomes struct {
	home func(ctx context.Context, query api.HomeQuery, take func(block api.PartialAnswer)) error
}

func (manyhomes *manyHomes) Place(request *upstream.Request) ([]view.Shard, []upstream.ShardGroup) {
	var groups []upstream.ShardGroup
	for _, shard := range request.Selection.Shards {
		groups = append(groups, upstream.ShardGroup{Shards: []view.Shard{shard}})
	}
	return nil, groups
}

func (manyhomes *manyHomes) Ask(ctx context.Context, _ upstream.ShardGroup, query api.HomeQuery, take func(block api.PartialAnswer)) error {
	return manyhomes.home(ctx, query, take)
}

// TestLateInstanceWaits plays an instance that is short of processor time, so
// that it hears all homes late, and homes of which only some are late. Asking
// all replicas itself would make a late instance later.
func TestLateInstanceWaits(t *testing.T) {
	tests := map[string]struct {
		// after is when each home's block arrives.
		after    map[string]time.Duration
		arrivals int
	}{
		"all are heard late":      {after: map[string]time.Duration{"s0": 60, "s1": 60, "s2": 61, "s3": 62}},
		"one is late":             {after: map[string]time.Duration{"s0": 10, "s1": 10, "s2": 10, "s3": 60}, arrivals: 1},
		"all are silent for good": {after: map[string]time.Duration{"s0": 2000, "s1": 2000, "s2": 2000, "s3": 2000}, arrivals: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &stubFleet{ran: make(map[string][]string), behaviours: make(map[string]behaviour)}
				placement := &manyHomes{home: func(ctx context.Context, query api.HomeQuery, take func(api.PartialAnswer)) error {
					select {
					case <-time.After(test.after[query.Shards[0]] * time.Millisecond):
						take(blockOf(true, query.Shards...))
						return nil
					case <-ctx.Done():
						return ctx.Err()
					}
				}}
				answer := newFanout(fleet, placement).Run(t.Context(), newRequest(newShards(4, 2)))
				assert.Equal(t, answer.Outcome, api.OutcomeDone)
				assert.Equal(t, answer.Coverage.IncludedShards, 4)
				assert.Equal(t, fleet.arrivals, test.arrivals)
			})
		})
	}
}
