// Command trial runs the scripts of the review: it starts the system's processes with
// the command of the deploy file, plays their callers, replicas and platform, and judges
// what these have seen. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// trial could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitError  = 2
)

// trial is what a script needs. Without trouble, it does the same without the
// disruption.
type trial struct {
	record     *record
	store      *store
	prefix     string
	hasTrouble bool
	// fleet is set once the trial has one.
	fleet atomic.Pointer[fleet]
}

// maxTime bounds the time of a trial.
const maxTime = 115 * time.Second

// awaitInterrupt ends the trial, with all processes that it started, when it is
// interrupted or takes too long.
func (trial *trial) awaitInterrupt() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	trial.record.verdict("the trial was interrupted or took longer than %v", maxTime)
	if fleet := trial.fleet.Load(); fleet != nil {
		fleet.stop()
	}
	trial.record.close()
	os.Exit(exitError)
}

// startFleet starts one machine in each of the given zones. The caller stops the fleet.
func (trial *trial) startFleet(zones []string) (*fleet, error) {
	fleet, err := newFleet(trial.prefix, trial.store.address, zones, trial.record)
	if err != nil {
		return nil, err
	}
	trial.fleet.Store(fleet)
	if err := fleet.start(); err != nil {
		fleet.stop()
		return nil, err
	}
	time.Sleep(settleTime)
	return fleet, nil
}

// settleTime is how long the fleet runs before the load starts.
const settleTime = 2 * time.Second

// trials holds the scripts by name. Each reports whether the rule was broken.
var trials = map[string]func(*trial) (bool, error){
	"duplicate": runDuplicate,
	"stop":      runStop,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || trials[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial NAME RECORD")
		return exitError
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	defer record.close()
	prefix := fmt.Sprintf("127.%d.%d", 20+rand.N(200), 1+rand.N(250))
	store, err := startStore(prefix + ".250:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	trial := &trial{record: record, store: store, prefix: prefix, hasTrouble: os.Getenv("TROUBLE") != "0"}
	go trial.awaitInterrupt()
	isBroken, err := trials[os.Args[1]](trial)
	switch {
	case err != nil:
		record.verdict("the trial could not run: %v", err)
		return exitError
	case isBroken:
		record.verdict("the rule was broken")
		return exitBroken
	}
	record.verdict("the rule held")
	return exitHeld
}
