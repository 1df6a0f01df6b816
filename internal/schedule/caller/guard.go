package caller

import (
	"expvar"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/state/estimate"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
)

// ErrNoMemory is the cause of the error of a read or write for which no memory is left.
var ErrNoMemory = errors.New("no memory left for the request")

// logInterval is the least time between two log lines about connections that were closed
// or refused.
const logInterval = 5 * time.Second

// Guard is a memory account that several listeners share. It closes the connections that
// have to give way. Its methods may be called concurrently.
type Guard struct {
	// name is the first part of the names of the metrics.
	name string
	// now returns the time since any fixed origin.
	now     func() time.Duration
	metrics *metrics.Metrics
	logger  *zap.Logger
	// replySize estimates what a whole answer of a replica takes of PartReplies, in bytes.
	replySize estimate.Upper[int64]

	// mutex guards the fields below.
	mutex  sync.Mutex
	memory *Memory[Evictable]
	// changed is closed when what waits for evicted connections has to look again. It is
	// nil if nothing waits.
	changed chan struct{}
	// waiting holds the work of queries that wait for running ones to end, in the order
	// of arrival.
	waiting []*queuedWork
	// workTime is how long a query usually runs.
	workTime time.Duration
	// lastLog is when a line was last logged. Counts since then are in the two maps: the
	// evicted connections by their phase, the refusals by their reason.
	lastLog time.Duration
	evicted map[string]int
	refused map[string]int
}

// Evictable is a connection that a guard may close.
type Evictable interface {
	// Evict closes the connection at once. It does not wait, and may be called while the
	// connection calls its guard.
	Evict()
}

// Reasons for refusals.
const (
	refusedConnection = "connection"
	refusedMemory     = "memory"
)

// NewGuard returns a guard with the given limits, whose metrics begin with name. The
// function now returns the time since any fixed origin.
func NewGuard(name string, limits MemoryLimits, now func() time.Duration, metrics *metrics.Metrics, logger *zap.Logger) *Guard {
	guard := &Guard{
		name:    name,
		now:     now,
		metrics: metrics,
		logger:  logger,
		memory:  NewMemory[Evictable](limits),
		lastLog: now() - logInterval,
		evicted: make(map[string]int),
		refused: make(map[string]int),
	}
	guard.replySize.Set(initialReplyBytes)
	metrics.Vars.Set(name+".held", expvar.Func(guard.usage))
	return guard
}

// Usage is what a guard holds at one moment.
type Usage struct {
	HeldBytes    int64          `json:"heldBytes"`
	LargeBytes   int64          `json:"largeBytes"`
	ClosingBytes int64          `json:"closingBytes"`
	Connections  map[string]int `json:"connections"`
	Parts        map[Part]int64 `json:"parts,omitempty"`
}

// usage returns the current Usage.
func (guard *Guard) usage() any {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	memory := guard.memory
	return Usage{HeldBytes: memory.HeldBytes, LargeBytes: memory.LargeHeldBytes, ClosingBytes: memory.ClosingBytes, Connections: maps.Clone(memory.Connections), Parts: maps.Clone(memory.PartBytes)}
}

// Open adds a connection, and returns nil if it is refused. It may wait for evicted
// connections to close, at most until canceled is closed.
func (guard *Guard) Open(connection Evictable, listener string, canceled <-chan struct{}) *Holder[Evictable] {
	guard.mutex.Lock()
	guard.awaitClosing(guard.memory.IsClosingFull, canceled)
	holder, evicted := guard.memory.Open(connection, listener, guard.now())
	guard.report(evicted, holder != nil, refusedConnection)
	guard.signalEvicted(evicted)
	guard.mutex.Unlock()
	evictAll(evicted)
	return holder
}

// Grow adds bytes to a holder and reports whether they may be held. It may wait for evicted
// connections to close, but not if the holder becomes large, and no longer than until it is
// evicted or closed itself.
func (guard *Guard) Grow(holder *Holder[Evictable], bytes int64) bool {
	guard.mutex.Lock()
	guard.awaitClosing(func() bool { return guard.memory.IsGrowthDelayed(holder, bytes) }, nil)
	isGranted, evicted := guard.memory.Grow(holder, bytes, guard.now())
	guard.report(evicted, isGranted, refusedMemory)
	guard.signalEvicted(evicted)
	guard.mutex.Unlock()
	evictAll(evicted)
	return isGranted
}

// Enter moves a holder to a phase.
func (guard *Guard) Enter(holder *Holder[Evictable], phase Phase) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.memory.Enter(holder, phase, guard.now())
}

// Close removes a holder.
func (guard *Guard) Close(holder *Holder[Evictable]) {
	guard.mutex.Lock()
	// An evicted holder has been woken up already.
	isWaiting := !holder.isEvicted
	guard.memory.Close(holder)
	if isWaiting || !guard.memory.IsClosingFull() {
		guard.signal()
	}
	guard.unlockReleased()
}

// awaitClosing waits while isDelayed returns true, until canceled is closed, but no longer
// than the limits allow. The caller holds the mutex, which is released during the wait.
func (guard *Guard) awaitClosing(isDelayed func() bool, canceled <-chan struct{}) {
	timeout := guard.memory.Limits.ClosingTimeout
	if timeout == 0 || !isDelayed() {
		return
	}
	guard.metrics.Add(guard.name+".delayed", 1)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for isWaiting := true; isWaiting && isDelayed(); {
		if guard.changed == nil {
			guard.changed = make(chan struct{})
		}
		changed := guard.changed
		guard.mutex.Unlock()
		select {
		case <-changed:
		case <-canceled:
			isWaiting = false
		case <-timer.C:
			isWaiting = false
		}
		guard.mutex.Lock()
	}
}

// signalEvicted wakes up the evicted holders that wait to grow. The caller holds the mutex.
func (guard *Guard) signalEvicted(evicted []*Holder[Evictable]) {
	if len(evicted) > 0 {
		guard.signal()
	}
}

// signal wakes up what waits for a change. The caller holds the mutex.
func (guard *Guard) signal() {
	if guard.changed != nil {
		close(guard.changed)
		guard.changed = nil
	}
}

func evictAll(evicted []*Holder[Evictable]) {
	for _, holder := range evicted {
		holder.Connection.Evict()
	}
}

// report counts a decision, and logs the counts if none were logged for logInterval. The
// caller holds the mutex.
func (guard *Guard) report(evicted []*Holder[Evictable], isGranted bool, reason string) {
	if len(evicted) == 0 && isGranted {
		return
	}
	for _, holder := range evicted {
		guard.evicted[holder.Phase.String()]++
		guard.metrics.Add(guard.name+".evicted."+holder.Phase.String(), 1)
	}
	if !isGranted {
		guard.refused[reason]++
		guard.metrics.Add(guard.name+".refused."+reason, 1)
	}
	if now := guard.now(); now-guard.lastLog >= logInterval {
		guard.lastLog = now
		guard.logger.Warn("connections evicted or refused", zap.String("account", guard.name), zap.Any("evicted", guard.evicted), zap.Any("refused", guard.refused),
			zap.Int64("heldBytes", guard.memory.HeldBytes), zap.Int64("largeBytes", guard.memory.LargeHeldBytes), zap.Int64("closingBytes", guard.memory.ClosingBytes))
		guard.evicted, guard.refused = make(map[string]int), make(map[string]int)
	}
}
