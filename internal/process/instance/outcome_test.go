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

// commandsPerFault is the number of commands that are sent under each fault.
const commandsPerFault = 40

// TestOutcomesMatchRuns compares the outcome of every command with how often the
// replicas ran it, under faults of one or both replicas. A command reported as done
// has run once, one reported as not run has not run, and none has run twice.
func TestOutcomesMatchRuns(t *testing.T) {
	tests := map[string]struct {
		// faultsA and faultsB are the faults of the replicas ledger-a and
		// ledger-b; killA is set if ledger-a is killed.
		faultsA, faultsB upstream.Faults
		killA            bool
		deadline         time.Duration
	}{
		"no fault":                  {deadline: time.Second},
		"both shed":                 {faultsA: upstream.Faults{ShedAll: true}, faultsB: upstream.Faults{ShedAll: true}, deadline: time.Second},
		"one sheds":                 {faultsA: upstream.Faults{ShedAll: true}, deadline: time.Second},
		"one leaves":                {faultsA: upstream.Faults{IsLeaving: true}, deadline: time.Second},
		"one leaves silently":       {faultsA: upstream.Faults{IsLeaving: true, HideLeaving: true}, deadline: time.Second},
		"both fail after the run":   {faultsA: upstream.Faults{FailAll: true}, faultsB: upstream.Faults{FailAll: true}, deadline: time.Second},
		"one truncates":             {faultsA: upstream.Faults{Truncate: true}, deadline: time.Second},
		"both answer late":          {faultsA: upstream.Faults{ReplyDelay: 300 * time.Millisecond}, faultsB: upstream.Faults{ReplyDelay: 300 * time.Millisecond}, deadline: 150 * time.Millisecond},
		"both hang":                 {faultsA: upstream.Faults{Hang: true}, faultsB: upstream.Faults{Hang: true}, deadline: 150 * time.Millisecond},
		"both slow, short deadline": {faultsA: upstream.Faults{SlowdownFactor: 30}, faultsB: upstream.Faults{SlowdownFactor: 30}, deadline: 60 * time.Millisecond},
		"one killed":                {killA: true, deadline: time.Second},
		"one killed, one hangs":     {killA: true, faultsB: upstream.Faults{Hang: true}, deadline: 150 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runningTrial := startTrial(t, trial.Options{InstanceCount: 3})
			fleet := runningTrial.Fleets[0]
			fleet.ServerByName["ledger-a"].Replica.SetFaults(test.faultsA)
			fleet.ServerByName["ledger-b"].Replica.SetFaults(test.faultsB)
			if test.killA {
				fleet.ServerByName["ledger-a"].Close()
			}
			results := sendCommands(t, runningTrial, test.deadline)
			for number, result := range results {
				runs := commandRuns(runningTrial, string(commandBody(number)))
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

// sendCommands sends commands concurrently to all instances and returns their
// results. It then waits 200 ms, so that a run that ends after its result is counted.
func sendCommands(t *testing.T, runningTrial *trial.Trial, deadline time.Duration) []api.Result {
	t.Helper()
	results := make([]api.Result, commandsPerFault)
	var calls sync.WaitGroup
	for number := range results {
		calls.Go(func() {
			command := api.Command{Scope: "small", Kind: "register", Body: commandBody(number), Deadline: deadline}
			result, err := runningTrial.Client(number%3).Command(t.Context(), command)
			assert.Check(t, err)
			results[number] = result
		})
	}
	calls.Wait()
	time.Sleep(200 * time.Millisecond)
	return results
}

// TestRefusalBeforeSending checks that an instance with Callers.MaxInFlight requests
// in flight refuses further queries before it sends anything to replicas for them.
func TestRefusalBeforeSending(t *testing.T) {
	runningTrial := startTrial(t, trial.Options{
		InstanceCount:  3,
		ChangeSettings: func(settings *settings.Settings) { settings.Callers.MaxInFlight = 1 },
	})
	for _, server := range runningTrial.Fleets[0].Servers {
		server.Replica.SetFaults(upstream.Faults{SlowdownFactor: 50})
	}
	var calls sync.WaitGroup
	var mutex sync.Mutex
	sentCount, refusedCount := 0, 0
	for range 20 {
		calls.Go(func() {
			answer, err := runningTrial.Client(0).Query(t.Context(), api.Query{Scope: "small", Kind: "lookup", Deadline: time.Second})
			assert.Check(t, err)
			mutex.Lock()
			defer mutex.Unlock()
			sentCount += answer.SentRequests
			if answer.Outcome == api.OutcomeNotRun {
				refusedCount++
			}
		})
	}
	calls.Wait()
	assert.Assert(t, refusedCount > 0)
	arrivedCount := 0
	for _, server := range runningTrial.Fleets[0].Servers {
		arrivedCount += int(server.Replica.Counts().ReceivedRequests)
	}
	assert.Assert(t, arrivedCount <= sentCount, "%d requests at replicas, %d sent by queries that ran", arrivedCount, sentCount)
}
