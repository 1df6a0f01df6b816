package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// caller is a stand-in for one consumer. It sends one request at a time and keeps its
// connection open between them.
type caller struct {
	fleet  *fleet
	zone   string
	record *record
	// keepFactor is how many times as long as it should the caller keeps the addresses
	// to use.
	keepFactor float64

	conn      net.Conn
	reader    *bufio.Reader
	address   string
	addresses []string
	keepUntil time.Time
	// sentAt is when the last byte of the latest request was sent.
	sentAt time.Time
}

// callRequest is one request of a caller.
type callRequest struct {
	method, host, path, id string
	body                   []byte
	deadline               time.Duration
}

// newID returns a request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// resolve asks up to three directories which addresses to use, unless the last answer is
// still valid.
func (caller *caller) resolve(host string) {
	if time.Now().Before(caller.keepUntil) {
		return
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, index := range rand.Perm(len(caller.fleet.machines))[:min(3, len(caller.fleet.machines))] {
		response, err := client.Get(fmt.Sprintf("http://%s/v1/resolve?name=%s&region=home&zone=%s", caller.fleet.machines[index].address(directoryPort), host, caller.zone))
		if err != nil {
			continue
		}
		var answer struct {
			Addrs []string `json:"addrs"`
			TTL   float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && len(answer.Addrs) > 0 && answer.TTL > 0 {
			caller.addresses = answer.Addrs
			caller.keepUntil = time.Now().Add(time.Duration(min(answer.TTL, 5) * caller.keepFactor * float64(time.Second)))
			return
		}
	}
}

// send sends a request and returns the answer's status, headers and body. A status of 0
// means that the connection ended without a whole answer; hasSent reports whether the
// whole request was sent.
func (caller *caller) send(request callRequest) (status int, header http.Header, body []byte, hasSent bool) {
	caller.resolve(request.host)
	if caller.conn != nil && !contains(caller.addresses, caller.address) {
		caller.close()
	}
	if caller.conn == nil && !caller.connect() {
		caller.record.answer(request.id, 0, "no connection")
		return 0, nil, nil, false
	}
	var encoded bytes.Buffer
	fmt.Fprintf(&encoded, "%s %s HTTP/1.1\r\nHost: %s\r\nMimosaspring-Request-Id: %s\r\nMimosaspring-Deadline-Ms: %d\r\n", request.method, request.path, request.host, request.id, request.deadline.Milliseconds())
	if request.method != http.MethodGet {
		fmt.Fprintf(&encoded, "Content-Length: %d\r\n", len(request.body))
	}
	encoded.WriteString("\r\n")
	encoded.Write(request.body)
	caller.record.line("sent %s %s %s to %s", request.id, request.method, request.path, caller.address)
	_ = caller.conn.SetDeadline(time.Now().Add(request.deadline))
	if _, err := caller.conn.Write(encoded.Bytes()); err != nil {
		caller.record.answer(request.id, 0, "not sent: "+err.Error())
		caller.close()
		return 0, nil, nil, false
	}
	caller.sentAt = time.Now()
	response, err := http.ReadResponse(caller.reader, &http.Request{Method: request.method})
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	if err != nil {
		caller.record.answer(request.id, 0, err.Error())
		caller.close()
		return 0, nil, nil, true
	}
	caller.record.answer(request.id, response.StatusCode, fmt.Sprintf("from %s, Retry-After %q, %d bytes", caller.address, response.Header.Get("Retry-After"), len(body)))
	if response.Close {
		caller.close()
	}
	return response.StatusCode, response.Header, body, true
}

// connect opens a connection to one of the addresses.
func (caller *caller) connect() bool {
	for _, index := range rand.Perm(len(caller.addresses)) {
		conn, err := net.DialTimeout("tcp", caller.addresses[index], time.Second)
		if err == nil {
			caller.conn, caller.reader, caller.address = conn, bufio.NewReader(conn), caller.addresses[index]
			return true
		}
	}
	caller.keepUntil = time.Time{}
	return false
}

// close closes the connection.
func (caller *caller) close() {
	if caller.conn != nil {
		_ = caller.conn.Close()
	}
	caller.conn = nil
}

func contains(list []string, wanted string) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}
