package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/standin/upstream"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

const (
	soakHost = "trials.example"
	// soakTopK is the maximum number of records in a merged answer.
	soakTopK = 10
	// soakDeadline is the deadline of each request.
	soakDeadline = time.Second
)

// soakRequest is one request and its result. The mutex of soakLoad guards the times,
// the status code and the error.
type soakRequest struct {
	id string
	// kind is the scope: burn, read, book or late.
	kind string
	// instance is the number of the instance that the request is sent to.
	instance  int
	startTime time.Time
	endTime   time.Time
	// statusCode is 0 if no complete answer arrived.
	statusCode int
	err        error
}

// soakLoad sends requests to random instances until it is stopped, and checks each
// answer on its own.
type soakLoad struct {
	// callerAddresses holds the addresses of the instances for callers.
	callerAddresses []string
	random          *rand.Rand
	client          *http.Client

	// mutex guards requests and violations.
	mutex    sync.Mutex
	requests []*soakRequest
	// violations describes the guarantees that the system violated.
	violations []string
	unanswered sync.WaitGroup
}

// soakRequestInterval is the time between two requests.
const soakRequestInterval = 8 * time.Millisecond

// run sends requests in an open loop until ctx is cancelled, and waits for the last
// answers.
func (soakload *soakLoad) run(ctx context.Context) {
	kinds := []string{"burn", "burn", "read", "book"}
	for number := 0; ctx.Err() == nil; number++ {
		request := &soakRequest{
			id:       fmt.Sprintf("r%06d", number),
			kind:     kinds[number%len(kinds)],
			instance: soakload.random.IntN(len(soakload.callerAddresses)),
		}
		soakload.mutex.Lock()
		soakload.requests = append(soakload.requests, request)
		soakload.mutex.Unlock()
		soakload.unanswered.Add(1)
		go (&soakCall{load: soakload, request: request}).run()
		time.Sleep(soakRequestInterval)
	}
	soakload.unanswered.Wait()
}

// reportViolation records a violated guarantee; the test fails with it at its end.
func (soakload *soakLoad) reportViolation(format string, args ...any) {
	soakload.mutex.Lock()
	defer soakload.mutex.Unlock()
	soakload.violations = append(soakload.violations, fmt.Sprintf(format, args...))
}

// soakCall sends one request and records its result.
type soakCall struct {
	load    *soakLoad
	request *soakRequest
}

func (soakcall *soakCall) run() {
	load, request := soakcall.load, soakcall.request
	defer load.unanswered.Done()
	response, body, err := soakcall.exchange()
	load.mutex.Lock()
	request.endTime, request.err = time.Now(), err
	if err == nil {
		request.statusCode = response.StatusCode
	}
	load.mutex.Unlock()
	if err == nil && response.StatusCode == http.StatusOK {
		if problem := checkSoakAnswer(request, response, body); problem != "" {
			load.reportViolation("%s %s of instance %d: %s", request.kind, request.id, request.instance, problem)
		}
	}
}

// exchange sends the request and returns the response with its complete body.
func (soakcall *soakCall) exchange() (*http.Response, []byte, error) {
	request := soakcall.request
	method := http.MethodGet
	var body io.Reader
	if request.kind == "book" {
		method, body = http.MethodPost, strings.NewReader(request.id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), soakDeadline+time.Second)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+soakcall.load.callerAddresses[request.instance]+"/"+request.kind+"/x", body)
	if err != nil {
		return nil, nil, err
	}
	httpRequest.Host = soakHost
	// The client must not repeat a command on its own; it needs GetBody for that.
	httpRequest.GetBody = nil
	httpRequest.Header.Set(wire.DefaultHeaderNames.Identity, request.id)
	httpRequest.Header.Set(wire.DefaultHeaderNames.Deadline, fmt.Sprint(soakDeadline.Milliseconds()))
	soakcall.load.mutex.Lock()
	request.startTime = time.Now()
	soakcall.load.mutex.Unlock()
	response, err := soakcall.load.client.Do(httpRequest)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, text, err
}

// checkSoakAnswer checks that an answer is complete and belongs to the request, and
// that a merged answer reports its coverage correctly. It returns a description of the
// problem, or an empty string.
func checkSoakAnswer(request *soakRequest, response *http.Response, body []byte) string {
	if request.kind != "burn" {
		if !bytes.Equal(body, upstream.RelayedBody("ledger", request.id)) {
			return "the body differs from the answer of the replicas"
		}
		return ""
	}
	var records [][]byte
	shards := make(map[string]bool)
	for _, signature := range strings.Split(response.Header.Get(wire.DefaultHeaderNames.PartSignatures), ", ") {
		replica, id, _ := strings.Cut(signature, ".")
		shard, _, _ := strings.Cut(replica, "-")
		if id != request.id || shards[shard] {
			return "a part belongs to another request or is listed twice: " + signature
		}
		shards[shard] = true
		part := upstream.RelayedBody(shard, id)
		for ; len(part) >= 16; part = part[16:] {
			records = append(records, part[:16])
		}
	}
	if missing := fmt.Sprint(soakShards - len(shards)); missing != response.Header.Get(wire.DefaultHeaderNames.MissingParts) {
		return "the answer reports " + response.Header.Get(wire.DefaultHeaderNames.MissingParts) + " missing parts, but " + missing + " are missing"
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(body, slices.Concat(records[:min(len(records), soakTopK)]...)) {
		return "the body does not hold the greatest records of its parts"
	}
	return ""
}
