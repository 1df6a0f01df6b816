package view

import (
	"math"
	"slices"
	"time"
)

// NeverAvailable is the wait for a replica where none will take a request.
const NeverAvailable = time.Duration(math.MaxInt64)

// Backoff records that the replica asked this instance, at the given time, to send
// it nothing for duration. A shorter wait than the one in force changes nothing.
func (replicastats *ReplicaStats) Backoff(now, duration time.Duration) {
	until := int64(now + min(duration, NeverAvailable-now))
	for {
		current := replicastats.BackoffUntil.Load()
		if until <= current || replicastats.BackoffUntil.CompareAndSwap(current, until) {
			return
		}
	}
}

// BackoffLeft returns for how much longer the replica wants nothing from this
// instance; 0 if it takes requests.
func (replicastats *ReplicaStats) BackoffLeft(now time.Duration) time.Duration {
	return max(time.Duration(replicastats.BackoffUntil.Load())-now, 0)
}

// UsableReplicas returns the replicas that are not leaving, have not asked this
// instance to wait and for which isTried returns false. Replicas that are ejected
// because of failures are returned only if there is no other.
func UsableReplicas(replicas []*Replica, isTried func(name string) bool) []*Replica {
	var healthy, ejected []*Replica
	now := MonotonicNow()
	for _, replica := range replicas {
		switch {
		case replica.Stats.IsLeaving.Load() || replica.Stats.BackoffLeft(now) > 0 || isTried(replica.Instance.Name):
		case replica.Stats.IsEjected(now):
			ejected = append(ejected, replica)
		default:
			healthy = append(healthy, replica)
		}
	}
	if len(healthy) == 0 {
		return ejected
	}
	return healthy
}

// ReplicaWait returns how long it takes until one of the replicas takes a request:
// 0 if one does now, and NeverAvailable if all are leaving.
func ReplicaWait(replicas []*Replica, now time.Duration) time.Duration {
	wait := NeverAvailable
	for _, replica := range replicas {
		if !replica.Stats.IsLeaving.Load() {
			wait = min(wait, replica.Stats.BackoffLeft(now))
		}
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
