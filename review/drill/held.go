package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowRestartDelay is how long the killed processes of this case are down.
	slowRestartDelay = 700 * time.Millisecond
	// exitAfter is when the replica exits: the drain time and a little longer.
	exitAfter = drainTime + 200*time.Millisecond
	// heldRate is the number of orders a second.
	heldRate = 50
)

// playHeld removes the entry of a replica that leaves without a notice right after three
// of eight processes were killed. The replica serves for the drain time and a little
// longer. The store states its era, so that a restarted process waits for its peers before
// it uses its first listing.
func playHeld(site *site, isTroubled bool) string {
	site.store.era = 1
	site.publish(7, []route{orderRoute}, []service{{Name: "ledger", HealthPath: "/health", MaxConns: 110, Protocol: "h1"}})
	leaving := site.startReplica("i-leaving", "ledger", "sohar-b", 3, 100*time.Millisecond)
	site.startReplica("i-staying", "ledger", "sohar-b", 3, 100*time.Millisecond)
	site.addInstances(smallSite)
	site.startAll()
	time.Sleep(contactTime + time.Second)
	up, killed := site.splitByReading()
	if isTroubled {
		for _, instance := range killed {
			site.record("instance %s is killed", instance.name)
			instance.kill()
		}
		time.Sleep(20 * time.Millisecond)
	}
	site.store.remove("servers/" + leaving.id)
	removedAt := site.now()
	site.record("the store confirms that servers/%s is removed; the replica serves on", leaving.id)
	if isTroubled {
		time.Sleep(slowRestartDelay)
		for _, instance := range killed {
			instance.startProcess()
		}
	}
	var callers sync.WaitGroup
	var failed atomic.Int64
	hasExited := false
	for number := 0; site.now() < removedAt+exitAfter+time.Second; number++ {
		if !hasExited && site.now() > removedAt+exitAfter {
			hasExited = true
			leaving.exit()
		}
		callers.Add(1)
		go func() {
			defer callers.Done()
			if reply := site.request(up[number%len(up)], http.MethodPost, "/order/2f", newID(), 6*time.Second, []byte("order")); reply.status == http.StatusBadGateway {
				failed.Add(1)
			}
		}()
		time.Sleep(time.Second / heldRate)
	}
	callers.Wait()
	late := leaving.runsAfter(removedAt + drainTime + 50*time.Millisecond)
	site.record("%d orders were answered 502", failed.Load())
	if len(late) == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d orders reached %s later than %v after the store had confirmed that it is gone, the last after %.2f s; %d orders were cut when it exited, their outcome unknown", len(late), leaving.id, drainTime, (late[len(late)-1].at - removedAt).Seconds(), failed.Load())
}
