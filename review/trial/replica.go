package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replicaConfig holds the properties of a replica.
type replicaConfig struct {
	id, service, zone string
	// slots is the number of requests that run at once, and queue the number of those
	// that may wait.
	slots, queue int
	work         time.Duration
}

// replica is a stand-in for one replica of the relay protocol. A request is rejected
// with 503 and Mimosaspring-Not-Executed if all slots and the queue are in use, or if its
// time budget ends in the queue.
type replica struct {
	replicaConfig
	address  string
	record   *record
	listener net.Listener
	slot     chan struct{}
	// respond answers a request that ran. It returns the bytes to send, and whether the
	// connection is closed after them. Nil stands for a sound answer.
	respond func(id string, conn net.Conn) ([]byte, bool)
	// repeats reports whether a second copy of an answer is sent late: where the next
	// answer on the connection is expected. Nil means never.
	repeats func() bool

	mutex            sync.Mutex
	running, waiting int
}

func startReplica(config replicaConfig, host string, record *record) (*replica, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	replica := &replica{replicaConfig: config, address: listener.Addr().String(), record: record, listener: listener, slot: make(chan struct{}, config.slots)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go replica.serve(conn)
		}
	}()
	return replica, nil
}

// register writes the replica's entry to the store.
func (replica *replica) register(store *store, state string) {
	store.put("servers/"+replica.id, map[string]any{
		"service": replica.service, "address": replica.address, "zone": replica.zone, "version": "1",
		"slots": replica.slots, "state": state, "cold_left_ms": 0, "sequence": 1, "born": replica.record.start.UnixMilli(),
	})
}

// serve answers the requests of one connection, one at a time.
func (replica *replica) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		arrivedAt := time.Now()
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if late != nil {
			replica.record.line("second copy of an earlier answer sent by %s", replica.id)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer, isLast := replica.handle(request, conn, reader, arrivedAt)
		if answer == nil {
			return
		}
		if _, err := conn.Write(answer); err != nil || isLast {
			return
		}
		if replica.repeats != nil && replica.repeats() {
			late = answer
		}
	}
}

// handle returns the answer to a request, or nil if the caller has closed the
// connection.
func (replica *replica) handle(request *http.Request, conn net.Conn, reader *bufio.Reader, arrivedAt time.Time) ([]byte, bool) {
	id := request.Header.Get("Mimosaspring-Request-Id")
	replica.record.line("arrived %s at %s", id, replica.id)
	expected := request.Header.Get("Mimosaspring-Expected-Instance")
	switch {
	case id == "":
		return replica.rejection(id, http.StatusBadRequest), false
	case expected != "" && expected != replica.id:
		return replica.rejection(id, http.StatusMisdirectedRequest), false
	}
	millis, err := strconv.Atoi(request.Header.Get("Mimosaspring-Deadline-Ms"))
	if err != nil {
		millis = 6000
	}
	deadline := time.NewTimer(time.Until(arrivedAt.Add(time.Duration(millis) * time.Millisecond)))
	defer deadline.Stop()
	closed, stop := watchClose(conn, reader)
	defer stop()
	if !replica.acquire(deadline.C, closed) {
		replica.record.line("rejected %s by %s", id, replica.id)
		return replica.rejection(id, http.StatusServiceUnavailable), false
	}
	defer replica.release()
	replica.record.run(id, replica.id)
	select {
	case <-time.After(replica.work):
	case <-deadline.C:
		return replica.encode(id, http.StatusGatewayTimeout, "", nil), false
	case <-closed:
		replica.record.line("dropped %s at %s: the connection closed", id, replica.id)
		return nil, false
	}
	if replica.respond != nil {
		if answer, isLast := replica.respond(id, conn); answer != nil {
			return answer, isLast
		}
	}
	return replica.encode(id, http.StatusOK, "", answerBody(id)), false
}

// watchClose returns a channel that is closed when the peer closes the connection, and a
// function that ends the watch.
func watchClose(conn net.Conn, reader *bufio.Reader) (<-chan struct{}, func()) {
	closed, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		_, err := reader.Peek(1)
		if timeout, isNet := err.(net.Error); err != nil && !(isNet && timeout.Timeout()) {
			close(closed)
		}
	}()
	return closed, func() {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-ended
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// acquire waits for a slot. It reports false if the queue is full, or the deadline or
// the connection ends first.
func (replica *replica) acquire(deadline <-chan time.Time, closed <-chan struct{}) bool {
	select {
	case replica.slot <- struct{}{}:
		replica.count(1, 0)
		return true
	default:
	}
	replica.mutex.Lock()
	if replica.waiting >= replica.queue {
		replica.mutex.Unlock()
		return false
	}
	replica.waiting++
	replica.mutex.Unlock()
	defer replica.count(0, -1)
	select {
	case replica.slot <- struct{}{}:
		replica.count(1, 0)
		return true
	case <-deadline:
	case <-closed:
	}
	return false
}

func (replica *replica) release() {
	replica.count(-1, 0)
	<-replica.slot
}

func (replica *replica) count(running, waiting int) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.running += running
	replica.waiting += waiting
}

// rejection encodes an answer which states that the request was not run.
func (replica *replica) rejection(id string, status int) []byte {
	return replica.encode(id, status, "Mimosaspring-Not-Executed: 1\r\n", nil)
}

// encode encodes an answer with the headers that every answer has. The parameter headers
// holds further header lines.
func (replica *replica) encode(id string, status int, headers string, body []byte) []byte {
	replica.mutex.Lock()
	load := fmt.Sprintf("%d,%d,%d,100", replica.running, replica.waiting, replica.slots)
	replica.mutex.Unlock()
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&answer, "Mimosaspring-Request-Id: %s\r\n", id)
	}
	if headers == "" {
		fmt.Fprintf(&answer, "Mimosaspring-Server-Stamp: %s.%s\r\n", replica.id, id)
	}
	fmt.Fprintf(&answer, "Mimosaspring-Server-Load: %s\r\nKeep-Alive: timeout=20\r\n%sContent-Length: %d\r\n\r\n", load, headers, len(body))
	answer.Write(body)
	return answer.Bytes()
}

// answerBody returns the body of the answer to a request.
func answerBody(id string) []byte { return []byte("the answer to " + id + "\n") }
