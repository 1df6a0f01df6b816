package view

import (
	"math"
	"slices"
	"sync/atomic"
	"time"
)

// NeverAvailable is the wait for a replica where none will take a request.
const NeverAvailable = time.Duration(math.MaxInt64)

// Backoff records that the replica asked this instance, at the given time, to send
// it nothing for duration. A shorter wait than the one in force changes nothing.
func (replicastats *ReplicaStats) Backoff(now, duration time.Duration) {
	raise(&replicastats.BackoffUntil, int64(now+min(duration, NeverAvailable-now)))
}

// raise sets value to minimum if it is less.
func raise(value *atomic.Int64, minimum int64) {
	for {
		current := value.Load()
		if minimum <= current || value.CompareAndSwap(current, minimum) {
			return
		}
	}
}

// BackoffLeft returns for how much longer the replica wants nothing from this
// instance; 0 if it takes requests.
func (replicastats *ReplicaStats) BackoffLeft(now time.Duration) time.Duration {
	return max(time.Duration(replicastats.BackoffUntil.Load())-now, 0)
}

// EvacuationWait is the time after which a caller is told to try again if a replica is
// not used because its failure domain is evacuated. When the evacuation ends is not
// known.
const EvacuationWait = time.Second

// Wait returns how long it takes until the replica may be sent a request by this
// instance: 0 if it may now, and NeverAvailable if it is leaving.
func (replicastats *ReplicaStats) Wait(now time.Duration) time.Duration {
	switch {
	case replicastats.IsLeaving.Load():
		return NeverAvailable
	case replicastats.IsEvacuated.Load():
		return max(EvacuationWait, replicastats.BackoffLeft(now))
	}
	return max(replicastats.BackoffLeft(now), replicastats.ColdWait(now))
}

// UsableReplicas returns the replicas that may be sent a request by this instance and
// for which isTried returns false. Those whose pace is exhausted are returned only if
// there is no other, and those that are ejected because of failures only if there is
// none of these either.
func UsableReplicas(replicas []*Replica, isTried func(name string) bool) []*Replica {
	var healthy, paced, ejected []*Replica
	now := MonotonicNow()
	for _, replica := range replicas {
		switch {
		case isTried(replica.Instance.Name) || replica.Stats.Wait(now) > 0:
		case replica.Stats.IsEjected(now):
			ejected = append(ejected, replica)
		case !replica.Stats.AllowsPace(now):
			paced = append(paced, replica)
		default:
			healthy = append(healthy, replica)
		}
	}
	switch {
	case len(healthy) > 0:
		for _, replica := range paced {
			replica.Stats.PacedSkips.Add(1)
		}
		return healthy
	case len(paced) > 0:
		return paced
	}
	return ejected
}

// AllowsHedge reports whether the pace of a replica, one of a shard's replicas, permits
// a hedge. If the paces of all of them are exhausted, that of none counts.
func AllowsHedge(replicas []*Replica, replica *Replica) bool {
	now := MonotonicNow()
	if replica.Stats.AllowsPace(now) {
		return true
	}
	return !slices.ContainsFunc(replicas, func(other *Replica) bool { return other.Stats.AllowsPace(now) })
}

// ReplicaWait returns how long it takes until one of the replicas takes a request:
// 0 if one does now, and NeverAvailable if all are leaving.
func ReplicaWait(replicas []*Replica, now time.Duration) time.Duration {
	wait := NeverAvailable
	for _, replica := range replicas {
		wait = min(wait, replica.Stats.Wait(now))
	}
	return wait
}

// CoverageWait returns how long it takes until so many shards have a replica that
// takes requests that the share minCoverage of them can be reached, and at least
// one. It returns 0 if waiting does not change whether it can be reached.
func CoverageWait(shards []Shard, minCoverage float64, now time.Duration) time.Duration {
	waits := make([]time.Duration, len(shards))
	for index, shard := range shards {
		waits[index] = ReplicaWait(shard.Replicas, now)
	}
	return NthWait(waits, RequiredCount(len(shards), minCoverage))
}

// IsCoverageEvacuated reports whether the share minCoverage of the shards cannot be
// reached because replicas are in evacuated failure domains.
func IsCoverageEvacuated(shards []Shard, minCoverage float64) bool {
	usableCount, evacuatedCount := 0, 0
	for _, shard := range shards {
		isUsable, isEvacuated := false, false
		for _, replica := range shard.Replicas {
			switch {
			case replica.Stats.IsLeaving.Load():
			case replica.Stats.IsEvacuated.Load():
				isEvacuated = true
			default:
				isUsable = true
			}
		}
		switch {
		case isUsable:
			usableCount++
		case isEvacuated:
			evacuatedCount++
		}
	}
	return evacuatedCount > 0 && usableCount < RequiredCount(len(shards), minCoverage)
}

// NthWait returns the wait after which count of the waits are over. It returns 0 if
// there are fewer, or if one of these never ends.
func NthWait(waits []time.Duration, count int) time.Duration {
	if count <= 0 || count > len(waits) {
		return 0
	}
	slices.Sort(waits)
	if wait := waits[count-1]; wait != NeverAvailable {
		return wait
	}
	return 0
}

// RequiredCount returns how many of count shards make up the share minCoverage, and
// at least 1.
func RequiredCount(count int, minCoverage float64) int {
	required := int(minCoverage * float64(count))
	if float64(required) < minCoverage*float64(count) {
		required++
	}
	return max(required, 1)
}
