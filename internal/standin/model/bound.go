package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// boundStep is the resolution of the bound in time.
const boundStep = time.Millisecond

// OfflineBound returns an upper bound of Result.ValueRatio for the same seconds: what
// a scheduler could earn that knows all arrivals, pauses and noise in advance. It
// depends on the seed alone.
//
// The bound relaxes what makes the problem hard. Shards are independent, so that a
// query may lack one part without lacking another, and earns in proportion to its
// parts; the slots of a shard are one server, which divides its speed at will and takes
// no time to reach; and queries that were sent before the first second take nothing.
// Work is the mean of its kind: what could be earned by choosing the parts that happen
// to be short is left out, the one respect in which the bound is not an upper one.
func (scenario Scenario) OfflineBound(startSecond, endSecond int) float64 {
	fleet := newFleet(scenario)
	arrivals := scenario.arrivals(fleet.random, time.Duration(startSecond)*time.Second, time.Duration(endSecond)*time.Second)
	lateShare, possible, earned := 0.0, 0.0, 0.0
	for _, kind := range scenario.Kinds {
		lateShare = max(lateShare, kind.LateValueShare)
	}
	for _, arrival := range arrivals {
		possible += arrival.kind.Value
	}
	for _, shard := range fleet.shards {
		var replicas []*replica
		for _, listed := range shard.Replicas {
			replicas = append(replicas, fleet.replicas[listed.Instance.Name])
		}
		earned += valueInTime(arrivals, scenario.speeds(replicas))
	}
	inTime := earned / float64(scenario.ShardCount) / possible
	return lateShare + (1-lateShare)*inTime
}

// arrival is one query of a scenario. Its times are measured from the start.
type arrival struct {
	kind Kind
	at   time.Duration
	// due is when its target latency is over.
	due time.Duration
}

// arrivals returns the queries that a simulation whose random draws have come as far
// sends from start until end.
func (scenario Scenario) arrivals(random *rand.Rand, start, end time.Duration) []arrival {
	var arrivals []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / scenario.rateAt(at) * float64(time.Second))
		if at >= min(scenario.Duration, end) {
			return arrivals
		}
		random.IntN(len(scenario.FailureDomains))
		kind := scenario.drawKind(random)
		if at >= start {
			arrivals = append(arrivals, arrival{kind: kind, at: at, due: at + kind.TargetLatency})
		}
	}
}

// speeds returns the work that the slots of one shard's replicas do together in each
// boundStep.
func (scenario Scenario) speeds(replicas []*replica) []float64 {
	config := scenario.ReplicaConfig
	steps := make([]float64, (scenario.Duration+2*time.Second)/boundStep)
	for _, replica := range replicas {
		for index := range steps {
			at := time.Duration(index) * boundStep
			behavior := replica.behaviorAt(at)
			isPaused := config.PauseInterval > 0 && (at+replica.pauseOffset)%config.PauseInterval < config.PauseDuration
			if isPaused || behavior.IsDown || behavior.IsUnresponsive {
				continue
			}
			slowdown := replica.workFactor * replica.slowdownAt(at) * max(behavior.SlowdownFactor, 1)
			steps[index] += float64(config.Slots) * float64(boundStep) / slowdown
		}
	}
	return steps
}

// valueInTime returns the greatest value of the parts, or shares of parts, that a
// server of the given speeds can do in time, in units of the value of whole queries.
// Work that is worth more is never given up for other work, since the sets of work
// that can be done in time form a matroid: each kind adds its worth for the work that
// can be done with it beyond what can be done without it.
func valueInTime(arrivals []arrival, speeds []float64) float64 {
	density := func(kind Kind) float64 { return kind.Value / float64(kind.MeanWork) }
	var kinds []Kind
	for _, arrival := range arrivals {
		if !slices.Contains(kinds, arrival.kind) {
			kinds = append(kinds, arrival.kind)
		}
	}
	slices.SortFunc(kinds, func(a, b Kind) int { return int(math.Copysign(1, density(b)-density(a))) })
	value, done := 0.0, 0.0
	for count := range kinds {
		total := workInTime(arrivals, kinds[:count+1], speeds)
		value += (total - done) * density(kinds[count])
		done = total
	}
	return value
}

// workInTime returns the most work on queries of the given kinds that a server of the
// given speeds can do in time. Serving the work that is due first does the most.
func workInTime(arrivals []arrival, kinds []Kind, speeds []float64) float64 {
	type job struct {
		due  time.Duration
		left float64
	}
	var waiting []job
	next, done := 0, 0.0
	for index, speed := range speeds {
		now := time.Duration(index) * boundStep
		for ; next < len(arrivals) && arrivals[next].at <= now; next++ {
			arrival := arrivals[next]
			if !slices.Contains(kinds, arrival.kind) {
				continue
			}
			added := job{due: arrival.due, left: float64(arrival.kind.MeanWork)}
			position, _ := slices.BinarySearchFunc(waiting, added, func(a, b job) int { return int(a.due - b.due) })
			waiting = slices.Insert(waiting, position, added)
		}
		for len(waiting) > 0 && waiting[0].due <= now {
			waiting = waiting[1:]
		}
		for speed > 0 && len(waiting) > 0 {
			served := min(speed, waiting[0].left)
			waiting[0].left -= served
			speed -= served
			done += served
			if waiting[0].left <= 0 {
				waiting = waiting[1:]
			}
		}
	}
	return done
}
