package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The disruption of routesCase: the largest big_config of the users' sites, more than once.
const (
	routesPerVersion = 1400
	routesVersions   = 12
	// routesLimit bounds the time of the case.
	routesLimit = 100 * time.Second
	// routesVersionTime is how long a version is in force before the next one is written.
	routesVersionTime = 8 * time.Second
	// routesTargets is the number of machines whose consumers use every route.
	routesTargets = 2
	// routesWorkers is the number of consumers at each of them that use new routes, and
	// routesReaders of those that read from the first route all the time.
	routesWorkers = 100
	routesReaders = 30
	// routesUses is how often a route is used at each of them.
	routesUses = 3
	// lostLimit is how many requests a machine may lose by the rule LOST.
	lostLimit = 3
)

// routesWork returns how long a replica works on a request. The users' sheet states a mean
// of 90 ms and a spread of half of it.
func routesWork() time.Duration {
	return []time.Duration{5 * time.Millisecond, 90 * time.Millisecond}[rand.N(2)]
}

// slowWork is the longest work of a request on the users' sheets.
const slowWork = 540 * time.Millisecond

// startSlowReplicas starts the replicas of the service that readers use. Most of their
// requests are at a replica at any moment.
func startSlowReplicas(fleet *fleet, zones []string) ([]*replica, error) {
	var replicas []*replica
	for number := range 15 {
		replica, err := startReplica(fleet.store, fmt.Sprintf("i-log%d", number), "logbook", zones[number%3], 16, func() time.Duration { return slowWork })
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, replica)
	}
	return replicas, nil
}

const routesHost = "boje60.example"

// routesConfig returns a configuration with one route that all versions have, and
// routesPerVersion routes whose names only this one has.
func routesConfig(version int) map[string]any {
	route := func(name, prefix string) map[string]any {
		return map[string]any{"name": name, "hostname": routesHost, "prefix": prefix, "route_type": "safe", "timeout_ms": 6000,
			"target_latency_ms": 400, "priority": 2, "max_attempts": 2, "service": "ledger"}
	}
	routes := []map[string]any{route("plot-ledger-read", "/pura132/")}
	routes[0]["service"] = "logbook"
	for number := range routesPerVersion {
		routes = append(routes, route(routeName(version, number), "/"+routeName(version, number)+"/"))
	}
	return map[string]any{
		"version": routesNumber(version), "routes": routes,
		"services": []map[string]any{
			{"name": "ledger", "health_path": "/health", "max_conns": 110},
			{"name": "logbook", "health_path": "/health", "max_conns": 110},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	}
}

// routesNumber returns the number that the operator gives a version.
func routesNumber(version int) int { return 10 + 3*version }

func routeName(version, number int) string { return fmt.Sprintf("no%d-%d", version, number) }

// consumer sends one request at a time and keeps its connection. It sends nothing again by
// itself.
type consumer struct {
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
}

func newConsumer(machine *machine) *consumer { return &consumer{machine: machine} }

// exchange is a request of a consumer and what came of it.
type exchange struct {
	id string
	// isKept is set if the connection had carried another request.
	isKept bool
	status int
	// err says why there is no complete answer.
	err error
}

// close closes the connection, if there is one.
func (consumer *consumer) close() {
	if consumer.conn != nil {
		_ = consumer.conn.Close()
		consumer.conn = nil
	}
}

// get sends one request.
func (consumer *consumer) get(host, path string, deadline time.Duration) exchange {
	exchange := exchange{id: fmt.Sprintf("%016x", rand.Uint64()), isKept: consumer.conn != nil}
	if consumer.conn == nil {
		conn, err := net.DialTimeout("tcp", consumer.machine.front(), time.Second)
		if err != nil {
			exchange.err = err
			return exchange
		}
		consumer.conn, consumer.reader = conn, bufio.NewReader(conn)
	}
	exchange.status, exchange.err = consumer.exchange(exchange.id, host, path, deadline)
	if exchange.err != nil {
		consumer.close()
	}
	return exchange
}

// exchange sends a request on the connection and reads the answer whole.
func (consumer *consumer) exchange(id, host, path string, deadline time.Duration) (int, error) {
	_ = consumer.conn.SetDeadline(time.Now().Add(deadline))
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", path, host, requestIDHeader, id, deadlineHeader, deadline.Milliseconds())
	if _, err := io.WriteString(consumer.conn, request); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(consumer.reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return response.StatusCode, err
	}
	if response.Close {
		consumer.close()
	}
	return response.StatusCode, nil
}

// routesTarget is a machine at which every route is used.
type routesTarget struct {
	machine  *machine
	replicas []*replica
	record   *record
	// hasEnded is set when the process exceeded its memory.
	hasEnded atomic.Bool

	sent, answered, failed, lost atomic.Int64
}

// observe counts an exchange. One is lost if it came on a kept connection and a replica
// has begun to work on it, but the connection ended without an answer.
func (target *routesTarget) observe(exchange exchange) {
	target.sent.Add(1)
	switch {
	case exchange.err == nil && exchange.status == http.StatusOK:
		target.answered.Add(1)
		return
	case exchange.err == nil:
		target.failed.Add(1)
		return
	case errors.Is(exchange.err, os.ErrDeadlineExceeded):
		// The consumer's own time was over.
		return
	}
	for _, replica := range target.replicas {
		if exchange.isKept && replica.hasRun(exchange.id) {
			target.lost.Add(1)
			target.record.log("%s: request %s came on a kept connection and ran on %s; the connection ended without an answer: %v", target.machine.name, exchange.id, replica.id, exchange.err)
		}
	}
}

// report logs the counts of the target.
func (target *routesTarget) report() {
	runs := int64(0)
	for _, replica := range target.replicas {
		runs += replica.runs.Load()
	}
	target.record.log("%s: %d requests sent, %d answered 200, %d answered otherwise, %d lost; resident memory %d MB; %d runs at the replicas in all",
		target.machine.name, target.sent.Load(), target.answered.Load(), target.failed.Load(), target.lost.Load(), memoryBytes(target.machine.pid())>>20, runs)
}

// routesCase replaces the many routes of the configuration by others, several times, while
// each route is used at two machines. A process that exceeds the memory of its machine is
// killed, as the platform does.
func routesCase(folder string, record *record, isTrouble bool) (bool, error) {
	end := time.Now().Add(routesLimit)
	zones := []string{"centro-a", "centro-b", "centro-c"}
	fleet, err := newFleet(folder, record, socios, zones, []int{2, 1, 1})
	if err != nil {
		return false, err
	}
	var replicas []*replica
	for number := range 20 {
		replica, err := startReplica(fleet.store, fmt.Sprintf("i-led%d", number), "ledger", zones[number%3], 16, routesWork)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, replica)
	}
	slow, err := startSlowReplicas(fleet, zones)
	if err != nil {
		return false, err
	}
	replicas = append(replicas, slow...)
	fleet.store.put("op/config", routesConfig(0))
	defer fleet.stopAll()
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	record.log("%d machines of %d MB are ready", len(fleet.machines), socios.memoryMB)
	var targets []*routesTarget
	for _, machine := range fleet.machines[:routesTargets] {
		targets = append(targets, &routesTarget{machine: machine, replicas: replicas, record: record})
	}
	var isDone atomic.Bool
	var work sync.WaitGroup
	for _, target := range targets {
		work.Go(func() { target.watchMemory(&isDone) })
		for range routesReaders {
			work.Go(func() {
				consumer := newConsumer(target.machine)
				for !isDone.Load() && !target.hasEnded.Load() {
					target.observe(consumer.get(routesHost, "/pura132/", 6*time.Second))
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
	}
	for version := 0; version < routesVersions && time.Until(end) > routesVersionTime; version++ {
		inForce := version
		if !isTrouble {
			inForce = 0
		} else if version > 0 {
			fleet.store.put("op/config", routesConfig(version))
			record.log("version %d is confirmed: its %d routes replace those of the version before", routesNumber(version), routesPerVersion)
		}
		begin := time.Now()
		time.Sleep(1500 * time.Millisecond)
		useRoutes(targets, inForce, begin.Add(routesVersionTime))
		time.Sleep(time.Until(begin.Add(routesVersionTime)))
		areEnded := true
		for _, target := range targets {
			target.report()
			areEnded = areEnded && target.hasEnded.Load()
		}
		if areEnded {
			break
		}
	}
	isDone.Store(true)
	work.Wait()
	isBroken := false
	for _, target := range targets {
		target.report()
		isBroken = isBroken || target.lost.Load() > lostLimit
	}
	return isBroken, nil
}

// useRoutes sends routesUses requests to each route of a version, at each target, and ends
// at the given time.
func useRoutes(targets []*routesTarget, version int, end time.Time) {
	var work sync.WaitGroup
	for _, target := range targets {
		var next atomic.Int64
		for range routesWorkers {
			work.Go(func() {
				consumer := newConsumer(target.machine)
				for !target.hasEnded.Load() && time.Now().Before(end) {
					number := int(next.Add(1)) - 1
					if number >= routesUses*routesPerVersion {
						return
					}
					target.observe(consumer.get(routesHost, "/"+routeName(version, number%routesPerVersion)+"/", 6*time.Second))
				}
			})
		}
	}
	work.Wait()
}

// watchMemory kills the process of the target once it exceeds the memory of its machine.
func (target *routesTarget) watchMemory(isDone *atomic.Bool) {
	for !isDone.Load() && !target.hasEnded.Load() {
		bytes := memoryBytes(target.machine.pid())
		if bytes > int64(socios.memoryMB)<<20 {
			target.record.log("%s: the process holds %d MB and is killed", target.machine.name, bytes>>20)
			target.machine.kill()
			target.hasEnded.Store(true)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
