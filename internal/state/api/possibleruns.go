package api

import (
	"sync/atomic"
	"time"
)

// PossibleRuns counts the requests of one query that may have run: those that may
// have reached a replica or a peer, less those that are proven not to have run.
type PossibleRuns struct {
	Count atomic.Int64
	// IsClosed is set once the query is answered. From then on no request may be
	// sent, so that an answer that says "not run" stays true.
	IsClosed atomic.Bool
}

// Close forbids further requests and reports whether none may have run.
func (possibleruns *PossibleRuns) Close() bool {
	possibleruns.IsClosed.Store(true)
	return possibleruns.Count.Load() == 0
}

// AttemptRun is the part of one request to a replica or a peer in PossibleRuns. Only the
// goroutine of the request uses it. The methods of a nil AttemptRun count nothing.
type AttemptRun struct {
	Query *PossibleRuns
	// IsCounted is set while the attempt may have run.
	IsCounted bool
	// QueuedFor is how long the attempt waited for a connection, and QueuedBehind the
	// number of requests that waited already when it began to.
	QueuedFor    time.Duration
	QueuedBehind int
}

// Queue records that the attempt waited. It does nothing on a nil AttemptRun.
func (attemptrun *AttemptRun) Queue(behind int, duration time.Duration) {
	if attemptrun != nil {
		attemptrun.QueuedBehind, attemptrun.QueuedFor = behind, duration
	}
}

// Add counts the attempt. It must be called before the first byte is sent, and reports
// whether the attempt may be sent.
func (attemptrun *AttemptRun) Add() bool {
	if attemptrun == nil {
		return true
	}
	if !attemptrun.IsCounted {
		attemptrun.IsCounted = true
		attemptrun.Query.Count.Add(1)
	}
	if attemptrun.Query.IsClosed.Load() {
		attemptrun.Remove()
		return false
	}
	return true
}

// Remove ends the count of an attempt that is proven not to have run, or that is not
// sent yet.
func (attemptrun *AttemptRun) Remove() {
	if attemptrun != nil && attemptrun.IsCounted {
		attemptrun.IsCounted = false
		attemptrun.Query.Count.Add(-1)
	}
}
