package main

import (
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Settings of the users' first site, Batinah.
const (
	// batinahRecovery is recovery_s.
	batinahRecovery = 12 * time.Second
	// batinahConfigApply is config_apply_ms.
	batinahConfigApply = 3 * time.Second
	// valueBytes is value_bytes.
	valueBytes = 1_048_576
)

// recoverEntries, configEntries and memoryEntries are how many odd entries of valueBytes another writer
// leaves among those of the replicas.
const (
	recoverEntries = 24
	configEntries  = 24
	memoryEntries  = 30
)

// oddGap is the time between two odd entries.
const oddGap = 250 * time.Millisecond

// oddFleet is the deployment of the cases about odd entries: 8 machines in 3 zones, and one
// service of 15 replicas.
type oddFleet struct {
	*fleet
	replicas []*replica
}

func newOddFleet(folder string, record *record) (*oddFleet, error) {
	zones := []string{"muscat-a", "sohar-b", "nizwa-c"}
	fleet, err := newFleet(folder, record, batinah, zones, []int{3, 3, 2})
	if err != nil {
		return nil, err
	}
	oddfleet := &oddFleet{fleet: fleet}
	if oddfleet.replicas, err = startSlowReplicas(fleet, zones); err != nil {
		return nil, err
	}
	config := routesConfig(0)
	config["routes"] = config["routes"].([]map[string]any)[:1]
	fleet.store.put("op/config", config)
	return oddfleet, nil
}

// writeOddEntries leaves entries of bytes that cannot be read among those of the replicas.
func (oddfleet *oddFleet) writeOddEntries(count int) {
	for number := range count {
		value := make([]byte, valueBytes)
		_, _ = crand.Read(value)
		oddfleet.store.putBytes(fmt.Sprintf("servers/odd-%02d", number), value)
		time.Sleep(oddGap)
	}
	oddfleet.record.log("another writer has left %d entries of %d bytes that cannot be read", count, valueBytes)
}

// memoryOfAll returns the resident memory of all processes, in MB.
func (oddfleet *oddFleet) memoryOfAll() []int64 {
	var megabytes []int64
	for _, machine := range oddfleet.machines {
		megabytes = append(megabytes, memoryBytes(machine.pid())>>20)
	}
	return megabytes
}

// recoverCase kills all processes while odd entries are in the store, and measures the share
// of the requests that are served before, and later than recovery_s after the machines are
// back.
func recoverCase(folder string, record *record, isTrouble bool) (bool, error) {
	fleet, err := newOddFleet(folder, record)
	if err != nil {
		return false, err
	}
	defer fleet.stopAll()
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	record.log("%d machines of %d MB are ready", len(fleet.machines), batinah.memoryMB)
	var isDone atomic.Bool
	var work sync.WaitGroup
	// phase counts the exchanges by their outcome until it is replaced.
	type phase struct {
		mutex    sync.Mutex
		outcomes map[string]int
	}
	var current atomic.Pointer[phase]
	current.Store(&phase{outcomes: make(map[string]int)})
	for range 16 {
		work.Go(func() {
			for !isDone.Load() {
				phase := current.Load()
				// A consumer picks one of the addresses at random for each connection.
				consumer := newConsumer(fleet.machines[rand.N(len(fleet.machines))])
				exchange := consumer.get(routesHost, "/pura132/x", 6*time.Second)
				consumer.close()
				outcome := "no answer"
				if exchange.err == nil {
					outcome = fmt.Sprint(exchange.status)
				}
				phase.mutex.Lock()
				phase.outcomes[outcome]++
				phase.mutex.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	measure := func(name string, length time.Duration) float64 {
		measured := &phase{outcomes: make(map[string]int)}
		current.Store(measured)
		time.Sleep(length)
		current.Store(&phase{outcomes: make(map[string]int)})
		measured.mutex.Lock()
		defer measured.mutex.Unlock()
		total := 0
		for _, count := range measured.outcomes {
			total += count
		}
		runs := int64(0)
		for _, replica := range fleet.replicas {
			runs += replica.runs.Load()
		}
		record.log("%s: %d requests, by answer: %v; resident memory %v MB; %d runs at the replicas so far", name, total, measured.outcomes, fleet.memoryOfAll(), runs)
		return float64(measured.outcomes["200"]) / float64(max(total, 1))
	}
	if isTrouble {
		fleet.writeOddEntries(recoverEntries)
	}
	time.Sleep(5 * time.Second)
	before := measure("before the final fault", 5*time.Second)
	record.log("all processes are killed")
	for _, machine := range fleet.machines {
		machine.kill()
	}
	time.Sleep(time.Second)
	for _, machine := range fleet.machines {
		if err := machine.start(); err != nil {
			return false, err
		}
	}
	record.log("the machines are back")
	time.Sleep(batinahRecovery)
	after := measure("later than recovery_s after the machines are back", 15*time.Second)
	isDone.Store(true)
	work.Wait()
	record.log("served before %.3f, after %.3f", before, after)
	if before < 0.25 {
		return false, fmt.Errorf("less than a quarter was served before the final fault")
	}
	return after < 0.25, nil
}

// memoryCase kills and restarts one process while odd entries are in the store, and counts
// the requests that the other machines lose. A process that exceeds the memory of its
// machine is killed and started again, as the platform does.
func memoryCase(folder string, record *record, isTrouble bool) (bool, error) {
	fleet, err := newOddFleet(folder, record)
	if err != nil {
		return false, err
	}
	defer fleet.stopAll()
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	record.log("%d machines of %d MB are ready", len(fleet.machines), batinah.memoryMB)
	var isDone atomic.Bool
	var work sync.WaitGroup
	var targets []*routesTarget
	for _, machine := range fleet.machines {
		target := &routesTarget{machine: machine, replicas: fleet.replicas, record: record}
		targets = append(targets, target)
		for range 16 {
			work.Go(func() {
				consumer := newConsumer(machine)
				for !isDone.Load() {
					target.observe(consumer.get(routesHost, "/pura132/x", 6*time.Second))
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
	}
	if isTrouble {
		fleet.writeOddEntries(memoryEntries)
	}
	time.Sleep(5 * time.Second)
	record.log("resident memory %v MB", fleet.memoryOfAll())
	killed := fleet.machines[0]
	killed.kill()
	time.Sleep(time.Second)
	if err := killed.start(); err != nil {
		return false, err
	}
	record.log("%s: the process was killed by the test and is started again", killed.name)
	for _, target := range targets[1:] {
		work.Go(func() {
			for !isDone.Load() {
				if bytes := memoryBytes(target.machine.pid()); bytes > int64(batinah.memoryMB)<<20 {
					record.log("%s: the process holds %d MB, is killed and started again", target.machine.name, bytes>>20)
					target.machine.kill()
					time.Sleep(time.Second)
					_ = target.machine.start()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(25 * time.Second)
	record.log("resident memory %v MB", fleet.memoryOfAll())
	isDone.Store(true)
	work.Wait()
	isBroken := false
	for _, target := range targets {
		target.report()
		isBroken = isBroken || target.machine != killed && target.lost.Load() > lostLimit
	}
	return isBroken, nil
}

// configCase lets the store forget its history while odd entries are in it, and then writes
// a configuration that moves a route to another service and adds a route. It counts the requests that are handled by the older
// configuration later than config_apply_ms after the confirmation.
func configCase(folder string, record *record, isTrouble bool) (bool, error) {
	fleet, err := newOddFleet(folder, record)
	if err != nil {
		return false, err
	}
	defer fleet.stopAll()
	for number := range 3 {
		replica, err := startReplica(fleet.store, fmt.Sprintf("i-led%d", number), "ledger", "muscat-a", 16, func() time.Duration { return 20 * time.Millisecond })
		if err != nil {
			return false, err
		}
		fleet.replicas = append(fleet.replicas, replica)
	}
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	record.log("%d machines of %d MB are ready", len(fleet.machines), batinah.memoryMB)
	if isTrouble {
		fleet.writeOddEntries(configEntries)
	}
	time.Sleep(2 * time.Second)
	fleet.store.forgetHistory()
	record.log("the store has forgotten its history")
	// The machines are in touch: nothing else happens for longer than contact_ms.
	time.Sleep(8 * time.Second)
	config := routesConfig(0)
	routes := config["routes"].([]map[string]any)[:2]
	routes[0]["service"] = "ledger"
	config["routes"], config["version"] = routes, routesNumber(1)
	fleet.store.put("op/config", config)
	record.log("version %d is confirmed: it moves /pura132/ from logbook to ledger and adds /%s/", routesNumber(1), routeName(0, 0))
	time.Sleep(batinahConfigApply + time.Second)
	outdated := 0
	for range 5 {
		for _, machine := range fleet.machines {
			for _, path := range []string{"/pura132/x", "/" + routeName(0, 0) + "/x"} {
				consumer := newConsumer(machine)
				exchange := consumer.get(routesHost, path, 6*time.Second)
				consumer.close()
				ranAt := "none"
				for _, replica := range fleet.replicas {
					if replica.hasRun(exchange.id) {
						ranAt = replica.service
					}
				}
				isOutdated := exchange.err == nil && exchange.status == 404 || ranAt == "logbook"
				if isOutdated {
					outdated++
				}
				record.log("%s: request %s for %s: status %d, run by %s; outdated: %v", machine.name, exchange.id, path, exchange.status, ranAt, isOutdated)
			}
		}
		time.Sleep(time.Second)
	}
	record.log("%d requests were handled as only the older version allows; resident memory %v MB", outdated, fleet.memoryOfAll())
	return outdated > 0, nil
}
