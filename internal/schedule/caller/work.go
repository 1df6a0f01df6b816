package caller

import (
	"context"
	"slices"
	"time"
)

// Work is what a query of shards is expected to hold while it runs.
type Work struct {
	// FanoutBytes is the memory of PartFanout.
	FanoutBytes int64
	// ReplyBytes is what its answers of replicas are expected to take of PartReplies.
	ReplyBytes int64
}

// Work is small if it needs at most one in smallWorkDivisor of PartFanout. One in
// smallReserveDivisor of PartFanout is left for small work, whose answers are not expected
// to take anything, so that a crowd of queries of many shards does not delay requests to one
// of them.
const (
	smallWorkDivisor    = 256
	smallReserveDivisor = 8
)

// IsSmallWork reports whether work is small.
func (memory *Memory[C]) IsSmallWork(work Work) bool {
	return work.FanoutBytes <= memory.Limits.Parts[PartFanout].MaxBytes/smallWorkDivisor
}

// HoldWork adds the work of one query, all of it or nothing. It reports whether the query
// may run, and returns the holders of connections that the caller of HoldWork must close.
// While no other query is expected to take any, its answers may take any memory.
func (memory *Memory[C]) HoldWork(work Work, now time.Duration) (bool, []*Holder[C]) {
	isSmall := memory.IsSmallWork(work)
	if !isSmall && !(memory.hasLargeRoom(PartFanout, work.FanoutBytes) && memory.hasLargeRoom(PartExpected, work.ReplyBytes)) {
		return false, nil
	}
	isGranted, evicted := memory.HoldPart(PartFanout, 0, work.FanoutBytes, now)
	if isGranted {
		memory.PartBytes[PartExpected] += work.ReplyBytes
	}
	return isGranted, evicted
}

// hasLargeRoom reports whether a part has room for bytes of work that is not small.
func (memory *Memory[C]) hasLargeRoom(part Part, bytes int64) bool {
	limit := memory.Limits.Parts[part].MaxBytes
	limit -= limit / smallReserveDivisor
	runningBytes := memory.PartBytes[part]
	return memory.Limits.TotalBytes == 0 || runningBytes == 0 || runningBytes+bytes <= limit
}

// ExpectedWait returns how long it takes until running queries have made room for those
// that wait for waitingBytes of PartFanout, if a query takes workTime. It reports false if no
// queries run that could make room.
func (memory *Memory[C]) ExpectedWait(waitingBytes int64, workTime time.Duration) (time.Duration, bool) {
	runningBytes := memory.PartBytes[PartFanout]
	if runningBytes == 0 {
		return 0, false
	}
	return time.Duration(float64(workTime) * float64(waitingBytes) / float64(runningBytes)), true
}

// queuedWork is the work of a query from its arrival until it is held or refused.
type queuedWork struct {
	fanoutBytes int64
	// shardCount is the number of shards whose replicas are asked from here.
	shardCount int
	// held is the work once it is held. What answers are expected to take is estimated
	// then.
	held Work
	// granted is closed when the work is held after a wait. It is nil for work that does
	// not wait.
	granted chan struct{}
}

// begin holds the work of a query. If there is no room, it waits for running queries to
// end, in the order of arrival, for at most wait. Small work for which there is room passes
// what waits. Work does not wait if that is known not to be enough. begin reports whether
// the query may run.
func (guard *Guard) begin(ctx context.Context, work *queuedWork, wait time.Duration) bool {
	isGranted, isQueued := guard.beginOrQueue(work, wait)
	if !isQueued {
		return isGranted
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-work.granted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return guard.endWait(work)
}

// beginOrQueue holds work if there is room for it, or else adds it to those that wait if it
// may wait.
func (guard *Guard) beginOrQueue(work *queuedWork, wait time.Duration) (isGranted, isQueued bool) {
	guard.mutex.Lock()
	var evicted []*Holder[Evictable]
	if len(guard.waiting) == 0 || guard.memory.IsSmallWork(Work{FanoutBytes: work.fanoutBytes}) {
		isGranted, evicted = guard.holdWork(work)
	}
	if !isGranted {
		isQueued = guard.queue(work, wait)
	}
	guard.mutex.Unlock()
	evictAll(evicted)
	return isGranted, isQueued
}

// queue adds work to what waits, unless the wait is expected to be too long. The caller
// holds the mutex.
func (guard *Guard) queue(work *queuedWork, wait time.Duration) bool {
	expectedWait, mayEnd := guard.memory.ExpectedWait(work.fanoutBytes+guard.waitingBytes(), guard.workTime)
	if !mayEnd || expectedWait >= wait {
		guard.report(nil, false, string(PartFanout))
		return false
	}
	work.granted = make(chan struct{})
	guard.waiting = append(guard.waiting, work)
	guard.metrics.Add(guard.name+".workDelayed", 1)
	return true
}

// endWait takes work out of the queue, and reports whether it was granted before.
func (guard *Guard) endWait(work *queuedWork) bool {
	guard.mutex.Lock()
	index := slices.Index(guard.waiting, work)
	if index < 0 {
		guard.mutex.Unlock()
		return true
	}
	guard.waiting = slices.Delete(guard.waiting, index, index+1)
	guard.report(nil, false, string(PartFanout))
	guard.unlockReleased()
	return false
}

// unlockReleased lets the queries run that have waited longest, as far as there is room
// after a release, and unlocks the mutex, which the caller holds.
func (guard *Guard) unlockReleased() {
	evicted := guard.grantWaiting()
	guard.mutex.Unlock()
	evictAll(evicted)
}

// holdWork holds work, and returns the connections that the caller must close once it has
// released the mutex, which it holds.
func (guard *Guard) holdWork(work *queuedWork) (bool, []*Holder[Evictable]) {
	work.held = Work{FanoutBytes: work.fanoutBytes}
	if !guard.memory.IsSmallWork(work.held) {
		work.held.ReplyBytes = int64(work.shardCount) * guard.replySize.Get()
	}
	isGranted, evicted := guard.memory.HoldWork(work.held, guard.now())
	guard.report(evicted, true, "")
	guard.signalEvicted(evicted)
	return isGranted, evicted
}

// grantWaiting lets the queries run that have waited longest, as far as there is room. It
// returns the connections that the caller must close once it has released the mutex, which
// it holds.
func (guard *Guard) grantWaiting() []*Holder[Evictable] {
	var evicted []*Holder[Evictable]
	for len(guard.waiting) > 0 {
		isGranted, victims := guard.holdWork(guard.waiting[0])
		evicted = append(evicted, victims...)
		if !isGranted {
			break
		}
		close(guard.waiting[0].granted)
		guard.waiting = slices.Delete(guard.waiting, 0, 1)
	}
	return evicted
}

// waitingBytes returns the memory of PartFanout for which queries wait.
func (guard *Guard) waitingBytes() int64 {
	var bytes int64
	for _, waiting := range guard.waiting {
		bytes += waiting.fanoutBytes
	}
	return bytes
}

// endRequest releases all that a request holds, and updates the estimate of how long a query
// runs if it was one.
func (guard *Guard) endRequest(requestaccount *RequestAccount) {
	guard.mutex.Lock()
	if requestaccount.hasBegun {
		guard.workTime += (guard.now() - requestaccount.beganAt - guard.workTime) / workTimeWeight
	}
	for part, bytes := range requestaccount.held {
		guard.memory.ReleasePart(part, bytes)
	}
	guard.signal()
	guard.unlockReleased()
}

// initialReplyBytes is the estimate of Guard.replySize before the first answer.
const initialReplyBytes = 16 << 10

// workTimeWeight is the inverse weight of a new query in the estimate of how long one runs.
const workTimeWeight = 16

// Begin holds the work of a query until Close: fanoutBytes, and what the answers of the
// replicas of shardCount shards are expected to take. If there is no room, it waits for at
// most wait. It reports whether the query may run.
func (requestaccount *RequestAccount) Begin(ctx context.Context, fanoutBytes int64, shardCount int, wait time.Duration) bool {
	if requestaccount == nil || requestaccount.guard == nil {
		return true
	}
	work := &queuedWork{fanoutBytes: fanoutBytes, shardCount: shardCount}
	if !requestaccount.guard.begin(ctx, work, wait) {
		return false
	}
	requestaccount.Adopt(PartFanout, work.held.FanoutBytes)
	requestaccount.Adopt(PartExpected, work.held.ReplyBytes)
	requestaccount.mutex.Lock()
	defer requestaccount.mutex.Unlock()
	requestaccount.beganAt, requestaccount.hasBegun = requestaccount.guard.now(), true
	return true
}
