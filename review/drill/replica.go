package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform's pages.
const (
	headerRequest  = "Mimosaspring-Request-Id"
	headerDeadline = "Mimosaspring-Deadline-Ms"
	headerExpected = "Mimosaspring-Expected-Instance"
	headerInstance = "Mimosaspring-Instance-Id"
	headerStamp    = "Mimosaspring-Server-Stamp"
	headerLoad     = "Mimosaspring-Server-Load"
	headerNotRun   = "Mimosaspring-Not-Executed"
)

const (
	// recordsPerPart is the number of 16-byte records in the answer of a replica.
	recordsPerPart = 6
	// replicaQueue is the number of requests that may wait for a slot.
	replicaQueue = 12
)

// replica is a stand-in for one replica of a service. It runs a request in workTime.
type replica struct {
	site     *site
	id       string
	service  string
	zone     string
	address  string
	slots    chan struct{}
	workTime time.Duration
	waiting  atomic.Int64
	server   *http.Server
	born     int64
	// sequence is the number of the last entry.
	sequence int

	mutex sync.Mutex
	// answer, if set, writes the answer to a request that the replica has run.
	answer func(writer http.ResponseWriter, run run)
	runs   []run
}

// run is one request that a replica ran.
type run struct {
	request string
	at      time.Duration
	method  string
	body    int
}

// entry is what a replica writes about itself in the store.
type entry struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMS int    `json:"cold_left_ms"`
	Sequence   int    `json:"sequence"`
	Born       int64  `json:"born"`
}

// startReplica starts a replica and registers it in the store.
func (site *site) startReplica(id, service, zone string, slots int, workTime time.Duration) *replica {
	listener, err := net.Listen("tcp", site.loopback(200)+":0")
	if err != nil {
		fail("listen for replica: %v", err)
	}
	replica := &replica{site: site, id: id, service: service, zone: zone, address: listener.Addr().String(), slots: make(chan struct{}, slots), workTime: workTime}
	replica.server = &http.Server{Handler: replica}
	go func() { _ = replica.server.Serve(listener) }()
	replica.born = time.Now().UnixMilli()
	site.store.put("servers/"+id, replica.entry())
	return replica
}

// entry returns what the replica writes about itself.
func (replica *replica) entry() entry {
	replica.sequence++
	return entry{Service: replica.service, Address: replica.address, Zone: replica.zone, Version: "v1", Slots: cap(replica.slots), State: "ready", Sequence: replica.sequence, Born: replica.born}
}

// exit ends the replica, with the requests that it runs.
func (replica *replica) exit() {
	replica.site.record("replica %s exits", replica.id)
	_ = replica.server.Close()
}

// ServeHTTP answers as the platform's pages say.
func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	id := request.Header.Get(headerRequest)
	header.Set(headerLoad, fmt.Sprintf("%d,%d,%d,100", len(replica.slots), replica.waiting.Load(), cap(replica.slots)))
	if request.URL.Path == "/health" {
		header.Set(headerInstance, replica.id)
		return
	}
	if id == "" {
		header.Set(headerNotRun, "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	header.Set(headerRequest, id)
	if expected := request.Header.Get(headerExpected); expected != "" && expected != replica.id {
		header.Set(headerInstance, replica.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return
	}
	millis, _ := strconv.Atoi(request.Header.Get(headerDeadline))
	if !replica.acquire(request, time.Duration(millis)*time.Millisecond) {
		header.Set(headerNotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-replica.slots }()
	run := run{request: id, at: replica.site.now(), method: request.Method, body: int(body)}
	replica.mutex.Lock()
	replica.runs = append(replica.runs, run)
	answer := replica.answer
	replica.mutex.Unlock()
	replica.site.record("replica %s (%s) runs %s", replica.id, replica.service, id)
	time.Sleep(replica.workTime)
	header.Set(headerStamp, replica.id+"."+id)
	if answer != nil {
		answer(writer, run)
		return
	}
	_, _ = writer.Write(partOf(replica.service, id))
}

// acquire takes a slot, for which a few requests may wait, and reports whether it did.
func (replica *replica) acquire(request *http.Request, wait time.Duration) bool {
	if replica.waiting.Add(1) > replicaQueue {
		replica.waiting.Add(-1)
		return false
	}
	defer replica.waiting.Add(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case replica.slots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	case <-request.Context().Done():
		return false
	}
}

// runsAfter returns the runs that began after the given time.
func (replica *replica) runsAfter(at time.Duration) []run {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	var later []run
	for _, run := range replica.runs {
		if run.at > at {
			later = append(later, run)
		}
	}
	return later
}

// setAnswer sets what writes the answers to the requests that the replica has run.
func (replica *replica) setAnswer(answer func(writer http.ResponseWriter, run run)) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.answer = answer
}

// partOf returns the records with which every replica of a service answers a request.
func partOf(service, id string) []byte {
	var records []byte
	for number := range recordsPerPart {
		sum := sha256.Sum256([]byte(service + "/" + id + "/" + strconv.Itoa(number)))
		records = append(records, sum[:16]...)
	}
	return records
}
