// Package upstream simulates the replicas of the users' upstreams for tests: HTTP
// servers with slots, a queue, a connection limit and injected faults.
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

// Replica is one simulated replica. Its methods may be called concurrently.
type Replica struct {
	Name   string
	config ReplicaConfig

	// mutex guards the fields below.
	mutex sync.Mutex
	// shards holds the epochs of the served shards, by shard name.
	shards    map[string]uint64
	snapshots []uint64
	faults    Faults
	// coldUntil is when the effect of Faults.ColdDuration ends.
	coldUntil time.Time
	// leavingSince is when the replica last began to leave.
	leavingSince time.Time
	counts       Counts
	// commandIdentities holds the identities of the commands and relayed
	// requests that ran.
	commandIdentities map[string]bool
	// refusedOffers counts the offers that Faults.RefusedOffers refused, by identity.
	refusedOffers map[string]int
	// slotsInUse is the number of requests that run.
	slotsInUse int
	// slotQueue holds a channel for each request that waits for a slot. A closed
	// channel passes the slot on.
	slotQueue []chan struct{}
	// health is the last health report, which was made at healthTime.
	health     api.ReplicaHealth
	healthTime time.Time
}

// NewReplica returns a replica that serves shards, a map of epochs by shard name,
// and holds snapshots.
func NewReplica(name string, config ReplicaConfig, shards map[string]uint64, snapshots []uint64) *Replica {
	return &Replica{
		Name:              name,
		config:            config,
		shards:            shards,
		snapshots:         snapshots,
		counts:            Counts{CommandRuns: make(map[string]int), RelayedRequests: make(map[string]RelayedRequest)},
		commandIdentities: make(map[string]bool),
		refusedOffers:     make(map[string]int),
	}
}

// SetFaults replaces the injected faults.
func (replica *Replica) SetFaults(faults Faults) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if faults.IsLeaving && !replica.faults.IsLeaving {
		replica.leavingSince = time.Now()
	}
	if faults.ColdDuration > 0 {
		replica.coldUntil = time.Now().Add(faults.ColdDuration)
	}
	replica.faults = faults
}

// SetSnapshots replaces the snapshots that the replica holds.
func (replica *Replica) SetSnapshots(snapshots ...uint64) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.snapshots = snapshots
}

// SetShards replaces the shards that the replica serves. shards holds epochs by
// shard name.
func (replica *Replica) SetShards(shards map[string]uint64) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.shards = shards
}

// Counts returns a copy of the counters.
func (replica *Replica) Counts() Counts {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	counts := replica.counts
	counts.RelayedRequests = maps.Clone(replica.counts.RelayedRequests)
	counts.CommandRuns = make(map[string]int, len(replica.counts.CommandRuns))
	for body, count := range replica.counts.CommandRuns {
		counts.CommandRuns[body] = count
	}
	return counts
}

// Register adds the replica's paths to mux. All other paths and methods are
// served as relayed requests.
func (replica *Replica) Register(mux chi.Router) {
	mux.Post("/v1/shards/{shard}/query", replica.handleQuery)
	mux.Post("/v1/shards/{shard}/command", replica.handleCommand)
	mux.Get(wire.HealthPath, replica.handleHealth)
	mux.Post("/admin/faults", replica.handleFaults)
	mux.Post("/admin/held", replica.handleSnapshots)
	mux.Post("/admin/shards", replica.handleShards)
	mux.Get("/admin/counts", replica.handleCounts)
	mux.NotFound(replica.handleRelayed)
	mux.MethodNotAllowed(replica.handleRelayed)
}

func (replica *Replica) handleQuery(writer http.ResponseWriter, request *http.Request) {
	replica.handleAttempt(writer, request, false)
}

func (replica *Replica) handleCommand(writer http.ResponseWriter, request *http.Request) {
	replica.handleAttempt(writer, request, true)
}

// handleAttempt serves a query or a command in this system's own protocol.
func (replica *Replica) handleAttempt(writer http.ResponseWriter, request *http.Request, isCommand bool) {
	attempt, err := wire.DecodeAttempt(chi.URLParam(request, "shard"), isCommand, request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(replica.config.NetworkDelay)
	ctx, cancel := context.WithTimeout(request.Context(), attempt.Timeout)
	defer cancel()
	reply := replica.serve(ctx, attempt)
	replica.writeReply(writer, request, reply)
}

// writeReply adds the replica's state to reply and writes it with the faults that
// apply to replies.
func (replica *Replica) writeReply(writer http.ResponseWriter, request *http.Request, reply api.Reply) {
	replica.mutex.Lock()
	faults := replica.faults
	reply.HeldSnapshots = slices.Clone(replica.snapshots)
	reply.IsLeaving = faults.IsLeaving && !faults.HideLeaving
	reply.Load = replica.slotsInUse + len(replica.slotQueue)
	replica.mutex.Unlock()
	if faults.ReplyDelay > 0 {
		time.Sleep(faults.ReplyDelay)
	}
	if faults.Truncate && len(reply.Body) > 1 {
		writer = &truncatingWriter{ResponseWriter: writer}
		defer panic(http.ErrAbortHandler)
	}
	wire.WriteReply(&failureWriter{ResponseWriter: writer, status: faults.FailStatus}, reply)
}

// failureWriter replaces the status code 500.
type failureWriter struct {
	http.ResponseWriter
	// status is the status code in place of 500; 0 leaves it.
	status int
}

// WriteHeader writes the status code, or the one in its place.
func (failurewriter *failureWriter) WriteHeader(code int) {
	if code == http.StatusInternalServerError && failurewriter.status != 0 {
		code = failurewriter.status
	}
	failurewriter.ResponseWriter.WriteHeader(code)
}

// truncatingWriter drops the second half of a body.
type truncatingWriter struct{ http.ResponseWriter }

// Write writes the first half of body and reports all of it as written.
func (truncatingwriter *truncatingWriter) Write(body []byte) (int, error) {
	_, _ = truncatingwriter.ResponseWriter.Write(body[:len(body)/2])
	if flusher, isFlusher := truncatingwriter.ResponseWriter.(http.Flusher); isFlusher {
		flusher.Flush()
	}
	return len(body), nil
}

// serve runs an attempt if the replica admits it, and returns the reply.
func (replica *Replica) serve(ctx context.Context, attempt api.Attempt) api.Reply {
	reply := api.Reply{Identity: attempt.Identity, Snapshot: attempt.Snapshot, Epoch: attempt.Epoch}
	if status := replica.admit(attempt); status != "" {
		reply.Status = status
		return reply
	}
	if !replica.acquireSlot(ctx) {
		reply.Status = api.ReplyShed
		return reply
	}
	reply.Status = replica.execute(ctx, attempt)
	replica.releaseSlot()
	if replica.answersWrongSnapshot() {
		reply.Snapshot++
		attempt.Snapshot++
	}
	if reply.Status == api.ReplyDone {
		reply.Body = replica.answerBody(attempt)
	}
	return reply
}

func (replica *Replica) answersWrongSnapshot() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.faults.WrongSnapshot
}

// admit counts an attempt and returns the status with which the replica refuses
// it, or "" if it may run.
func (replica *Replica) admit(attempt api.Attempt) api.ReplyStatus {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.counts.ReceivedRequests++
	now := time.Now()
	replica.counts.LastArrival = now.UnixMilli()
	if replica.faults.IsLeaving && now.Sub(replica.leavingSince) > LeavingGracePeriod {
		replica.counts.ReceivedAfterGrace++
	}
	epoch, isServed := replica.shards[attempt.Shard]
	switch {
	case replica.faults.IsLeaving:
		return api.ReplyLeaving
	case replica.faults.ShedAll:
		return api.ReplyShed
	case !isServed || epoch != attempt.Epoch:
		return api.ReplyMoved
	case !attempt.IsCommand && !slices.Contains(replica.snapshots, attempt.Snapshot):
		return api.ReplySnapshotGone
	}
	return ""
}

// acquireSlot waits for a slot. It reports false if the queue is full or ctx ends
// first.
func (replica *Replica) acquireSlot(ctx context.Context) bool {
	replica.mutex.Lock()
	if replica.slotsInUse < replica.config.Slots {
		replica.slotsInUse++
		replica.mutex.Unlock()
		return true
	}
	if len(replica.slotQueue) >= replica.config.QueueLimit {
		replica.mutex.Unlock()
		return false
	}
	slotReady := make(chan struct{})
	replica.slotQueue = append(replica.slotQueue, slotReady)
	replica.mutex.Unlock()
	select {
	case <-slotReady:
		return true
	case <-ctx.Done():
		return replica.leaveQueue(slotReady)
	}
}

// leaveQueue removes a request from the queue. If the request has received a slot
// in the meantime, it keeps the slot and leaveQueue reports true.
func (replica *Replica) leaveQueue(slotReady chan struct{}) bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	index := slices.Index(replica.slotQueue, slotReady)
	if index < 0 {
		return true
	}
	replica.slotQueue = slices.Delete(replica.slotQueue, index, index+1)
	return false
}

// releaseSlot passes the slot to the first request in the queue, if any.
func (replica *Replica) releaseSlot() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if len(replica.slotQueue) > 0 {
		close(replica.slotQueue[0])
		replica.slotQueue = replica.slotQueue[1:]
		return
	}
	replica.slotsInUse--
}

// execute runs an attempt in a slot that the caller holds. It returns
// api.ReplyFailed if ctx ends before the service time has passed.
func (replica *Replica) execute(ctx context.Context, attempt api.Attempt) api.ReplyStatus {
	replica.mutex.Lock()
	faults := replica.faults
	serviceTime := replica.drawServiceTime()
	replica.counts.ExecutedRequests++
	if replica.commandIdentities[attempt.Identity] {
		replica.counts.RepeatedRuns++
	}
	if attempt.IsCommand {
		replica.commandIdentities[attempt.Identity] = true
		replica.counts.CommandRuns[string(attempt.Body)]++
	}
	replica.mutex.Unlock()
	if faults.Hang {
		<-ctx.Done()
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return api.ReplyFailed
	}
	if faults.FailAll {
		return api.ReplyFailed
	}
	return api.ReplyDone
}

// drawServiceTime draws the time that a request runs. The caller holds mutex.
func (replica *Replica) drawServiceTime() time.Duration {
	factor := math.Exp(replica.config.ServiceTimeSigma * rand.NormFloat64())
	if replica.faults.SlowdownFactor > 0 {
		factor *= replica.faults.SlowdownFactor
	}
	if time.Now().Before(replica.coldUntil) {
		factor *= coldFactor
	}
	return time.Duration(float64(replica.config.ServiceTime) * factor)
}

// AnswerBody is the JSON body of a reply to a query or a command.
type AnswerBody struct {
	Shard    string `json:"shard"`
	Snapshot uint64 `json:"snapshot"`
	Replica  string `json:"replica"`
	// Echo is the body of the request, or null if that is not JSON.
	Echo json.RawMessage `json:"echo"`
}

func (replica *Replica) answerBody(attempt api.Attempt) []byte {
	echo := json.RawMessage(attempt.Body)
	if !json.Valid(echo) {
		echo = json.RawMessage("null")
	}
	body, _ := json.Marshal(AnswerBody{Shard: attempt.Shard, Snapshot: attempt.Snapshot, Replica: replica.Name, Echo: echo})
	return body
}

// Load returns the number of requests that the replica runs or queues. Replies
// report the same number.
func (replica *Replica) Load() int {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.slotsInUse + len(replica.slotQueue)
}
