package main

import (
	"fmt"
	"net/http"
	"time"
)

// orderRoute is a route whose requests must not run twice.
var orderRoute = route{Name: "r-order", Host: callerHost, Prefix: "/order/", Type: "unsafe", TimeoutMS: 6000, TargetLatencyMS: 400, Priority: 2, Service: "ledger", MaxAttempts: 2}

const (
	// failingReplicas of the three replicas fail one in failingPart of their requests.
	failingReplicas = 2
	failingPart     = 3
)

// playRefused sends unsafe requests to replicas, two of which fail part of them with status 503,
// after they have run them and without the header that says that they have not. The
// callers repeat a request, under a new identity, after a promise only.
func playRefused(site *site, isTroubled bool) string {
	site.publish(7, []route{orderRoute}, []service{{Name: "ledger", HealthPath: "/health", MaxConns: 110, Protocol: "h1"}})
	for number := range 3 {
		replica := site.startReplica(fmt.Sprintf("i-%d", number), "ledger", smallSite[number*3][1], 3, 20*time.Millisecond)
		count := 0
		replica.setAnswer(func(writer http.ResponseWriter, run run) {
			if count++; isTroubled && number < failingReplicas && count%failingPart == 0 {
				site.record("replica %s has run %s and fails it with 503", replica.id, run.request)
				writer.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = writer.Write(partOf(replica.service, run.request))
		})
		site.replicas = append(site.replicas, replica)
	}
	site.addInstances(smallSite)
	site.startAll()
	time.Sleep(contactTime)
	refused, twice := 0, 0
	for number := range 60 {
		// The order is in the body. Each attempt at it has an identity of its own.
		order := fmt.Sprintf("order %d", number)
		runs := 0
		for range 2 {
			id := newID()
			reply := site.request(site.instances[number%len(site.instances)], "POST", "/order/2f", id, 6*time.Second, []byte(order))
			hasRun := site.hasRun(id)
			if hasRun {
				runs++
			}
			isPromise := reply.err == nil && (reply.status == http.StatusServiceUnavailable || reply.status == http.StatusTooManyRequests)
			if isPromise && hasRun {
				refused++
				site.record("%s was answered %d, which promises that it has not run, and has run", id, reply.status)
			}
			if !isPromise {
				break
			}
		}
		if runs > 1 {
			twice++
			site.record("%s ran %d times", order, runs)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if refused == 0 {
		return ""
	}
	return fmt.Sprintf("REFUSED: %d unsafe requests were answered 503 and had run; %d orders ran twice, because their callers repeated them after that promise", refused, twice)
}

// hasRun reports whether a replica ran the request.
func (site *site) hasRun(id string) bool {
	for _, replica := range site.replicas {
		for _, run := range replica.runsAfter(0) {
			if run.request == id {
				return true
			}
		}
	}
	return false
}
