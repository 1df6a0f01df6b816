package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// awayTime is how long the store is away before it comes back from a copy.
	awayTime = time.Second
	// rewriteTime is how long after that the operator writes the configuration again.
	rewriteTime = 5 * time.Second
	// rollbackSlack is how much later than an effect of a version a request may still be
	// handled as an older version says.
	rollbackSlack = 250 * time.Millisecond
)

// ledgerRoute is a route whose requests one replica answers.
var ledgerRoute = route{Name: "r-ledger", Host: callerHost, Prefix: "/ledger/", Type: "safe", TimeoutMS: 6000, TargetLatencyMS: 400, Priority: 2, Service: "ledger", MaxAttempts: 2}

// playRestored moves a route to another service, and then brings the store back from a
// copy of before. The operator writes the newer configuration again a little later. No
// machine may go back to the older one.
func playRestored(site *site, isTroubled bool) string {
	site.store.era = 1
	services := []service{{Name: "ledger", HealthPath: "/health", MaxConns: 110, Protocol: "h1"}, {Name: "logbook", HealthPath: "/health", MaxConns: 110, Protocol: "h1"}}
	moved := ledgerRoute
	moved.Service = "logbook"
	site.publish(7, []route{ledgerRoute}, services)
	older := []*replica{site.startReplica("i-old-1", "ledger", "muscat-a", 3, 20*time.Millisecond), site.startReplica("i-old-2", "ledger", "sohar-b", 3, 20*time.Millisecond)}
	newer := []*replica{site.startReplica("i-new-1", "logbook", "muscat-a", 3, 20*time.Millisecond), site.startReplica("i-new-2", "logbook", "sohar-b", 3, 20*time.Millisecond)}
	site.addInstances(smallSite)
	site.startAll()
	time.Sleep(contactTime)
	copied := site.store.copy()
	site.record("the store is copied; the operator writes version 9")
	site.publish(9, []route{moved}, services)
	time.Sleep(3 * time.Second)
	for _, instance := range site.instances {
		site.request(instance, http.MethodGet, "/ledger/2f", newID(), 6*time.Second, nil)
	}
	// All machines have shown the effect of version 9.
	shownAt := site.now()
	if isTroubled {
		site.record("the store is away")
		site.store.goAway()
		time.Sleep(awayTime)
		site.store.restore(copied)
		site.record("the store is back from the copy, in the next era")
		for _, replica := range append(newer, older...) {
			site.store.put("servers/"+replica.id, replica.entry())
		}
	}
	backAt := site.now()
	isWritten := false
	for number := 0; site.now() < backAt+rewriteTime+4*time.Second; number++ {
		if !isWritten && isTroubled && site.now() > backAt+rewriteTime {
			isWritten = true
			site.record("the operator writes version 9 again")
			site.publish(9, []route{moved}, services)
		}
		site.request(site.instances[number%len(site.instances)], http.MethodGet, "/ledger/2f", newID(), 6*time.Second, nil)
		time.Sleep(20 * time.Millisecond)
	}
	var back []run
	for _, replica := range older {
		back = append(back, replica.runsAfter(shownAt+rollbackSlack)...)
	}
	if len(back) == 0 {
		return ""
	}
	return fmt.Sprintf("CONFIG: %d requests ran as only version 7 allows, %.1f s and more after all machines had shown version 9", len(back), (back[0].at - shownAt).Seconds())
}
