package instance_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/standin/deployment"
	"github.com/mimosaspring/mimosaspring/internal/standin/trial"
	"github.com/mimosaspring/mimosaspring/internal/standin/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

const relayHost = "trials.example"

// relayPlan is a small deployment whose scopes take requests of the callers'
// own form.
func relayPlan() deployment.Plan {
	route := func(prefix string) []api.Route {
		return []api.Route{{Host: relayHost, Prefix: prefix, Kind: "all"}}
	}
	plan := smallPlan()
	plan.Scopes = []api.Scope{
		{
			Name: "burn", Tenant: "batinah", Class: "lookup", Index: "small", Aim: api.AimLatency, Form: api.FormMerged, TopK: 10, MinCoverage: 0.5,
			MaxAttempts: 2, TargetLatency: api.Duration{Duration: 300 * time.Millisecond}, Timeout: api.Duration{Duration: time.Second},
			Selectors: []api.Selector{{Kind: "all", Shards: map[string][]string{"group": {"desk"}}}}, Routes: route("/burn/"),
		},
		{
			Name: "read", Tenant: "batinah", Class: "ledger", Aim: api.AimLatency, Form: api.FormRelayed, MaxAttempts: 2,
			TrafficSplit: []api.UpstreamWeight{{Upstream: "ledger", Weight: 1}}, Timeout: api.Duration{Duration: time.Second}, Routes: route("/read/"),
		},
		{
			Name: "book", Tenant: "batinah", Class: "ledger", Aim: api.AimLatency, Form: api.FormRelayed, MaxAttempts: 2, IsCommand: true,
			TrafficSplit: []api.UpstreamWeight{{Upstream: "ledger", Weight: 1}}, Timeout: api.Duration{Duration: 5 * time.Second}, Routes: route("/book/"),
		},
	}
	return plan
}

func startRelayTrial(t *testing.T, instances int) *trial.Trial {
	t.Helper()
	options := trial.Options{Plans: []deployment.Plan{relayPlan()}, PolicySet: "default", Instances: instances}
	options.Change = func(chosen *settings.Settings) {
		chosen.Shutdown.LeaveTime.Duration = 300 * time.Millisecond
		chosen.Shutdown.DrainTimeout.Duration = 500 * time.Millisecond
	}
	running, err := trial.Start(t.Context(), options)
	assert.NilError(t, err)
	t.Cleanup(running.Close)
	return running
}

// relayed is one request of a caller's own form.
type relayed struct {
	identity string
	method   string
	path     string
	body     string
	deadline time.Duration
}

func (relayed relayed) request(ctx context.Context, address string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, relayed.method, "http://"+address+relayed.path, strings.NewReader(relayed.body))
	if err != nil {
		return nil, err
	}
	request.Host = relayHost
	if relayed.identity != "" {
		request.Header.Set(wire.DefaultHeaderNames.Identity, relayed.identity)
	}
	if relayed.deadline > 0 {
		request.Header.Set(wire.DefaultHeaderNames.Deadline, fmt.Sprint(relayed.deadline.Milliseconds()))
	}
	return request, nil
}

// send sends the request and returns the answer with its body read; the code
// is 0 where there was none.
func (relayed relayed) send(ctx context.Context, running *trial.Trial, number int) (*http.Response, []byte) {
	request, err := relayed.request(ctx, running.Instances[number].CallerAddress)
	if err != nil {
		return &http.Response{}, nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return &http.Response{}, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return &http.Response{}, nil
	}
	return response, body
}

// runsRelayed returns how often all replicas ran a relayed request.
func runsRelayed(running *trial.Trial, identity string) int {
	runs := 0
	for _, server := range running.Fleets[0].Replicas {
		runs += server.Replica.Counts().Relayed[identity].Runs
	}
	return runs
}

// TestMergedAnswer checks that a merged answer holds the greatest records of
// just the parts that it signs for, and counts the others.
func TestMergedAnswer(t *testing.T) {
	tests := map[string]struct {
		down    []string
		faults  upstream.Faults
		faulty  []string
		code    int
		missing string
	}{
		"all shards":            {code: http.StatusOK, missing: "0"},
		"one shard is down":     {down: []string{"desk-01-a", "desk-01-b"}, code: http.StatusOK, missing: "1"},
		"three shards are down": {down: []string{"desk-01-a", "desk-01-b", "desk-02-a", "desk-02-b", "desk-03-a", "desk-03-b"}, code: http.StatusBadGateway},
		"a replica cuts bodies": {faults: upstream.Faults{Truncate: true}, faulty: []string{"desk-02-a"}, code: http.StatusOK, missing: "0"},
		"a shard only fails":    {faults: upstream.Faults{Fail: true}, faulty: []string{"desk-02-a", "desk-02-b"}, code: http.StatusOK, missing: "1"},
		"a shard hangs":         {faults: upstream.Faults{Hang: true}, faulty: []string{"desk-02-a", "desk-02-b"}, code: http.StatusOK, missing: "1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			running := startRelayTrial(t, 2)
			fleet := running.Fleets[0]
			for _, replica := range test.down {
				fleet.ByName[replica].Close()
			}
			for _, replica := range test.faulty {
				fleet.ByName[replica].Replica.Order(test.faults)
			}
			for number := range 10 {
				identity := fmt.Sprintf("q-%d", number)
				sent := relayed{identity: identity, method: http.MethodGet, path: "/burn/7", deadline: time.Second}
				response, body := sent.send(t.Context(), running, number%2)
				assert.Equal(t, response.StatusCode, test.code, "%s", body)
				if test.code == http.StatusOK {
					assert.Equal(t, response.Header.Get(wire.DefaultHeaderNames.MissingParts), test.missing)
					checkMerged(t, response, body, identity)
				}
			}
		})
	}
}

func checkMerged(t *testing.T, response *http.Response, body []byte, identity string) {
	t.Helper()
	var bodies [][]byte
	for _, signature := range strings.Split(response.Header.Get(wire.DefaultHeaderNames.PartSignatures), ", ") {
		replica, named, _ := strings.Cut(signature, ".")
		assert.Equal(t, named, identity)
		records := upstream.Records(replica[:len(replica)-2], identity)
		for ; len(records) >= 16; records = records[16:] {
			bodies = append(bodies, records[:16])
		}
	}
	slices.SortFunc(bodies, func(a, b []byte) int { return bytes.Compare(b, a) })
	assert.Assert(t, bytes.Equal(body, slices.Concat(bodies[:10]...)))
}

// TestRelayedOutcomesAreTrue compares the answer to every non-idempotent
// request with how often the replicas ran it, under each fault: it runs once
// at most, and not at all where the answer says so.
func TestRelayedOutcomesAreTrue(t *testing.T) {
	shed, hang := upstream.Faults{Shed: true}, upstream.Faults{Hang: true}
	tests := map[string]struct {
		first, second upstream.Faults
		kill          bool
		// want holds the allowed codes; nil where any is.
		want []int
	}{
		"none":                 {want: []int{http.StatusOK}},
		"both shed":            {first: shed, second: shed, want: []int{http.StatusServiceUnavailable}},
		"one sheds":            {first: shed, want: []int{http.StatusOK}},
		"one leaves":           {first: upstream.Faults{Leaving: true}, want: []int{http.StatusOK}},
		"both fail after run":  {first: upstream.Faults{Fail: true}, second: upstream.Faults{Fail: true}, want: []int{http.StatusInternalServerError}},
		"one truncates":        {first: upstream.Faults{Truncate: true}},
		"both hang":            {first: hang, second: hang, want: []int{http.StatusGatewayTimeout, http.StatusInternalServerError, http.StatusServiceUnavailable}},
		"one killed":           {kill: true, want: []int{http.StatusOK}},
		"one killed, one hang": {kill: true, second: hang, want: []int{http.StatusGatewayTimeout, http.StatusInternalServerError, http.StatusServiceUnavailable}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			running := startRelayTrial(t, 2)
			fleet := running.Fleets[0]
			fleet.ByName["ledger-a"].Replica.Order(test.first)
			fleet.ByName["ledger-b"].Replica.Order(test.second)
			if test.kill {
				fleet.ByName["ledger-a"].Close()
			}
			codes := sendBookings(t, running)
			for number, code := range codes {
				runs := runsRelayed(running, fmt.Sprintf("b-%d", number))
				assert.Assert(t, runs <= 1, "request %d ran %d times", number, runs)
				assert.Assert(t, test.want == nil || slices.Contains(test.want, code), "request %d: %d", number, code)
				switch code {
				case http.StatusOK:
					assert.Equal(t, runs, 1, "request %d is answered", number)
				case http.StatusServiceUnavailable:
					assert.Equal(t, runs, 0, "request %d is refused", number)
				}
			}
		})
	}
}

// sendBookings sends non-idempotent requests over all instances, and waits a
// moment so that what still runs at a replica is counted.
func sendBookings(t *testing.T, running *trial.Trial) []int {
	t.Helper()
	codes := make([]int, 24)
	var calls sync.WaitGroup
	for number := range codes {
		calls.Go(func() {
			sent := relayed{identity: fmt.Sprintf("b-%d", number), method: http.MethodPost, path: "/book/x", body: "plot", deadline: 400 * time.Millisecond}
			response, _ := sent.send(t.Context(), running, number%2)
			codes[number] = response.StatusCode
		})
	}
	calls.Wait()
	time.Sleep(100 * time.Millisecond)
	return codes
}

// TestRelayedRequestIsUnchanged checks what reaches a replica of a request
// with a body of either framing.
func TestRelayedRequestIsUnchanged(t *testing.T) {
	running := startRelayTrial(t, 1)
	tests := map[string]struct {
		method, path, body string
		isChunked          bool
	}{
		"no body":            {method: http.MethodGet, path: "/read/a%2fb?q=%20x&&"},
		"a body of a length": {method: http.MethodPost, path: "/book/x?y", body: "sample"},
		"a chunked body":     {method: http.MethodPut, path: "/book//x/../y", body: strings.Repeat("sample ", 2_000), isChunked: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			identity := strings.ReplaceAll(name, " ", "-")
			sent := relayed{identity: identity, method: test.method, path: test.path, body: test.body, deadline: time.Second}
			request, err := sent.request(t.Context(), running.Instances[0].CallerAddress)
			assert.NilError(t, err)
			if test.isChunked {
				request.ContentLength = -1
			}
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, http.StatusOK)
			for _, server := range running.Fleets[0].Replicas {
				if run, hasRun := server.Replica.Counts().Relayed[identity]; hasRun {
					assert.Equal(t, run, upstream.RelayedRun{Method: test.method, Target: test.path, Body: test.body, Runs: 1})
				}
			}
			assert.Equal(t, runsRelayed(running, identity), 1)
		})
	}
}

// TestRelayedRefusals checks the answers to requests that go nowhere.
func TestRelayedRefusals(t *testing.T) {
	running := startRelayTrial(t, 1)
	tests := map[string]struct {
		sent relayed
		code int
	}{
		"no route":        {sent: relayed{identity: "r", method: http.MethodGet, path: "/none/x"}, code: http.StatusNotFound},
		"no identity":     {sent: relayed{method: http.MethodGet, path: "/read/x"}, code: http.StatusBadRequest},
		"a body too long": {sent: relayed{identity: "r", method: http.MethodPost, path: "/book/x", body: strings.Repeat("x", 257<<10)}, code: http.StatusRequestEntityTooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response, _ := test.sent.send(t.Context(), running, 0)
			assert.Equal(t, response.StatusCode, test.code)
			assert.Equal(t, runsRelayed(running, "r"), 0)
		})
	}
}

// TestRelayedCallerLeaves checks that a replica is told soon after the caller
// of an idempotent request has gone.
func TestRelayedCallerLeaves(t *testing.T) {
	running := startRelayTrial(t, 1)
	for _, name := range []string{"ledger-a", "ledger-b"} {
		running.Fleets[0].ByName[name].Replica.Order(upstream.Faults{Slow: 1_000})
	}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	sent := relayed{identity: "gone", method: http.MethodGet, path: "/read/x", deadline: time.Second}
	response, _ := sent.send(ctx, running, 0)
	assert.Equal(t, response.StatusCode, 0)
	await(t, 300*time.Millisecond, func() bool {
		busy := 0
		for _, name := range []string{"ledger-a", "ledger-b"} {
			busy += running.Fleets[0].ByName[name].Replica.Busy()
		}
		return busy == 0
	})
}

// TestRelayedStop stops an instance while requests wait on it that outlast its
// drain, and more come in: each that was passed on is answered.
func TestRelayedStop(t *testing.T) {
	running := startRelayTrial(t, 2)
	for _, name := range []string{"ledger-a", "ledger-b"} {
		running.Fleets[0].ByName[name].Replica.Order(upstream.Faults{Slow: 1_000})
	}
	var calls sync.WaitGroup
	codes := make([]int, 20)
	for number := range codes {
		calls.Go(func() {
			time.Sleep(time.Duration(number) * 40 * time.Millisecond)
			sent := relayed{identity: fmt.Sprintf("s-%d", number), method: http.MethodPost, path: "/book/x", deadline: 4 * time.Second}
			response, _ := sent.send(t.Context(), running, 0)
			codes[number] = response.StatusCode
		})
	}
	time.Sleep(100 * time.Millisecond)
	running.Instances[0].Stop(t.Context())
	calls.Wait()
	for number, code := range codes {
		runs := runsRelayed(running, fmt.Sprintf("s-%d", number))
		assert.Assert(t, code != 0 || runs == 0, "request %d ran and was not answered", number)
	}
}
