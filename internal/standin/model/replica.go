// Package model simulates merged queries on modelled replicas, through the real
// query path and its policies, in one process and without a network. Every wait
// uses package time, so that a test with a synthetic clock simulates minutes in
// seconds.
package model

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	schedule "github.com/mimosaspring/mimosaspring/internal/schedule/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/state/waitqueue"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// ReplicaConfig holds the properties that all replicas of a deployment share.
type ReplicaConfig struct {
	// Slots is the number of requests that a replica runs at once.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot.
	QueueLimit int
	// WorkSigma is the sigma of the log-normal work of a request.
	WorkSigma float64
	// A replica stops all work for PauseDuration once in every PauseInterval.
	PauseDuration time.Duration
	PauseInterval time.Duration
	// WorkFactors holds the factors that multiply the work of the replicas, which
	// take them in rotation. If empty, the factor is 1 for every replica.
	WorkFactors []float64
	// Other processes on a replica's machine multiply its work by NoiseFactor
	// during a share NoiseShare of the intervals of length NoiseInterval. The
	// replica reports this factor in its replies.
	NoiseShare    float64
	NoiseFactor   float64
	NoiseInterval time.Duration
	// LocalRoundTrip and RemoteRoundTrip are the network round trips within a
	// failure domain and between two of them.
	LocalRoundTrip  time.Duration
	RemoteRoundTrip time.Duration
}

// Behavior describes how a replica deviates from its configuration during a
// fault. The zero value is a replica without faults.
type Behavior struct {
	// ShedShare is the share of the requests that the replica refuses at once.
	ShedShare float64
	// FailShare is the share of the requests that the replica answers at once
	// with a failure.
	FailShare float64
	// SlowdownFactor multiplies the work; 0 stands for 1.
	SlowdownFactor float64
	// ReportsSlowdown is set if the slowdown that the replica reports includes
	// SlowdownFactor.
	ReportsSlowdown bool
	// IsUnresponsive means that the replica accepts requests and never answers.
	IsUnresponsive bool
	// IsDown means that the replica accepts no connection.
	IsDown bool
	// IsCold means that the replica says in its replies that it is cold until the end of
	// the fault. If it gets more than CrashRate requests in a second meanwhile, it is
	// down for crashTime.
	IsCold    bool
	CrashRate int
}

// crashTime is how long a replica is down after a crash.
const crashTime = 2 * time.Second

// Fault changes the behavior of some replicas for a while.
type Fault struct {
	// Start is measured from the start of the simulation.
	Start    time.Duration
	Duration time.Duration
	// Affects selects replicas by the number of their shard and by their own number
	// within the shard. Both count from 0.
	Affects func(shardNumber, replicaNumber int) bool
	Behavior
}

// replica is one modelled replica.
type replica struct {
	fleet         *fleet
	shardNumber   int
	replicaNumber int
	failureDomain string
	// pauseOffset is added to the time since the start to place the pauses, so
	// that the replicas don't all pause at once.
	pauseOffset time.Duration
	// noiseOffset is added likewise to place the noise intervals, whose factors are
	// noiseFactors in rotation.
	noiseOffset  time.Duration
	noiseFactors []float64
	slots        chan struct{}
	// workFactor is the replica's entry of ReplicaConfig.WorkFactors.
	workFactor float64

	// mutex guards the fields below.
	mutex       sync.Mutex
	queueLength int
	// requestCounts counts the requests of each query, by its identity.
	requestCounts map[string]uint64
	// arrivals counts the requests that reached the replica.
	arrivals int
	// coldArrivals holds the times of the requests in the last second while the replica
	// was cold. mostColdArrivals is the highest number of them.
	coldArrivals     []time.Time
	mostColdArrivals int
	// downUntil is the end of the time for which the replica is down after a crash.
	downUntil  time.Time
	crashCount int
}

// behavior returns the behavior of the replica at present.
func (replica *replica) behavior() Behavior {
	return replica.behaviorAt(time.Since(replica.fleet.startTime))
}

// behaviorAt returns the behavior of the replica at a time after the start. The first
// fault that affects the replica decides.
func (replica *replica) behaviorAt(at time.Duration) Behavior {
	return replica.faultAt(at).Behavior
}

// faultAt returns the first fault that affects the replica at a time after the start.
func (replica *replica) faultAt(at time.Duration) Fault {
	for _, fault := range replica.fleet.scenario.Faults {
		isActive := at >= fault.Start && at < fault.Start+fault.Duration
		if isActive && fault.Affects(replica.shardNumber, replica.replicaNumber) {
			return fault
		}
	}
	return Fault{}
}

// coldTimeLeft returns how much longer the replica says that it is cold.
func (replica *replica) coldTimeLeft() time.Duration {
	at := time.Since(replica.fleet.startTime)
	fault := replica.faultAt(at)
	if !fault.IsCold {
		return 0
	}
	return fault.Start + fault.Duration - at
}

// isDown reports whether the replica accepts no connection.
func (replica *replica) isDown() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.behavior().IsDown || time.Now().Before(replica.downUntil)
}

// countColdArrival counts a request to a cold replica and lets the replica crash if it
// got too many within a second.
func (replica *replica) countColdArrival(behavior Behavior) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	now := time.Now()
	replica.coldArrivals = slices.DeleteFunc(replica.coldArrivals, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	replica.coldArrivals = append(replica.coldArrivals, now)
	replica.mostColdArrivals = max(replica.mostColdArrivals, len(replica.coldArrivals))
	if behavior.CrashRate > 0 && len(replica.coldArrivals) > behavior.CrashRate && !now.Before(replica.downUntil) {
		replica.crashCount++
		replica.downUntil = now.Add(crashTime)
	}
}

// joinQueue counts an arrival and reports whether the queue had room for it.
func (replica *replica) joinQueue() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.arrivals++
	if replica.queueLength >= replica.fleet.scenario.ReplicaConfig.QueueLimit {
		return false
	}
	replica.queueLength++
	return true
}

// arrivalCount returns how many requests reached the replica. It locks because
// attempts of queries that were answered without them may still be under way.
func (replica *replica) arrivalCount() int {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.arrivals
}

func (replica *replica) leaveQueue() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.queueLength--
}

// load returns how many requests the replica runs or queues.
func (replica *replica) load() int {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return len(replica.slots) + replica.queueLength
}

// requestSource returns the source of the draws for the next request of a query.
func (replica *replica) requestSource(identity string) *rand.Rand {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	count := replica.requestCounts[identity]
	replica.requestCounts[identity]++
	return replica.fleet.scenario.source(requestStream, uint64(replica.shardNumber), uint64(replica.replicaNumber), xxhash.Sum64String(identity), count)
}

// serve runs one request of the query with the given identity and mean work. It returns
// ctx's error if ctx ends first.
func (replica *replica) serve(ctx context.Context, identity string, meanWork time.Duration) (api.ReplyStatus, error) {
	behavior := replica.behavior()
	if behavior.IsCold {
		replica.countColdArrival(behavior)
	}
	random := replica.requestSource(identity)
	draw := random.Float64()
	hasRoom := replica.joinQueue()
	switch {
	case behavior.IsUnresponsive:
		<-ctx.Done()
		return "", ctx.Err()
	case !hasRoom:
		return api.ReplyShed, nil
	case draw < behavior.ShedShare:
		replica.leaveQueue()
		return api.ReplyShed, nil
	case draw < behavior.ShedShare+behavior.FailShare:
		replica.leaveQueue()
		return api.ReplyFailed, nil
	}
	select {
	case replica.slots <- struct{}{}:
		replica.leaveQueue()
	case <-ctx.Done():
		replica.leaveQueue()
		return "", ctx.Err()
	}
	defer func() { <-replica.slots }()
	return api.ReplyDone, sleep(ctx, replica.addPauses(replica.drawWork(random, meanWork, behavior)))
}

// drawNoise draws the factors of a replica's noise intervals for the whole scenario.
func (scenario Scenario) drawNoise(random *rand.Rand) []float64 {
	config := scenario.ReplicaConfig
	factors := []float64{1}
	if config.NoiseInterval > 0 {
		factors = make([]float64, 2+scenario.Duration/config.NoiseInterval)
	}
	for index := range factors {
		factors[index] = 1
		if random.Float64() < config.NoiseShare {
			factors[index] = config.NoiseFactor
		}
	}
	return factors
}

// slowdown returns the factor by which other processes multiply the work at
// present. The replica reports it in its replies.
func (replica *replica) slowdown() float64 {
	return replica.slowdownAt(time.Since(replica.fleet.startTime))
}

// slowdownAt returns the factor at a time after the start.
func (replica *replica) slowdownAt(at time.Duration) float64 {
	interval := max(replica.fleet.scenario.ReplicaConfig.NoiseInterval, 1)
	index := int((at + replica.noiseOffset) / interval)
	return replica.noiseFactors[index%len(replica.noiseFactors)]
}

// reportedSlowdown returns the slowdown that the replica states in its replies.
func (replica *replica) reportedSlowdown() float64 {
	behavior := replica.behavior()
	if behavior.ReportsSlowdown && behavior.SlowdownFactor > 0 {
		return replica.slowdown() * behavior.SlowdownFactor
	}
	return replica.slowdown()
}

// drawWork draws the time that a request of the given mean work runs, without
// pauses.
func (replica *replica) drawWork(random *rand.Rand, meanWork time.Duration, behavior Behavior) time.Duration {
	sigma := replica.fleet.scenario.ReplicaConfig.WorkSigma
	factor := replica.workFactor * replica.slowdown() * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
	if behavior.SlowdownFactor > 0 {
		factor *= behavior.SlowdownFactor
	}
	return time.Duration(factor * float64(meanWork))
}

// addPauses returns the time that work takes if it begins now: the work itself and
// the pauses that fall into it.
func (replica *replica) addPauses(work time.Duration) time.Duration {
	config := replica.fleet.scenario.ReplicaConfig
	if config.PauseInterval <= 0 {
		return work
	}
	// position is the time since the last pause began.
	position := (time.Since(replica.fleet.startTime) + replica.pauseOffset) % config.PauseInterval
	if position < config.PauseDuration {
		work += config.PauseDuration - position
		position = config.PauseDuration
	}
	if position+work > config.PauseInterval {
		work += config.PauseDuration
	}
	return work
}

// sleep waits for duration. It returns ctx's error if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// link carries attempts from one home to one modelled replica.
type link struct {
	replica *replica
	// stats is what the home observes of the replica.
	stats     *view.ReplicaStats
	roundTrip time.Duration

	// mutex guards the fields below.
	mutex sync.Mutex
	// inFlight is how many requests the link carries at present.
	inFlight int
	waiters  waitqueue.Queue[struct{}, waitqueue.Order]
}

// acquire waits until the link carries fewer requests than the replica has slots, or
// ctx ends.
func (link *link) acquire(ctx context.Context, priority waitqueue.Priority) error {
	link.mutex.Lock()
	if link.inFlight < link.replica.fleet.scenario.ReplicaConfig.Slots {
		link.inFlight++
		link.mutex.Unlock()
		return nil
	}
	waiter := link.waiters.Add(priority)
	link.mutex.Unlock()
	select {
	case <-waiter.Ready:
		return nil
	case <-ctx.Done():
	}
	link.mutex.Lock()
	isWaiting := link.waiters.Remove(waiter)
	link.mutex.Unlock()
	if !isWaiting {
		// The waiter was admitted as ctx ended.
		link.release()
	}
	return ctx.Err()
}

// release passes the room of a finished request to the next waiter, if any.
func (link *link) release() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if next := link.waiters.Next(link.turn()); next != nil {
		next.Ready <- struct{}{}
		return
	}
	link.inFlight--
}

// turn describes a turn of the requests that wait.
func (link *link) turn() waitqueue.Turn {
	return waitqueue.Turn{Now: time.Now(), ExpectedLatency: link.stats.ExpectedLatency(view.MonotonicNow())}
}

// Close does nothing.
func (link *link) Close() {}

// LimitConnections does nothing: a modelled link always carries as many requests
// as the link of a home.
func (link *link) LimitConnections(int, bool) {}

// Preconnect does nothing.
func (link *link) Preconnect() {}

// HealthCheckedLink returns nil: a modelled link has no HTTP connection.
func (link *link) HealthCheckedLink() *http.Link { return nil }

// Send runs one attempt. The attempt's request target holds the mean work, as text
// that time.ParseDuration reads. Each error is an *http.SendError.
func (link *link) Send(ctx context.Context, attempt api.Attempt) (api.Reply, error) {
	name := attempt.Replica
	meanWork, err := time.ParseDuration(attempt.RelayedRequest.RequestTarget)
	if err != nil {
		return api.Reply{}, &http.SendError{Step: "read the work for", Peer: name, Cause: err}
	}
	if link.replica.isDown() {
		return api.Reply{}, &http.SendError{Step: "connect to", Peer: name, Cause: errors.New("connection refused")}
	}
	if err := link.acquire(ctx, waitqueue.Priority{Class: attempt.Priority, TargetTime: attempt.TargetTime, Rank: attempt.Rank}); err != nil {
		return api.Reply{}, &http.SendError{Step: "connect to", Peer: name, Cause: err}
	}
	defer link.release()
	if link.stats.TakeColdShare(view.MonotonicNow()) > 0 {
		return api.Reply{}, &http.SendError{Step: "send to", Peer: name, Cause: http.ErrNotAccepting}
	}
	if err := sleep(ctx, link.roundTrip); err != nil {
		return api.Reply{}, &http.SendError{Step: "connect to", Peer: name, Cause: err}
	}
	status, err := link.replica.serve(ctx, attempt.RelayedRequest.Identity, meanWork)
	if err != nil {
		return api.Reply{}, &http.SendError{Step: "exchange with", Peer: name, MayHaveRun: true, Cause: err}
	}
	if coldTimeLeft := link.replica.coldTimeLeft(); coldTimeLeft > 0 {
		link.stats.ObserveCold(view.MonotonicNow(), coldTimeLeft)
	}
	return api.Reply{
		Status:      status,
		Epoch:       attempt.Epoch,
		Signature:   name,
		Load:        link.replica.load(),
		Slowdown:    link.replica.reportedSlowdown(),
		IsLoadKnown: true,
	}, nil
}

// linkOpener returns the function that opens the links of a home in
// failureDomain.
func (fleet *fleet) linkOpener(failureDomain string) func(*view.Replica, int) *link {
	return func(viewReplica *view.Replica, _ int) *link {
		replica := fleet.replicas[viewReplica.Instance.Name]
		roundTrip := fleet.scenario.ReplicaConfig.RemoteRoundTrip
		if replica.failureDomain == failureDomain {
			roundTrip = fleet.scenario.ReplicaConfig.LocalRoundTrip
		}
		link := &link{replica: replica, stats: viewReplica.Stats, roundTrip: roundTrip}
		link.waiters.Order = schedule.RankOrder{}
		if newOrder := fleet.scenario.NewOrder; newOrder != nil {
			link.waiters.Order = newOrder()
		}
		return link
	}
}
