package caller_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mimosaspring/mimosaspring/internal/command/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/cbor"
)

func newMember(name string) api.Member {
	return api.Member{Instance: api.Instance{Name: name, PeerAddress: name}, Incarnation: 5}
}

// replica answers every command with the same outcome after a fixed latency, and
// counts the runs of each command body.
type replica struct {
	mutex   sync.Mutex
	runs    map[string]int
	outcome api.Outcome
	latency time.Duration
}

func (replica *replica) send(ctx context.Context, command api.Command) api.Result {
	replica.mutex.Lock()
	if replica.runs == nil {
		replica.runs = make(map[string]int)
	}
	outcome := replica.outcome
	if outcome != api.OutcomeNotRun {
		replica.runs[string(command.Body)]++
	}
	replica.mutex.Unlock()
	select {
	case <-time.After(replica.latency):
		return api.Result{Outcome: outcome}
	case <-ctx.Done():
		return api.Result{Outcome: api.OutcomeUnknown}
	}
}

func newHome(t assert.TestingT, name string, replica *replica) *caller.Home {
	home, err := caller.NewHome(newMember(name), settings.Default().Callers, replica.send)
	assert.NilError(t, err)
	return home
}

// issue returns the text of a new key of home.
func issue(t assert.TestingT, home *caller.Home) string {
	issued, err := home.Issue(time.Now())
	assert.NilError(t, err)
	return issued.Key
}

// TestHomeRefuses checks that a home runs no command with a malformed, forged,
// outdated or expired key.
func TestHomeRefuses(t *testing.T) {
	tests := map[string]struct {
		key         func(t *testing.T, home *caller.Home) string
		wantOutcome api.Outcome
		wantInvalid bool
	}{
		"text that is no key": {
			key:         func(*testing.T, *caller.Home) string { return "plot-17" },
			wantOutcome: api.OutcomeNotRun, wantInvalid: true,
		},
		"forged signature": {
			key: func(t *testing.T, home *caller.Home) string {
				signed, err := cbor.DecodeKey(issue(t, home))
				assert.NilError(t, err)
				signed.Key.Nonce++
				text, err := cbor.EncodeKey(signed)
				assert.NilError(t, err)
				return text
			},
			wantOutcome: api.OutcomeNotRun, wantInvalid: true,
		},
		"key of an earlier incarnation": {
			key: func(t *testing.T, home *caller.Home) string {
				signed, err := cbor.DecodeKey(issue(t, home))
				assert.NilError(t, err)
				signed.Key.Incarnation--
				text, err := cbor.EncodeKey(signed)
				assert.NilError(t, err)
				return text
			},
			wantOutcome: api.OutcomeUnknown,
		},
		"expired key": {
			key: func(t *testing.T, home *caller.Home) string {
				key := issue(t, home)
				time.Sleep(11 * time.Minute)
				return key
			},
			wantOutcome: api.OutcomeUnknown,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replica := &replica{outcome: api.OutcomeDone}
				home := newHome(t, "e1", replica)
				result := home.Run(t.Context(), api.Command{Key: test.key(t, home), Body: []byte("1")})
				assert.Equal(t, result.Outcome, test.wantOutcome)
				assert.Equal(t, result.IsInvalid, test.wantInvalid)
				assert.Equal(t, len(replica.runs), 0)
			})
		})
	}
}

// TestCommandContinuesAfterCallerLeaves checks that a command goes on after its
// caller's context is cancelled, and still ends at its deadline.
func TestCommandContinuesAfterCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica := &replica{outcome: api.OutcomeDone, latency: time.Second}
		home := newHome(t, "e1", replica)
		command := api.Command{Key: issue(t, home), Body: []byte("1")}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		time.AfterFunc(100*time.Millisecond, cancel)
		assert.Equal(t, home.Run(ctx, command).Outcome, api.OutcomeDone)
		replica.latency = time.Minute
		command = api.Command{Key: issue(t, home), Body: []byte("2")}
		ctx, cancel = context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		start := time.Now()
		assert.Equal(t, home.Run(ctx, command).Outcome, api.OutcomeUnknown)
		assert.Equal(t, time.Since(start), 2*time.Second)
	})
}

// TestKeyRunsOnce repeats a command with the same key before, while and after its
// home stops and hands over to a successor. It checks that the command runs at most
// once, and that no answer contradicts whether it ran.
func TestKeyRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica := &replica{
			outcome: rapid.SampledFrom([]api.Outcome{api.OutcomeDone, api.OutcomeUnknown, api.OutcomeNotRun}).Draw(t, "outcome"),
			latency: time.Duration(rapid.IntRange(0, 3).Draw(t, "latency")) * time.Millisecond,
		}
		home, successor := newHome(t, "e1", replica), newHome(t, "e2", replica)
		key := issue(t, home)
		repeats := rapid.IntRange(1, 6).Draw(t, "repeats")
		results := make([]api.Result, 2*repeats)
		for range rapid.IntRange(0, 2).Draw(t, "early") {
			results = append(results, runCommand(home, key))
		}
		var calls sync.WaitGroup
		for number := range repeats {
			calls.Go(func() { results[number] = runCommand(home, key) })
		}
		home.Close(context.Background())
		successor.AcceptHandover(home.Handover(time.Now()))
		calls.Wait()
		for number := range repeats {
			results[repeats+number] = runCommand(successor, key)
		}
		runs := replica.runs["1"]
		assert.Assert(t, runs <= 1, "ran %d times", runs)
		for _, result := range results {
			assert.Assert(t, result.Outcome != api.OutcomeNotRun || runs == 0, "the outcome is not run, but the command ran: %s", result.Reason)
			assert.Assert(t, result.Outcome != api.OutcomeDone || runs == 1, "the outcome is done, but the command never ran")
		}
	})
}

// runCommand runs a command with key and the body "1" for at most a second.
func runCommand(home *caller.Home, key string) api.Result {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return home.Run(ctx, api.Command{Key: key, Body: []byte("1")})
}

// TestFindHome checks which member answers for a key, by the state and the
// incarnation of the key's home, and that the result is unknown if none does.
func TestFindHome(t *testing.T) {
	tests := map[string]struct {
		state        api.MemberState
		incarnation  uint64
		stoppedHomes []api.StoppedHome
		wantMember   string
	}{
		"alive":                      {state: api.MemberAlive, incarnation: 5, wantMember: "e1"},
		"suspect":                    {state: api.MemberSuspect, incarnation: 5, wantMember: "e1"},
		"failed":                     {state: api.MemberFailed, incarnation: 5},
		"restarted":                  {state: api.MemberAlive, incarnation: 4},
		"stopped with a successor":   {state: api.MemberLeft, incarnation: 5, stoppedHomes: []api.StoppedHome{{Home: "e1", Incarnation: 5, Successor: "e2"}}, wantMember: "e2"},
		"stopped and started again":  {state: api.MemberAlive, incarnation: 4, stoppedHomes: []api.StoppedHome{{Home: "e1", Incarnation: 4, Successor: "e2"}}, wantMember: "e2"},
		"stopped, successor unknown": {state: api.MemberLeft, incarnation: 5, stoppedHomes: []api.StoppedHome{{Home: "e1", Incarnation: 5, Successor: "e9"}}},
		"stopped, no successor":      {state: api.MemberLeft, incarnation: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			home := newMember("e1")
			home.State = test.state
			current := &view.View{Members: map[string]api.Member{"e1": home, "e2": newMember("e2")}}
			for _, stopped := range test.stoppedHomes {
				current.StoppedHomes = append(current.StoppedHomes, view.Timestamped[api.StoppedHome]{Value: stopped})
			}
			target, result := caller.FindHome(current, api.IdempotencyKey{Home: "e1", Incarnation: test.incarnation})
			assert.Equal(t, target.Instance.Name, test.wantMember)
			assert.Equal(t, result == nil, test.wantMember != "")
			if result != nil {
				assert.Equal(t, result.Outcome, api.OutcomeUnknown)
			}
		})
	}
}
