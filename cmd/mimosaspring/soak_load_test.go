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
	// soakTopK is how many records a merged answer holds at most.
	soakTopK = 10
	// soakDeadline is how long callers wait.
	soakDeadline = time.Second
)

// soakRequest is one request with its answer.
type soakRequest struct {
	identity string
	kind     string
	entry    int
	sent     time.Time
	ended    time.Time
	// code is 0 where no whole answer came.
	code int
	err  error
}

// soakLoad sends requests to all instances until it is stopped, and checks
// each answer by itself.
type soakLoad struct {
	entries []string
	random  *rand.Rand
	client  *http.Client

	mutex      sync.Mutex
	requests   []*soakRequest
	violations []string
	waiting    sync.WaitGroup
}

// soakGap is the time between two requests.
const soakGap = 8 * time.Millisecond

// run sends requests in an open loop.
func (soakload *soakLoad) run(ctx context.Context) {
	kinds := []string{"burn", "burn", "read", "book"}
	for number := 0; ctx.Err() == nil; number++ {
		request := &soakRequest{
			identity: fmt.Sprintf("r%06d", number),
			kind:     kinds[number%len(kinds)],
			entry:    soakload.random.IntN(len(soakload.entries)),
		}
		soakload.mutex.Lock()
		soakload.requests = append(soakload.requests, request)
		soakload.mutex.Unlock()
		soakload.waiting.Add(1)
		go (&soakCall{load: soakload, request: request}).run()
		time.Sleep(soakGap)
	}
	soakload.waiting.Wait()
}

func (soakload *soakLoad) violate(format string, args ...any) {
	soakload.mutex.Lock()
	defer soakload.mutex.Unlock()
	soakload.violations = append(soakload.violations, fmt.Sprintf(format, args...))
}

// soakCall sends one request.
type soakCall struct {
	load    *soakLoad
	request *soakRequest
}

func (soakcall *soakCall) run() {
	load, sent := soakcall.load, soakcall.request
	defer load.waiting.Done()
	response, body, err := soakcall.exchange()
	load.mutex.Lock()
	sent.ended, sent.err = time.Now(), err
	if err == nil {
		sent.code = response.StatusCode
	}
	load.mutex.Unlock()
	if err == nil && response.StatusCode == http.StatusOK {
		if problem := checkSoakAnswer(sent, response, body); problem != "" {
			load.violate("%s %s of instance %d: %s", sent.kind, sent.identity, sent.entry, problem)
		}
	}
}

func (soakcall *soakCall) exchange() (*http.Response, []byte, error) {
	sent := soakcall.request
	method := http.MethodGet
	var body io.Reader
	if sent.kind == "book" {
		method, body = http.MethodPost, strings.NewReader(sent.identity)
	}
	ctx, cancel := context.WithTimeout(context.Background(), soakDeadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+soakcall.load.entries[sent.entry]+"/"+sent.kind+"/x", body)
	if err != nil {
		return nil, nil, err
	}
	request.Host = soakHost
	// The client must not send a request again by itself.
	request.GetBody = nil
	request.Header.Set(wire.DefaultHeaderNames.Identity, sent.identity)
	request.Header.Set(wire.DefaultHeaderNames.Deadline, fmt.Sprint(soakDeadline.Milliseconds()))
	soakcall.load.mutex.Lock()
	sent.sent = time.Now()
	soakcall.load.mutex.Unlock()
	response, err := soakcall.load.client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, text, err
}

// checkSoakAnswer checks that an answer is whole and the request's own, and
// that a merged one states its coverage truthfully. It returns what is wrong.
func checkSoakAnswer(sent *soakRequest, response *http.Response, body []byte) string {
	if sent.kind != "burn" {
		if !bytes.Equal(body, upstream.Records("ledger", sent.identity)) {
			return "the body is not the replica's"
		}
		return ""
	}
	var records [][]byte
	shards := make(map[string]bool)
	for _, signature := range strings.Split(response.Header.Get(wire.DefaultHeaderNames.PartSignatures), ", ") {
		replica, identity, _ := strings.Cut(signature, ".")
		shard, _, _ := strings.Cut(replica, "-")
		if identity != sent.identity || shards[shard] {
			return "the parts are not its own, or named twice: " + signature
		}
		shards[shard] = true
		part := upstream.Records(shard, identity)
		for ; len(part) >= 16; part = part[16:] {
			records = append(records, part[:16])
		}
	}
	if missing := fmt.Sprint(soakShards - len(shards)); missing != response.Header.Get(wire.DefaultHeaderNames.MissingParts) {
		return "it names " + response.Header.Get(wire.DefaultHeaderNames.MissingParts) + " missing parts, but " + missing + " are"
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(body, slices.Concat(records[:min(len(records), soakTopK)]...)) {
		return "the body is not the greatest records of its parts"
	}
	return ""
}
