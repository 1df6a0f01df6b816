// Package caller decides which callers an instance serves when it cannot serve all of
// them.
package caller

import (
	"time"
)

// Phase is what the connection of a caller is doing.
type Phase int

// The phases of a connection.
const (
	// PhaseIdle means that no request has begun.
	PhaseIdle Phase = iota
	// PhaseReading means that the caller is sending a request.
	PhaseReading
	// PhaseRunning means that a whole request has arrived and has no answer yet.
	PhaseRunning
	// PhaseWriting means that the caller is reading its answer.
	PhaseWriting
)

// String returns the phase as it is named in metrics.
func (phase Phase) String() string {
	return [...]string{"idle", "reading", "running", "writing"}[phase]
}

// MemoryLimits bounds what an instance holds for its callers.
type MemoryLimits struct {
	// TotalBytes bounds the memory for all connections; 0 means no bound.
	TotalBytes int64
	// LargeBytes bounds the memory for the connections that hold more than SmallBytes
	// each. The rest of TotalBytes is left for the others.
	LargeBytes int64
	SmallBytes int64
	// ConnectionBytes is the memory that a connection takes beside its request and
	// its answer.
	ConnectionBytes int64
	// MaxConnections bounds the open connections of each listener, by its name. A
	// listener without an entry has no bound.
	MaxConnections map[string]int
	// Parts bounds what is held for running requests, by part.
	Parts map[Part]PartLimits
	// YoungTime is how long after it was accepted or answered a connection counts as
	// about to send a request.
	YoungTime time.Duration
	// StallTime is how long a caller must have read nothing of its answer before its
	// connection may be closed for the sake of others.
	StallTime time.Duration
	// ClosingTimeout is how long a new connection or a small request waits for evicted
	// connections to release their memory; 0 means that it does not wait.
	ClosingTimeout time.Duration
}

// Holder is a connection and the memory that is held for it.
type Holder[C any] struct {
	// Connection is what is closed if the holder has to give way.
	Connection C
	// Listener is the name of the listener that accepted the connection.
	Listener string
	Phase    Phase
	// Since is when the connection entered its phase, or, in PhaseWriting, when it
	// last made progress. It is a time since any fixed origin.
	Since time.Duration
	// Bytes is the memory held for the connection.
	Bytes int64
	// isEvicted is set when the holder was told to close.
	isEvicted bool
	queue     *queue[*Holder[C]]
}

// Memory is the account of the memory and the connections that one instance holds for
// its callers, and of what their running requests hold. When either runs out, connections give way in this order: idle ones, those
// that send a request, the oldest first, those that have stopped reading their answer, and
// idle ones that are young. A connection whose request runs never gives way. Memory is not
// safe for concurrent use.
type Memory[C any] struct {
	Limits MemoryLimits
	// HeldBytes is the memory that is held, without that of evicted holders.
	HeldBytes int64
	// LargeHeldBytes is the part of HeldBytes of large holders.
	LargeHeldBytes int64
	// ClosingBytes is the memory of evicted holders that are not closed yet.
	ClosingBytes int64
	// PartBytes is the part of HeldBytes that is held for running requests, by part.
	PartBytes map[Part]int64
	// Connections counts the open connections of each listener, without those of
	// evicted holders.
	Connections map[string]int

	queues map[queueKey]*queue[*Holder[C]]
}

// queueKey selects a queue of holders that are in the order in which they may give way.
type queueKey struct {
	listener string
	phase    Phase
	isLarge  bool
}

// NewMemory returns an account without holders.
func NewMemory[C any](limits MemoryLimits) *Memory[C] {
	return &Memory[C]{Limits: limits, PartBytes: make(map[Part]int64), Connections: make(map[string]int), queues: make(map[queueKey]*queue[*Holder[C]])}
}

// rule selects the holders that may give way at one place of an order.
type rule struct {
	phase   Phase
	isLarge bool
	// isYoung selects idle holders of any age, and not only those beyond YoungTime.
	isYoung bool
}

// The orders in which holders give way, by what memory is needed for.
var (
	// connectionOrder is the order for a new connection.
	connectionOrder = []rule{{phase: PhaseIdle}, {phase: PhaseReading, isLarge: true}, {phase: PhaseReading}, {phase: PhaseWriting, isLarge: true}, {phase: PhaseWriting}, {phase: PhaseIdle, isYoung: true}}
	// growthOrder is the order for a request or an answer that grows.
	growthOrder = []rule{{phase: PhaseReading, isLarge: true}, {phase: PhaseIdle}, {phase: PhaseReading}, {phase: PhaseWriting, isLarge: true}, {phase: PhaseWriting}, {phase: PhaseIdle, isYoung: true}}
	// largeOrder is the order for the memory that only large holders use.
	largeOrder = []rule{{phase: PhaseReading, isLarge: true}, {phase: PhaseWriting, isLarge: true}}
)

// minAge returns how long a holder must have been in its phase for the rule to select it.
func (rule rule) minAge(limits MemoryLimits) time.Duration {
	switch {
	case rule.phase == PhaseIdle && !rule.isYoung:
		return limits.YoungTime
	case rule.phase == PhaseWriting:
		return limits.StallTime
	}
	return 0
}

// The memory of evicted holders that are not closed yet is bounded by one in
// largeClosingDivisor of the total for large holders to grow, and by one in closingDivisor
// for all else.
const (
	closingDivisor      = 2
	largeClosingDivisor = 4
)

// IsClosingFull reports whether evicted holders that are not closed yet hold so much that
// Open and Grow refuse all others.
func (memory *Memory[C]) IsClosingFull() bool { return memory.isClosingOver(closingDivisor) }

// IsGrowthDelayed reports whether a holder that stays small can grow by bytes as soon as
// evicted holders are closed.
func (memory *Memory[C]) IsGrowthDelayed(holder *Holder[C], bytes int64) bool {
	return memory.IsClosingFull() && !holder.isEvicted && !memory.isLargeBytes(holder.Bytes+bytes)
}

// Open adds a connection. It returns the holder, or nil if the connection is refused, and
// the holders that the caller of Open must close.
func (memory *Memory[C]) Open(connection C, listener string, now time.Duration) (*Holder[C], []*Holder[C]) {
	if memory.IsClosingFull() {
		return nil, nil
	}
	var evicted []*Holder[C]
	if limit, isSet := memory.Limits.MaxConnections[listener]; isSet {
		for memory.Connections[listener] >= limit {
			victim := memory.next(connectionOrder, listener, now)
			if victim == nil {
				return nil, evicted
			}
			evicted = append(evicted, memory.evict(victim))
		}
	}
	for memory.exceeds(memory.Limits.ConnectionBytes) {
		victim := memory.next(connectionOrder, "", now)
		if victim == nil {
			return nil, evicted
		}
		evicted = append(evicted, memory.evict(victim))
	}
	holder := &Holder[C]{Connection: connection, Listener: listener, Since: now, Bytes: memory.Limits.ConnectionBytes}
	memory.Connections[listener]++
	memory.HeldBytes += holder.Bytes
	memory.enqueue(holder)
	return holder, evicted
}

// Grow adds bytes to a holder. It reports whether they may be held, and returns the holders
// that the caller of Grow must close. A holder that would have to give way itself may not
// grow.
func (memory *Memory[C]) Grow(holder *Holder[C], bytes int64, now time.Duration) (bool, []*Holder[C]) {
	if holder.isEvicted {
		return false, nil
	}
	isLarge := memory.isLargeBytes(holder.Bytes + bytes)
	if memory.IsClosingFull() || isLarge && memory.isClosingOver(largeClosingDivisor) {
		return false, nil
	}
	var evicted []*Holder[C]
	if isLarge {
		// A holder that becomes large takes all that it holds with it.
		for memory.Limits.TotalBytes > 0 && memory.LargeHeldBytes+memory.newLargeBytes(holder, bytes) > memory.Limits.LargeBytes {
			victim := memory.next(largeOrder, "", now)
			if victim == nil || victim == holder {
				return false, evicted
			}
			evicted = append(evicted, memory.evict(victim))
		}
	}
	for memory.exceeds(bytes) {
		victim := memory.next(growthOrder, "", now)
		if victim == nil || victim == holder {
			return false, evicted
		}
		evicted = append(evicted, memory.evict(victim))
	}
	memory.resize(holder, holder.Bytes+bytes)
	return true, evicted
}

// Enter moves a holder to a phase. When it becomes idle, the memory of its request and its
// answer is released.
func (memory *Memory[C]) Enter(holder *Holder[C], phase Phase, now time.Duration) {
	if holder.isEvicted {
		return
	}
	memory.dequeue(holder)
	holder.Phase, holder.Since = phase, now
	if phase == PhaseIdle {
		memory.resize(holder, memory.Limits.ConnectionBytes)
	}
	memory.enqueue(holder)
}

// Close removes a holder, whose connection has been closed.
func (memory *Memory[C]) Close(holder *Holder[C]) {
	if holder.isEvicted {
		memory.ClosingBytes -= holder.Bytes
		holder.Bytes = 0
		return
	}
	memory.remove(holder)
	holder.isEvicted = true
	holder.Bytes = 0
}

// evict marks a holder as closing and returns it.
func (memory *Memory[C]) evict(holder *Holder[C]) *Holder[C] {
	memory.remove(holder)
	holder.isEvicted = true
	memory.ClosingBytes += holder.Bytes
	return holder
}

// remove takes a holder out of the account.
func (memory *Memory[C]) remove(holder *Holder[C]) {
	memory.dequeue(holder)
	memory.Connections[holder.Listener]--
	memory.HeldBytes -= holder.Bytes
	if memory.isLargeBytes(holder.Bytes) {
		memory.LargeHeldBytes -= holder.Bytes
	}
}

// resize sets the memory of a holder, and its place among the large ones.
func (memory *Memory[C]) resize(holder *Holder[C], bytes int64) {
	wasLarge, isLarge := memory.isLargeBytes(holder.Bytes), memory.isLargeBytes(bytes)
	memory.HeldBytes += bytes - holder.Bytes
	if wasLarge {
		memory.LargeHeldBytes -= holder.Bytes
	}
	if isLarge {
		memory.LargeHeldBytes += bytes
	}
	isQueued := holder.queue != nil
	if wasLarge != isLarge && isQueued {
		memory.dequeue(holder)
	}
	holder.Bytes = bytes
	if wasLarge != isLarge && isQueued {
		memory.enqueue(holder)
	}
}

func (memory *Memory[C]) isLargeBytes(bytes int64) bool { return bytes > memory.Limits.SmallBytes }

// newLargeBytes returns what growing a holder by bytes adds to LargeHeldBytes.
func (memory *Memory[C]) newLargeBytes(holder *Holder[C], bytes int64) int64 {
	if memory.isLargeBytes(holder.Bytes) {
		return bytes
	}
	return holder.Bytes + bytes
}

// exceeds reports whether the total has no room for bytes.
func (memory *Memory[C]) exceeds(bytes int64) bool {
	return memory.Limits.TotalBytes > 0 && memory.HeldBytes+bytes > memory.Limits.TotalBytes
}

// isClosingOver reports whether evicted holders still hold more than one in divisor of the
// total.
func (memory *Memory[C]) isClosingOver(divisor int64) bool {
	return memory.Limits.TotalBytes > 0 && memory.ClosingBytes > memory.Limits.TotalBytes/divisor
}

// next returns the holder that gives way next, or nil if there is none. An empty listener
// means all of them.
func (memory *Memory[C]) next(order []rule, listener string, now time.Duration) *Holder[C] {
	for _, rule := range order {
		var oldest *Holder[C]
		for key, queue := range memory.queues {
			if key.phase != rule.phase || key.isLarge != rule.isLarge || listener != "" && key.listener != listener {
				continue
			}
			holder, isFound := queue.first()
			if !isFound || now-holder.Since < rule.minAge(memory.Limits) {
				continue
			}
			if oldest == nil || holder.Since < oldest.Since {
				oldest = holder
			}
		}
		if oldest != nil {
			return oldest
		}
	}
	return nil
}

// enqueue adds a holder to the queue of its phase, unless its request runs.
func (memory *Memory[C]) enqueue(holder *Holder[C]) {
	if holder.Phase == PhaseRunning {
		return
	}
	key := queueKey{listener: holder.Listener, phase: holder.Phase, isLarge: memory.isLargeBytes(holder.Bytes)}
	if memory.queues[key] == nil {
		memory.queues[key] = newQueue[*Holder[C]]()
	}
	holder.queue = memory.queues[key]
	holder.queue.add(holder)
}

// dequeue removes a holder from its queue, if it is in one.
func (memory *Memory[C]) dequeue(holder *Holder[C]) {
	if holder.queue != nil {
		holder.queue.remove(holder)
		holder.queue = nil
	}
}
