// Package model plays merged queries on modelled replicas, through the real
// query path and its policies, in one process and without a network. All waits
// use package time, so that a test plays minutes in seconds on a synthetic
// clock.
package model

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/state/waitqueue"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Shape is what the replicas of a deployment have in common.
type Shape struct {
	// Slots is how many requests a replica runs at once, Queue how many more
	// it takes.
	Slots int
	Queue int
	// Spread is the sigma of the log-normal work of a request.
	Spread float64
	// PauseFor is for how long a replica stands still once in PauseEvery.
	PauseFor   time.Duration
	PauseEvery time.Duration
	// Speeds holds how many times longer work takes on the replicas, by turns;
	// empty where all are alike.
	Speeds []float64
	// Others on its machine slow a replica NoiseTimes during a share NoiseShare
	// of the spans of NoiseEvery; its replies tell.
	NoiseShare float64
	NoiseTimes float64
	NoiseEvery time.Duration
	// Near and Far are the ways there and back within a failure domain and to
	// another.
	Near time.Duration
	Far  time.Duration
}

// Conduct is how a replica behaves during a trouble.
type Conduct struct {
	// Sheds is the share of the requests that it refuses at once.
	Sheds float64
	// Fails is the share of the requests that it answers with a failure at
	// once.
	Fails float64
	// Slowness is how many times longer its work takes; 0 stands for 1.
	Slowness float64
	// IsDark is set where it answers nothing.
	IsDark bool
	// IsDown is set where it accepts no connection.
	IsDown bool
}

// Trouble changes the conduct of some replicas for a while.
type Trouble struct {
	From time.Duration
	For  time.Duration
	// Hits selects replicas by the number of their shard and of their copy.
	Hits func(shard, copyNumber int) bool
	Conduct
}

// replica is one modelled replica.
type replica struct {
	fleet      *fleet
	shard      int
	copyNumber int
	domain     string
	// phase is when its first pause begins.
	phase time.Duration
	slots chan struct{}
	// speed is how many times longer its work takes.
	speed float64

	mutex   sync.Mutex
	waiting int
	// noiseUntil is the end of the present span of noise or of quiet.
	noiseUntil time.Time
	noise      float64
	// arrivals counts the requests that reached it.
	arrivals int
}

// conduct returns how the replica behaves now.
func (replica *replica) conduct() Conduct {
	now := time.Since(replica.fleet.started)
	for _, trouble := range replica.fleet.pattern.Troubles {
		isOn := now >= trouble.From && now < trouble.From+trouble.For
		if isOn && trouble.Hits(replica.shard, replica.copyNumber) {
			return trouble.Conduct
		}
	}
	return Conduct{}
}

// enter counts an arrival and reports whether the queue has room for it.
func (replica *replica) enter() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.arrivals++
	if replica.waiting >= replica.fleet.pattern.Shape.Queue {
		return false
	}
	replica.waiting++
	return true
}

// arrived returns how many requests reached the replica. Attempts that queries
// were answered without may still be on their way.
func (replica *replica) arrived() int {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.arrivals
}

func (replica *replica) leaveQueue() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.waiting--
}

func (replica *replica) load() int {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return len(replica.slots) + replica.waiting
}

// serve runs one request of the given mean work.
func (replica *replica) serve(ctx context.Context, work time.Duration) (api.ReplyStatus, error) {
	conduct := replica.conduct()
	draw := rand.Float64()
	hasRoom := replica.enter()
	switch {
	case conduct.IsDark:
		<-ctx.Done()
		return "", ctx.Err()
	case !hasRoom:
		return api.ReplyShed, nil
	case draw < conduct.Sheds:
		replica.leaveQueue()
		return api.ReplyShed, nil
	case draw < conduct.Sheds+conduct.Fails:
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
	return api.ReplyDone, sleep(ctx, replica.paused(replica.drawWork(work, conduct)))
}

// pace returns how many times longer than usual work takes at the moment, as
// the replica knows it.
func (replica *replica) pace() float64 {
	shape := replica.fleet.pattern.Shape
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if now := time.Now(); now.After(replica.noiseUntil) {
		replica.noiseUntil = now.Add(shape.NoiseEvery)
		replica.noise = 1
		if rand.Float64() < shape.NoiseShare {
			replica.noise = shape.NoiseTimes
		}
	}
	return replica.noise
}

// drawWork draws how long a request takes.
func (replica *replica) drawWork(mean time.Duration, conduct Conduct) time.Duration {
	spread := replica.fleet.pattern.Shape.Spread
	factor := replica.speed * replica.pace() * math.Exp(spread*rand.NormFloat64()-spread*spread/2)
	if conduct.Slowness > 0 {
		factor *= conduct.Slowness
	}
	return time.Duration(factor * float64(mean))
}

// paused adds the pauses that fall into work that begins now.
func (replica *replica) paused(work time.Duration) time.Duration {
	shape := replica.fleet.pattern.Shape
	if shape.PauseEvery <= 0 {
		return work
	}
	position := (time.Since(replica.fleet.started) + replica.phase) % shape.PauseEvery
	if position < shape.PauseFor {
		work += shape.PauseFor - position
		position = shape.PauseFor
	}
	if position+work > shape.PauseEvery {
		work += shape.PauseFor
	}
	return work
}

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

// link carries attempts to a modelled replica.
type link struct {
	replica *replica
	way     time.Duration

	mutex sync.Mutex
	// open is how many requests the link carries at once.
	open    int
	waiting waitqueue.Queue[struct{}]
}

// beyondSlots is how many more requests than the replica's slots a link
// carries at once.
const beyondSlots = 2

// acquire waits for a connection.
func (link *link) acquire(ctx context.Context, claim waitqueue.Priority) error {
	link.mutex.Lock()
	if link.open < link.replica.fleet.pattern.Shape.Slots+beyondSlots {
		link.open++
		link.mutex.Unlock()
		return nil
	}
	waiter := link.waiting.Add(claim)
	link.mutex.Unlock()
	select {
	case <-waiter.Ready:
		return nil
	case <-ctx.Done():
	}
	link.mutex.Lock()
	isWaiting := link.waiting.Remove(waiter)
	link.mutex.Unlock()
	if !isWaiting {
		link.release()
	}
	return ctx.Err()
}

func (link *link) release() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if next := link.waiting.Next(time.Now()); next != nil {
		next.Ready <- struct{}{}
		return
	}
	link.open--
}

// Close does nothing.
func (link *link) Close() {}

// LimitConnections does nothing: the model's links carry as many requests as a home's.
func (link *link) LimitConnections(int, bool) {}

// Preconnect does nothing.
func (link *link) Preconnect() {}

// HealthCheckedLink returns nil.
func (link *link) HealthCheckedLink() *http.Link { return nil }

// Send runs one attempt.
func (link *link) Send(ctx context.Context, attempt api.Attempt) (api.Reply, error) {
	name := attempt.Replica
	work, err := time.ParseDuration(attempt.RelayedRequest.RequestTarget)
	if err != nil {
		return api.Reply{}, &http.SendError{Step: "read the work for", Peer: name, Cause: err}
	}
	if link.replica.conduct().IsDown {
		return api.Reply{}, &http.SendError{Step: "connect to", Peer: name, Cause: errors.New("connection refused")}
	}
	if err := link.acquire(ctx, waitqueue.Priority{TargetTime: attempt.TargetTime, Rank: attempt.Rank}); err != nil {
		return api.Reply{}, &http.SendError{Step: "connect to", Peer: name, Cause: err}
	}
	defer link.release()
	if err := sleep(ctx, link.way); err != nil {
		return api.Reply{}, &http.SendError{Step: "connect to", Peer: name, Cause: err}
	}
	status, err := link.replica.serve(ctx, work)
	if err != nil {
		return api.Reply{}, &http.SendError{Step: "exchange with", Peer: name, MayHaveRun: true, Cause: err}
	}
	return api.Reply{
		Status:      status,
		Epoch:       attempt.Epoch,
		Signature:   name,
		Load:        link.replica.load(),
		Slowdown:    link.replica.pace(),
		IsLoadKnown: true,
	}, nil
}

// open returns the function that opens the links of the instances of domain.
func (fleet *fleet) open(domain string) func(*view.Replica, int) *link {
	return func(known *view.Replica, _ int) *link {
		replica := fleet.replicas[known.Instance.Name]
		way := fleet.pattern.Shape.Far
		if replica.domain == domain {
			way = fleet.pattern.Shape.Near
		}
		return &link{replica: replica, way: way}
	}
}
