package instance_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/standin/trial"
	"github.com/mimosaspring/mimosaspring/internal/standin/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
)

const commandsPerFault = 40

// TestOutcomesAreTrue compares the outcome of every command with how often
// the replicas ran it, under each fault of one or both replicas.
func TestOutcomesAreTrue(t *testing.T) {
	tests := map[string]struct {
		first, second upstream.Faults
		kill          bool
		deadline      time.Duration
	}{
		"none":                 {deadline: time.Second},
		"both shed":            {first: upstream.Faults{ShedAll: true}, second: upstream.Faults{ShedAll: true}, deadline: time.Second},
		"one sheds":            {first: upstream.Faults{ShedAll: true}, deadline: time.Second},
		"one leaves":           {first: upstream.Faults{IsLeaving: true}, deadline: time.Second},
		"one leaves unsaid":    {first: upstream.Faults{IsLeaving: true, HideLeaving: true}, deadline: time.Second},
		"both fail after run":  {first: upstream.Faults{FailAll: true}, second: upstream.Faults{FailAll: true}, deadline: time.Second},
		"one truncates":        {first: upstream.Faults{Truncate: true}, deadline: time.Second},
		"both late":            {first: upstream.Faults{ReplyDelay: 300 * time.Millisecond}, second: upstream.Faults{ReplyDelay: 300 * time.Millisecond}, deadline: 150 * time.Millisecond},
		"both hang":            {first: upstream.Faults{Hang: true}, second: upstream.Faults{Hang: true}, deadline: 150 * time.Millisecond},
		"slow and short":       {first: upstream.Faults{SlowdownFactor: 30}, second: upstream.Faults{SlowdownFactor: 30}, deadline: 60 * time.Millisecond},
		"one killed":           {kill: true, deadline: time.Second},
		"one killed, one hang": {kill: true, second: upstream.Faults{Hang: true}, deadline: 150 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			running := startTrial(t, trial.Options{InstanceCount: 3})
			fleet := running.Fleets[0]
			fleet.ServerByName["ledger-a"].Replica.SetFaults(test.first)
			fleet.ServerByName["ledger-b"].Replica.SetFaults(test.second)
			if test.kill {
				fleet.ServerByName["ledger-a"].Close()
			}
			results := sendCommands(t, running, test.deadline)
			for number, result := range results {
				runs := runsOf(running, string(body(number)))
				switch result.Outcome {
				case api.OutcomeDone:
					assert.Equal(t, runs, 1, "command %d is done", number)
				case api.OutcomeNotRun:
					assert.Equal(t, runs, 0, "command %d is not run: %s", number, result.Reason)
				default:
					assert.Assert(t, runs <= 1, "command %d ran %d times", number, runs)
				}
			}
		})
	}
}

// sendCommands sends commands at once over all instances, and waits a moment
// so that what still runs at a replica is counted.
func sendCommands(t *testing.T, running *trial.Trial, deadline time.Duration) []api.Result {
	t.Helper()
	results := make([]api.Result, commandsPerFault)
	var calls sync.WaitGroup
	for number := range results {
		calls.Go(func() {
			command := api.Command{Scope: "small", Kind: "register", Body: body(number), Deadline: deadline}
			result, err := running.Client(number%3).Command(t.Context(), command)
			assert.Check(t, err)
			results[number] = result
		})
	}
	calls.Wait()
	time.Sleep(200 * time.Millisecond)
	return results
}

// TestRefusalBeforeWork checks that an instance that serves its most requests
// refuses queries before any replica sees them.
func TestRefusalBeforeWork(t *testing.T) {
	running := startTrial(t, trial.Options{
		InstanceCount:  3,
		ChangeSettings: func(settings *settings.Settings) { settings.Callers.MaxInFlight = 1 },
	})
	for _, server := range running.Fleets[0].Servers {
		server.Replica.SetFaults(upstream.Faults{SlowdownFactor: 50})
	}
	var calls sync.WaitGroup
	var mutex sync.Mutex
	sent, refused := 0, 0
	for range 20 {
		calls.Go(func() {
			answer, err := running.Client(0).Query(t.Context(), api.Query{Scope: "small", Kind: "lookup", Deadline: time.Second})
			assert.Check(t, err)
			mutex.Lock()
			defer mutex.Unlock()
			sent += answer.SentRequests
			if answer.Outcome == api.OutcomeNotRun {
				refused++
			}
		})
	}
	calls.Wait()
	assert.Assert(t, refused > 0)
	arrived := 0
	for _, server := range running.Fleets[0].Servers {
		arrived += int(server.Replica.Counts().ReceivedRequests)
	}
	assert.Assert(t, arrived <= sent, "%d requests at replicas, %d sent by queries that ran", arrived, sent)
}
