package instance_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/standin/deployment"
	"github.com/mimosaspring/mimosaspring/internal/standin/trial"
	"github.com/mimosaspring/mimosaspring/internal/standin/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// TestLateCopyOfRefusal guards against a late second copy of a refusal that is taken for
// the answer to the next offer of the same request, which then runs twice.
func TestLateCopyOfRefusal(t *testing.T) {
	tests := map[string]struct {
		method, path string
		// wantRuns is the number of replicas that run each request.
		wantRuns int
	}{
		"a command":             {method: http.MethodPost, path: "/book/7", wantRuns: 1},
		"an idempotent request": {method: http.MethodGet, path: "/read/7", wantRuns: 1},
		"a merged query":        {method: http.MethodGet, path: "/burn/7", wantRuns: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plan := relayPlan()
			for number := range plan.Scopes {
				plan.Scopes[number].TargetLatency = api.Duration{Duration: 2 * time.Second}
				plan.Scopes[number].Timeout = api.Duration{Duration: 5 * time.Second}
			}
			runningTrial, err := trial.Start(t.Context(), trial.Options{Plans: []deployment.Plan{plan}, PolicySet: "default", InstanceCount: 1})
			assert.NilError(t, err)
			t.Cleanup(runningTrial.Close)
			for _, server := range runningTrial.Fleets[0].Servers {
				server.Replica.SetFaults(upstream.Faults{RefusedOffers: 1, RepeatRefusals: true})
			}
			for number := range 5 {
				identity := fmt.Sprintf("request-%d", number)
				request := relayedRequest{identity: identity, method: test.method, path: test.path, deadline: 4 * time.Second}
				response, _ := request.send(t.Context(), runningTrial, 0)
				assert.Check(t, response.StatusCode == http.StatusOK, "status %d", response.StatusCode)
				assert.Check(t, relayedRuns(runningTrial, identity) == test.wantRuns, "%s ran %d times", identity, relayedRuns(runningTrial, identity))
			}
		})
	}
}
