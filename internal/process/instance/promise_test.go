package instance_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/standin/trial"
	"github.com/mimosaspring/mimosaspring/internal/standin/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// promises holds the statuses that tell a caller that its request has not run and never
// will. A replica's 421 is no failure: it means the same there.
var promises = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// TestPromisesOfReplicas guards against a caller that repeats a command which has run,
// because the replica failed it with a status that promises that it has not. It lets all
// replicas run each request and fail it with one status, and checks what the caller gets
// on each path.
func TestPromisesOfReplicas(t *testing.T) {
	unchanged := func(status int) int { return status }
	tests := map[string]struct {
		path, method string
		statuses     []int
		// wantStatus returns the status for the caller.
		wantStatus func(status int) int
		// isSigned is set if the caller must get the signature of a replica, which goes
		// with its status only.
		isSigned bool
		// maxRuns is how often the request may run.
		maxRuns int
	}{
		"a command, a promise":               {path: "/book/x", method: http.MethodPost, statuses: promises, wantStatus: func(int) int { return http.StatusBadGateway }, maxRuns: 1},
		"a command, no promise":              {path: "/book/x", method: http.MethodPost, statuses: []int{400, 404, 409, 413, 425, 500, 502, 504, 507}, wantStatus: unchanged, isSigned: true, maxRuns: 1},
		"an idempotent request, a promise":   {path: "/read/x", method: http.MethodGet, statuses: promises, wantStatus: unchanged, isSigned: true, maxRuns: 2},
		"an idempotent request, no promise":  {path: "/read/x", method: http.MethodGet, statuses: []int{400, 404, 500, 504}, wantStatus: unchanged, isSigned: true, maxRuns: 2},
		"a merged request, through its home": {path: "/burn/x", method: http.MethodGet, statuses: append([]int{500, 504}, promises...), wantStatus: func(int) int { return http.StatusBadGateway }, maxRuns: 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, status := range test.statuses {
				runningTrial := startRelayTrial(t, 2)
				for _, server := range runningTrial.Fleets[0].Servers {
					server.Replica.SetFaults(upstream.Faults{FailAll: true, FailStatus: status})
				}
				for number := range 2 {
					identity := fmt.Sprintf("%s-%d-%d", strings.Trim(test.path, "/x"), status, number)
					request := relayedRequest{identity: identity, method: test.method, path: test.path, body: "plot", deadline: time.Second}
					response, body := request.send(t.Context(), runningTrial, number)
					assert.Equal(t, response.StatusCode, test.wantStatus(status), "replicas fail with %d: %s", status, body)
					signature := response.Header.Get(wire.DefaultHeaderNames.Signature)
					assert.Equal(t, signature != "", test.isSigned, "replicas fail with %d: signature %q", status, signature)
					runs := relayedRuns(runningTrial, identity)
					assert.Assert(t, runs >= 1 && runs <= test.maxRuns, "replicas fail with %d: %d runs", status, runs)
				}
			}
		})
	}
}

// TestPromisesOfOwnInterface is TestPromisesOfReplicas for the project's own interface:
// a failure of the replicas leaves the outcome unknown, whatever their status.
func TestPromisesOfOwnInterface(t *testing.T) {
	runningTrial := startTrial(t, trial.Options{InstanceCount: 2})
	for _, status := range append([]int{500, 504}, promises...) {
		for _, server := range runningTrial.Fleets[0].Servers {
			server.Replica.SetFaults(upstream.Faults{FailAll: true, FailStatus: status})
		}
		for number := range 2 {
			body := commandBody(10*status + number)
			command := api.Command{Scope: "small", Kind: "register", Body: body, Deadline: time.Second}
			result, err := runningTrial.Client(number).Command(t.Context(), command)
			assert.NilError(t, err)
			assert.Equal(t, result.Outcome, api.OutcomeUnknown, "replicas fail with %d: %s", status, result.Reason)
			assert.Equal(t, commandRuns(runningTrial, string(body)), 1)
			answer, err := runningTrial.Client(number).Query(t.Context(), api.Query{Scope: "small", Kind: "lookup", Deadline: 300 * time.Millisecond})
			assert.NilError(t, err)
			assert.Assert(t, answer.Outcome != api.OutcomeNotRun, "replicas fail with %d: %s", status, answer.Reason)
		}
	}
}
