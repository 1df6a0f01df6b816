// Package upstream is a small stand-in for the users' replicas, with slots, a
// queue, a connection limit and faults to order.
package upstream

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Replica is one stand-in replica.
type Replica struct {
	Name  string
	shape Shape

	mutex     sync.Mutex
	shards    map[string]uint64
	held      []uint64
	faults    Faults
	coldUntil time.Time
	leftAt    time.Time
	counts    Counts
	runs      map[string]bool
	running   int
	waiting   []chan struct{}
	reported  api.ReplicaHealth
	reportAt  time.Time
}

// NewReplica returns a replica of shards, by epoch, that holds snapshots.
func NewReplica(name string, shape Shape, shards map[string]uint64, held []uint64) *Replica {
	return &Replica{
		Name:   name,
		shape:  shape,
		shards: shards,
		held:   held,
		counts: Counts{Commands: make(map[string]int), Relayed: make(map[string]RelayedRun)},
		runs:   make(map[string]bool),
	}
}

// Order sets the faults.
func (replica *Replica) Order(faults Faults) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if faults.Leaving && !replica.faults.Leaving {
		replica.leftAt = time.Now()
	}
	if faults.ColdFor > 0 {
		replica.coldUntil = time.Now().Add(faults.ColdFor)
	}
	replica.faults = faults
}

// Hold sets the snapshots that the replica holds.
func (replica *Replica) Hold(held ...uint64) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.held = held
}

// Serve sets the shards that the replica serves, by epoch.
func (replica *Replica) Serve(shards map[string]uint64) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.shards = shards
}

// Counts returns what the replica counted.
func (replica *Replica) Counts() Counts {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	counts := replica.counts
	counts.Relayed = maps.Clone(replica.counts.Relayed)
	counts.Commands = make(map[string]int, len(replica.counts.Commands))
	for body, count := range replica.counts.Commands {
		counts.Commands[body] = count
	}
	return counts
}

// Register adds the replica's paths to mux.
func (replica *Replica) Register(mux chi.Router) {
	mux.Post("/v1/shards/{shard}/query", replica.query)
	mux.Post("/v1/shards/{shard}/command", replica.command)
	mux.Get(wire.HealthPath, replica.health)
	mux.Post("/admin/faults", replica.order)
	mux.Post("/admin/held", replica.hold)
	mux.Post("/admin/shards", replica.serveShards)
	mux.Get("/admin/counts", replica.count)
	mux.NotFound(replica.relay)
	mux.MethodNotAllowed(replica.relay)
}

func (replica *Replica) query(writer http.ResponseWriter, request *http.Request) {
	replica.handle(writer, request, false)
}

func (replica *Replica) command(writer http.ResponseWriter, request *http.Request) {
	replica.handle(writer, request, true)
}

func (replica *Replica) handle(writer http.ResponseWriter, request *http.Request, isCommand bool) {
	attempt, err := wire.DecodeAttempt(chi.URLParam(request, "shard"), isCommand, request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(replica.shape.NetworkDelay)
	ctx, cancel := context.WithTimeout(request.Context(), attempt.Timeout)
	defer cancel()
	reply := replica.serve(ctx, attempt)
	replica.write(writer, request, reply)
}

func (replica *Replica) write(writer http.ResponseWriter, request *http.Request, reply api.Reply) {
	replica.mutex.Lock()
	faults := replica.faults
	reply.HeldSnapshots = slices.Clone(replica.held)
	reply.IsLeaving = faults.Leaving && !faults.HideLeaving
	reply.Load = replica.running + len(replica.waiting)
	replica.mutex.Unlock()
	if faults.Late > 0 {
		time.Sleep(faults.Late)
	}
	if faults.Truncate && len(reply.Body) > 1 {
		writer = &cutWriter{ResponseWriter: writer}
		defer panic(http.ErrAbortHandler)
	}
	wire.WriteReply(writer, reply)
}

// cutWriter drops the second half of a body.
type cutWriter struct{ http.ResponseWriter }

// Write writes the first half of body.
func (cutwriter *cutWriter) Write(body []byte) (int, error) {
	_, _ = cutwriter.ResponseWriter.Write(body[:len(body)/2])
	if flusher, isFlusher := cutwriter.ResponseWriter.(http.Flusher); isFlusher {
		flusher.Flush()
	}
	return len(body), nil
}

// serve gives the verdict on an attempt, and runs it where it may run.
func (replica *Replica) serve(ctx context.Context, attempt api.Attempt) api.Reply {
	reply := api.Reply{Identity: attempt.Identity, Snapshot: attempt.Snapshot, Epoch: attempt.Epoch}
	if status := replica.judge(attempt); status != "" {
		reply.Status = status
		return reply
	}
	if !replica.enter(ctx) {
		reply.Status = api.ReplyShed
		return reply
	}
	reply.Status = replica.execute(ctx, attempt)
	replica.leave()
	if replica.answersWrongSnapshot() {
		reply.Snapshot++
		attempt.Snapshot++
	}
	if reply.Status == api.ReplyDone {
		reply.Body = replica.body(attempt)
	}
	return reply
}

func (replica *Replica) answersWrongSnapshot() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.faults.WrongSnapshot
}

func (replica *Replica) judge(attempt api.Attempt) api.ReplyStatus {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.counts.Arrived++
	now := time.Now()
	replica.counts.LastArrival = now.UnixMilli()
	if replica.faults.Leaving && now.Sub(replica.leftAt) > LeavingGrace {
		replica.counts.AfterLeaving++
	}
	epoch, isServed := replica.shards[attempt.Shard]
	switch {
	case replica.faults.Leaving:
		return api.ReplyLeaving
	case replica.faults.Shed:
		return api.ReplyShed
	case !isServed || epoch != attempt.Epoch:
		return api.ReplyMoved
	case !attempt.IsCommand && !slices.Contains(replica.held, attempt.Snapshot):
		return api.ReplySnapshotGone
	}
	return ""
}

// enter waits for a slot. It reports false where the queue is full or the
// deadline passes first.
func (replica *Replica) enter(ctx context.Context) bool {
	replica.mutex.Lock()
	if replica.running < replica.shape.Slots {
		replica.running++
		replica.mutex.Unlock()
		return true
	}
	if len(replica.waiting) >= replica.shape.Queue {
		replica.mutex.Unlock()
		return false
	}
	turn := make(chan struct{})
	replica.waiting = append(replica.waiting, turn)
	replica.mutex.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		return replica.giveUp(turn)
	}
}

// giveUp leaves the queue. Where the turn came at the same moment it keeps
// the slot and reports true.
func (replica *Replica) giveUp(turn chan struct{}) bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	index := slices.Index(replica.waiting, turn)
	if index < 0 {
		return true
	}
	replica.waiting = slices.Delete(replica.waiting, index, index+1)
	return false
}

func (replica *Replica) leave() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if len(replica.waiting) > 0 {
		close(replica.waiting[0])
		replica.waiting = replica.waiting[1:]
		return
	}
	replica.running--
}

func (replica *Replica) execute(ctx context.Context, attempt api.Attempt) api.ReplyStatus {
	replica.mutex.Lock()
	faults := replica.faults
	service := replica.serviceTime()
	replica.counts.Executed++
	if replica.runs[attempt.Identity] {
		replica.counts.Doubled++
	}
	if attempt.IsCommand {
		replica.runs[attempt.Identity] = true
		replica.counts.Commands[string(attempt.Body)]++
	}
	replica.mutex.Unlock()
	if faults.Hang {
		<-ctx.Done()
	}
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return api.ReplyFailed
	}
	if faults.Fail {
		return api.ReplyFailed
	}
	return api.ReplyDone
}

func (replica *Replica) serviceTime() time.Duration {
	factor := math.Exp(replica.shape.Spread * rand.NormFloat64())
	if replica.faults.Slow > 0 {
		factor *= replica.faults.Slow
	}
	if time.Now().Before(replica.coldUntil) {
		factor *= coldFactor
	}
	return time.Duration(float64(replica.shape.Service) * factor)
}

// Found is the body of a stand-in's answer.
type Found struct {
	Shard    string          `json:"shard"`
	Snapshot uint64          `json:"snapshot"`
	Replica  string          `json:"replica"`
	Echo     json.RawMessage `json:"echo"`
}

func (replica *Replica) body(attempt api.Attempt) []byte {
	echo := json.RawMessage(attempt.Body)
	if !json.Valid(echo) {
		echo = json.RawMessage("null")
	}
	body, _ := json.Marshal(Found{Shard: attempt.Shard, Snapshot: attempt.Snapshot, Replica: replica.Name, Echo: echo})
	return body
}

// Busy returns how many requests the replica runs or queues.
func (replica *Replica) Busy() int {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.running + len(replica.waiting)
}
