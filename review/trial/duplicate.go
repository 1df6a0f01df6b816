package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of the trial "duplicate".
const (
	// duplicateShare is the share of its answers that a replica sends twice while it is in
	// trouble, which is for troubleTime in every troubleInterval.
	duplicateShare  = 0.04
	troubleTime     = 5 * time.Second
	troubleInterval = 5250 * time.Millisecond
	duplicateTime   = 96 * time.Second
	// duplicateRate is the number of requests a second. The two replicas can run 500.
	duplicateRate = 400.0
	duplicateWork = 8 * time.Millisecond
	callerCount   = 60
)

// runDuplicate plays replicas that are full now and then. In trouble they send a second,
// late copy of a few of their answers, also of those that state that they are full.
func runDuplicate(trial *trial) (bool, error) {
	trial.store.put("op/config", configuration(3, "unsafe", registration, "ledger"))
	for _, config := range []replicaConfig{{id: "i-ledger-1", zone: "a"}, {id: "i-ledger-2", zone: "b"}} {
		config.service, config.slots, config.queue, config.work = "ledger", 2, 2, duplicateWork
		replica, err := startReplica(config, trial.prefix+".200", trial.record)
		if err != nil {
			return false, err
		}
		if trial.hasTrouble && config.id == "i-ledger-1" {
			start := time.Now()
			replica.repeats = func() bool {
				return time.Since(start)%troubleInterval < troubleTime && rand.Float64() < duplicateShare
			}
		}
		replica.register(trial.store, "ready")
	}
	fleet, err := trial.startFleet([]string{"a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c", "c"})
	if err != nil {
		return false, err
	}
	defer fleet.stop()
	end := time.Now().Add(duplicateTime)
	var group sync.WaitGroup
	for number := range callerCount {
		caller := &caller{fleet: fleet, zone: string(rune('a' + number%3)), record: trial.record, keepFactor: 1}
		group.Go(func() {
			defer caller.close()
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() * callerCount / duplicateRate * float64(time.Second)))
				request := registration
				request.id = newID()
				caller.send(request)
			}
		})
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	return judgeCommands(trial.record), nil
}

// judgeCommands reports whether a request ran more than once, or ran although its caller
// was told that it had not and never would.
func judgeCommands(record *record) bool {
	record.mutex.Lock()
	repeated, denied, statuses := 0, 0, make(map[int]int)
	for id, replicas := range record.runs {
		if len(replicas) > 1 {
			repeated++
			record.write("TWICE: %s ran at %v", id, replicas)
		}
		if status := record.answers[id]; status == 503 || status == 429 || status == 408 || status == 421 {
			denied++
			record.write("REFUSED: %s was answered %d and ran at %v", id, status, replicas)
		}
	}
	for _, status := range record.answers {
		statuses[status]++
	}
	count := len(record.runs)
	record.mutex.Unlock()
	record.verdict("%d requests ran, %d of them more than once; %d were refused although they ran; answers by status: %v", count, repeated, denied, statuses)
	return repeated > 0 || denied > 0
}
