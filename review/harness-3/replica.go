package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Names of the platform's headers.
const (
	requestIDHeader   = "Mimosaspring-Request-Id"
	deadlineHeader    = "Mimosaspring-Deadline-Ms"
	expectedHeader    = "Mimosaspring-Expected-Instance"
	stampHeader       = "Mimosaspring-Server-Stamp"
	notExecutedHeader = "Mimosaspring-Not-Executed"
	loadHeader        = "Mimosaspring-Server-Load"
	instanceIDHeader  = "Mimosaspring-Instance-Id"
	partStampsHeader  = "Mimosaspring-Part-Stamps"
	missingHeader     = "Mimosaspring-Missing-Parts"
)

const (
	replicaQueue   = 12
	heartbeat      = 1200 * time.Millisecond
	recordBytes    = 16
	recordsPerPart = 6
)

// replica is a sound stand-in for one replica of a service.
type replica struct {
	id, service, zone, address string
	work                       func() time.Duration
	store                      *store
	born                       int64
	sequence                   int64
	slots                      chan struct{}
	queued                     atomic.Int64
	runs                       atomic.Int64
	// ranIDs holds the ids of the requests that ran.
	ranIDs sync.Map
}

// hasRun reports whether the replica has begun to work on the request.
func (replica *replica) hasRun(id string) bool {
	_, hasRun := replica.ranIDs.Load(id)
	return hasRun
}

func startReplica(store *store, id, service, zone string, slots int, work func() time.Duration) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	replica := &replica{id: id, service: service, zone: zone, address: listener.Addr().String(), work: work, store: store,
		born: time.Now().UnixMilli(), slots: make(chan struct{}, slots)}
	server := &http.Server{Handler: replica}
	go func() { _ = server.Serve(listener) }()
	replica.register()
	go replica.run()
	return replica, nil
}

func (replica *replica) register() {
	replica.sequence++
	replica.store.put("servers/"+replica.id, map[string]any{
		"service": replica.service, "address": replica.address, "zone": replica.zone, "version": "v1", "slots": cap(replica.slots),
		"state": "ready", "cold_left_ms": 0, "sequence": replica.sequence, "born": replica.born,
	})
}

func (replica *replica) run() {
	for range time.Tick(heartbeat) {
		replica.register()
	}
}

// stamp returns the signature of a replica under the answer to a request.
func stamp(replicaID, requestID string) string { return replicaID + "." + requestID }

// ServeHTTP answers one request, as the protocol describes it.
func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set(loadHeader, fmt.Sprintf("%d,%d,%d,100", len(replica.slots), replica.queued.Load(), cap(replica.slots)))
	if request.URL.Path == "/health" {
		header.Set(instanceIDHeader, replica.id)
		return
	}
	id := request.Header.Get(requestIDHeader)
	if id != "" {
		header.Set(requestIDHeader, id)
	}
	refuse := func(status int) {
		header.Set(notExecutedHeader, "1")
		writer.WriteHeader(status)
	}
	_, err := io.Copy(io.Discard, request.Body)
	expected := request.Header.Get(expectedHeader)
	switch {
	case err != nil:
		return
	case id == "":
		refuse(http.StatusBadRequest)
		return
	case expected != "" && expected != replica.id:
		refuse(http.StatusMisdirectedRequest)
		return
	case replica.queued.Load() >= replicaQueue:
		refuse(http.StatusServiceUnavailable)
		return
	}
	millis, err := strconv.ParseInt(request.Header.Get(deadlineHeader), 10, 64)
	if err != nil {
		millis = 10_000
	}
	deadline := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer deadline.Stop()
	replica.queued.Add(1)
	select {
	case replica.slots <- struct{}{}:
		replica.queued.Add(-1)
	case <-deadline.C:
		replica.queued.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	case <-request.Context().Done():
		replica.queued.Add(-1)
		return
	}
	defer func() { <-replica.slots }()
	replica.runs.Add(1)
	replica.ranIDs.Store(id, true)
	time.Sleep(replica.work())
	header.Set(stampHeader, stamp(replica.id, id))
	for number := range recordsPerPart {
		_, _ = fmt.Fprintf(writer, "%-*.*s%02d", recordBytes-2, recordBytes-2, replica.id, number)
	}
}
