package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// smallSite lists the machines of a small deployment and their zones.
var smallSite = [][2]string{
	{"front-muscat-a-1", "muscat-a"}, {"front-muscat-a-2", "muscat-a"}, {"front-muscat-a-3", "muscat-a"},
	{"front-sohar-b-1", "sohar-b"}, {"front-sohar-b-2", "sohar-b"}, {"front-sohar-b-3", "sohar-b"},
	{"front-nizwa-c-1", "nizwa-c"}, {"front-nizwa-c-2", "nizwa-c"},
}

// readers names the machines that read the store for the others of their zones: those
// whose names rank first there.
var readers = []string{"front-muscat-a-2", "front-sohar-b-3", "front-nizwa-c-2"}

const (
	// serveTime is how long a replica serves on after its entry is removed, the drain time
	// and some seconds more.
	serveTime = 8 * time.Second
	// orderRate is the number of orders a second.
	orderRate = 20
)

// playRemoved removes the entry of a replica that leaves without a notice while three of
// eight processes are down. The replica serves on for serveTime and then exits. The
// machines that stay up must send it nothing later than drainTime after the removal was
// confirmed.
func playRemoved(site *site, isTroubled bool) string {
	site.publish(7, []route{orderRoute}, []service{{Name: "ledger", HealthPath: "/health", MaxConns: 110, Protocol: "h1"}})
	leaving := site.startReplica("i-leaving", "ledger", "sohar-b", 3, 250*time.Millisecond)
	site.startReplica("i-staying", "ledger", "sohar-b", 3, 250*time.Millisecond)
	site.addInstances(smallSite)
	site.startAll()
	time.Sleep(contactTime + time.Second)
	up, killed := site.splitByReading()
	if isTroubled {
		for _, instance := range killed {
			site.record("instance %s is killed", instance.name)
			instance.kill()
		}
		time.Sleep(restartDelay / 2)
	}
	site.store.remove("servers/" + leaving.id)
	removedAt := site.now()
	site.record("the store confirms that servers/%s is removed; the replica serves on", leaving.id)
	if isTroubled {
		time.Sleep(restartDelay / 2)
		for _, instance := range killed {
			instance.startProcess()
		}
	}
	time.Sleep(removedAt + drainTime - site.now())
	boundAt := site.now()
	site.record("the bound of %v is over", drainTime)
	var callers sync.WaitGroup
	var failed atomic.Int64
	hasExited := false
	for number := 0; site.now() < removedAt+serveTime+time.Second; number++ {
		if !hasExited && site.now() > removedAt+serveTime {
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
		time.Sleep(time.Second / orderRate)
	}
	callers.Wait()
	late := leaving.runsAfter(boundAt + 50*time.Millisecond)
	site.record("%d orders were answered 502", failed.Load())
	if len(late) == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d orders reached %s later than %v after the store had confirmed that it is gone, the last after %.1f s; %d orders were cut when it exited, their outcome unknown", len(late), leaving.id, drainTime, (late[len(late)-1].at - removedAt).Seconds(), failed.Load())
}

// splitByReading returns the instances that don't read the store for others, and those
// that do.
func (site *site) splitByReading() (others, reading []*instance) {
	for _, instance := range site.instances {
		if slices.Contains(readers, instance.name) {
			reading = append(reading, instance)
		} else {
			others = append(others, instance)
		}
	}
	return others, reading
}
