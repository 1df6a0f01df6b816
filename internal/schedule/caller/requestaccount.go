package caller

import (
	"context"
	"sync"
	"time"
)

// Part is a kind of memory that is held for running requests, beside their callers'
// connections.
type Part string

// The parts.
const (
	// PartFanout is what the queries of the shards of running requests hold: the
	// goroutines of attempts that wait for a replica or its answer.
	PartFanout Part = "fanout"
	// PartReplies is what replicas send in answers that are larger than usual.
	PartReplies Part = "replies"
	// PartExpected is what the answers to running queries are expected to take of
	// PartReplies. It bounds how many queries run, and is itself no memory.
	PartExpected Part = "expectedReplies"
)

// PartLimits bounds one part.
type PartLimits struct {
	// MaxBytes bounds the whole part.
	MaxBytes int64
	// IsShared is set if one holder may have at most as much as is still free. However
	// many holders grow without end, room is left for another one.
	IsShared bool
}

// workOrder is the order in which connections give way to running requests. Requests that
// are being read, and callers that have just connected, do not.
var workOrder = []rule{{phase: PhaseReading, isLarge: true}, {phase: PhaseIdle}, {phase: PhaseWriting, isLarge: true}, {phase: PhaseWriting}}

// HoldPart adds bytes to one holder of a part, which has held bytes of it already. It
// reports whether they may be held, and returns the holders of connections that the caller
// of HoldPart must close. What runs does not give way.
func (memory *Memory[C]) HoldPart(part Part, held, bytes int64, now time.Duration) (bool, []*Holder[C]) {
	var evicted []*Holder[C]
	if memory.Limits.TotalBytes > 0 {
		limits := memory.Limits.Parts[part]
		free := limits.MaxBytes - memory.PartBytes[part]
		if bytes > free || limits.IsShared && held+bytes > free {
			return false, nil
		}
		for memory.exceeds(bytes) {
			victim := memory.next(workOrder, "", now)
			if victim == nil {
				return false, evicted
			}
			evicted = append(evicted, memory.evict(victim))
		}
	}
	memory.PartBytes[part] += bytes
	memory.HeldBytes += bytes
	return true, evicted
}

// ReleasePart removes bytes that HoldPart has granted.
func (memory *Memory[C]) ReleasePart(part Part, bytes int64) {
	memory.PartBytes[part] -= bytes
	if part != PartExpected {
		memory.HeldBytes -= bytes
	}
}

// Hold adds bytes to a holder that has held bytes of a part, and reports whether they may
// be held. A nil guard grants everything.
func (guard *Guard) Hold(part Part, held, bytes int64) bool {
	if guard == nil {
		return true
	}
	guard.mutex.Lock()
	isGranted, evicted := guard.memory.HoldPart(part, held, bytes, guard.now())
	guard.report(evicted, isGranted, string(part))
	guard.signalEvicted(evicted)
	guard.mutex.Unlock()
	evictAll(evicted)
	return isGranted
}

// Release removes bytes that Hold has granted.
func (guard *Guard) Release(part Part, bytes int64) {
	if guard == nil || bytes == 0 {
		return
	}
	guard.mutex.Lock()
	guard.memory.ReleasePart(part, bytes)
	guard.signal()
	guard.unlockReleased()
}

// RequestAccount is what an instance holds for one request while it runs. Its methods may
// be called concurrently, and Hold and Close on a nil account, which counts nothing.
type RequestAccount struct {
	guard *Guard

	// mutex guards the fields below.
	mutex sync.Mutex
	held  map[Part]int64
	// beganAt is when the query of the request began to run, if hasBegun is set.
	beganAt  time.Duration
	hasBegun bool
	// isClosed is set when the request has been answered.
	isClosed bool
}

// OpenRequest returns the account of a request that begins to run. Close must be called
// when it has been answered.
func (guard *Guard) OpenRequest() *RequestAccount {
	return &RequestAccount{guard: guard, held: make(map[Part]int64)}
}

// Hold adds bytes of a part until Close, and reports whether they may be held.
func (requestaccount *RequestAccount) Hold(part Part, bytes int64) bool {
	if requestaccount == nil {
		return true
	}
	requestaccount.mutex.Lock()
	held := requestaccount.held[part]
	requestaccount.mutex.Unlock()
	if !requestaccount.guard.Hold(part, held, bytes) {
		return false
	}
	requestaccount.Adopt(part, bytes)
	return true
}

// Adopt takes over bytes of a part that the guard has granted. After Close it releases them.
func (requestaccount *RequestAccount) Adopt(part Part, bytes int64) {
	requestaccount.mutex.Lock()
	defer requestaccount.mutex.Unlock()
	if requestaccount.isClosed {
		requestaccount.guard.Release(part, bytes)
		return
	}
	requestaccount.held[part] += bytes
}

// Close releases all that is held.
func (requestaccount *RequestAccount) Close() {
	if requestaccount == nil {
		return
	}
	requestaccount.mutex.Lock()
	defer requestaccount.mutex.Unlock()
	requestaccount.isClosed = true
	if requestaccount.guard != nil && len(requestaccount.held) > 0 {
		requestaccount.guard.endRequest(requestaccount)
	}
	clear(requestaccount.held)
}

// requestKey is the context key of a RequestAccount.
type requestKey struct{}

// NewContext returns a context with the account of the request that it belongs to.
func NewContext(ctx context.Context, requestaccount *RequestAccount) context.Context {
	return context.WithValue(ctx, requestKey{}, requestaccount)
}

// AccountFrom returns the account in ctx, or nil.
func AccountFrom(ctx context.Context) *RequestAccount {
	requestaccount, _ := ctx.Value(requestKey{}).(*RequestAccount)
	return requestaccount
}
