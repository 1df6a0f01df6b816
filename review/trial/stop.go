package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Figures of the trial "stop".
const (
	graceTime = 6 * time.Second
	// lossSlack is how long after its last byte a request that was not passed on may be
	// cut.
	lossSlack = 200 * time.Millisecond
	// secondStopDelay is the time between the two stop signals of one process.
	secondStopDelay = time.Second
	stopRate        = 120.0
	stopCallerCount = 72
)

// outcome is one request and how it ended, as its caller saw it.
type outcome struct {
	id, address     string
	sentAt, endedAt time.Time
	hasSent         bool
	status          int
}

// stopTrial is the state of the trial "stop".
type stopTrial struct {
	*trial
	fleet *fleet

	mutex    sync.Mutex
	outcomes []outcome
	// stops holds the time of the first stop signal by the address for callers.
	stops map[string]time.Time
}

// runStop stops the processes one after the other as the platform does, and in trouble
// sends the stop signal a second time while the process is still stopping.
func runStop(trial *trial) (bool, error) {
	stoptrial := &stopTrial{trial: trial, stops: make(map[string]time.Time)}
	trial.store.put("op/config", configuration(3, "safe", lookup, "ledger"))
	for _, config := range []replicaConfig{{id: "i-ledger-1", zone: "a"}, {id: "i-ledger-2", zone: "b"}, {id: "i-ledger-3", zone: "a"}, {id: "i-ledger-4", zone: "b"}} {
		config.service, config.slots, config.queue, config.work = "ledger", 24, 12, 500*time.Millisecond
		replica, err := startReplica(config, trial.prefix+".200", trial.record)
		if err != nil {
			return false, err
		}
		replica.register(trial.store, "ready")
	}
	var err error
	stoptrial.fleet, err = trial.startFleet([]string{"a", "a", "b", "b"})
	if err != nil {
		return false, err
	}
	defer stoptrial.fleet.stop()
	done := make(chan struct{})
	var group sync.WaitGroup
	for number := range stopCallerCount {
		caller := &caller{fleet: stoptrial.fleet, zone: string(rune('a' + number%2)), record: trial.record, keepFactor: 1}
		if number%3 == 0 {
			caller.keepFactor = 3
		}
		group.Go(func() { stoptrial.call(caller, done) })
	}
	time.Sleep(3 * time.Second)
	for _, machine := range stoptrial.fleet.machines {
		if err := stoptrial.restart(machine); err != nil {
			close(done)
			group.Wait()
			return false, err
		}
	}
	close(done)
	group.Wait()
	return stoptrial.judge(), nil
}

// call sends requests until done is closed.
func (stoptrial *stopTrial) call(caller *caller, done <-chan struct{}) {
	defer caller.close()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * stopCallerCount / stopRate * float64(time.Second))):
		}
		request := lookup
		request.id = newID()
		status, _, _, hasSent := caller.send(request)
		stoptrial.mutex.Lock()
		stoptrial.outcomes = append(stoptrial.outcomes, outcome{id: request.id, address: caller.address, sentAt: caller.sentAt, endedAt: time.Now(), hasSent: hasSent, status: status})
		stoptrial.mutex.Unlock()
	}
}

// restart stops a process and starts it again, as the platform does.
func (stoptrial *stopTrial) restart(machine *machine) error {
	stoptrial.mutex.Lock()
	stoptrial.stops[machine.frontAddress()] = time.Now()
	stoptrial.mutex.Unlock()
	machine.signal(syscall.SIGTERM)
	grace := time.After(graceTime)
	if stoptrial.hasTrouble {
		time.Sleep(secondStopDelay)
		machine.signal(syscall.SIGTERM)
	}
	select {
	case <-machine.hasEnded():
	case <-grace:
		machine.signal(syscall.SIGKILL)
		<-machine.hasEnded()
	}
	time.Sleep(500 * time.Millisecond)
	if err := machine.start(); err != nil {
		return err
	}
	if err := machine.awaitReady(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	return nil
}

// judge reports whether a request was lost around a planned stop: the process had read
// it, and its connection ended without an answer after it had been passed on to a
// replica, or more than lossSlack after its last byte was sent. A replica was never at
// work on one of these in the last sixth of the grace.
func (stoptrial *stopTrial) judge() bool {
	record := stoptrial.record
	record.mutex.Lock()
	lost, late := 0, 0
	for _, outcome := range stoptrial.outcomes {
		stoppedAt, isStopped := stoptrial.stops[outcome.address]
		isAround := isStopped && outcome.endedAt.After(stoppedAt) && outcome.sentAt.Before(stoppedAt.Add(graceTime+time.Second))
		if !isAround || !outcome.hasSent || outcome.status != 0 || outcome.endedAt.Sub(outcome.sentAt) >= lookup.deadline {
			continue
		}
		switch took := outcome.endedAt.Sub(outcome.sentAt); {
		case len(record.runs[outcome.id]) > 0:
			lost++
			record.write("LOST: %s was passed on to %v and cut after %v", outcome.id, record.runs[outcome.id], took)
		case took > lossSlack:
			late++
			record.write("LOST: %s was cut after %v", outcome.id, took)
		}
	}
	statuses := make(map[int]int)
	for _, outcome := range stoptrial.outcomes {
		statuses[outcome.status]++
	}
	record.mutex.Unlock()
	record.verdict("%d requests; %d were passed on and cut in a planned stop, %d cut later than %v; answers by status: %v", len(stoptrial.outcomes), lost, late, lossSlack, statuses)
	return lost > 0 || late > 0
}
