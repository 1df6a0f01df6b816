package peer_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mimosaspring/mimosaspring/internal/schedule/peer"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/budget"
)

// startSeeds names the seeds of the fleet.
var startSeeds = []string{"0", "1", "2"}

// process is one life of an instance.
type process struct {
	startedAt time.Duration
	budget    *budget.Budget
	// delay is how long after a change of the fleet the process learns of it.
	delay time.Duration
}

// memberChange is a change of the fleet: a process that starts, fails or leaves.
type memberChange struct {
	at    time.Duration
	name  string
	state api.MemberState
	// startedAt is when the process started.
	startedAt time.Duration
}

// lives is a fleet whose processes start and end at any time.
type lives struct {
	limits  budget.Limits
	now     time.Duration
	changes []memberChange
	running map[string]*process
	// firsts and extras hold when requests were sent, by all processes.
	firsts, extras []time.Duration
}

// membersOf returns the members that a process knows, and since when each of them has
// ended. It learns of each change after its delay; before it was started, it knew nothing.
func (lives *lives) membersOf(name string, process *process) (map[string]api.Member, map[string]time.Time) {
	members := map[string]api.Member{name: {}}
	endedAt := make(map[string]time.Time)
	for _, change := range lives.changes {
		learnedAt := max(change.at, process.startedAt) + process.delay
		if learnedAt > lives.now || change.name == name {
			continue
		}
		members[change.name] = api.Member{Instance: api.Instance{Name: change.name}, State: change.state, Incarnation: uint64(change.startedAt)}
		delete(endedAt, change.name)
		if change.state != api.MemberAlive {
			endedAt[change.name] = slackStart.Add(learnedAt)
		}
	}
	return members, endedAt
}

// start starts a process of the given name, which learns of changes after delay.
func (lives *lives) start(name string, delay time.Duration) {
	started := &process{startedAt: lives.now, delay: delay}
	clock := func() time.Time { return slackStart.Add(lives.now) }
	self := api.Member{Instance: api.Instance{Name: name}, Incarnation: uint64(lives.now)}
	hasPredecessor := lives.hasCounted(name)
	isRecent := func() bool {
		members, _ := lives.membersOf(name, started)
		isCounted := hasPredecessor && len(members) > 1 || peer.StartedTogether(members, self)
		return peer.HasRecentlyStarted(slackStart.Add(started.startedAt), clock(), lives.limits.Window, isCounted)
	}
	slackShare := func() float64 {
		members, endedAt := lives.membersOf(name, started)
		if peer.IsUnmet(members, name, startSeeds) {
			return 0
		}
		count := peer.SlackMemberCount(members, endedAt, clock(), lives.limits.Window)
		return peer.Senders{}.SlackShare(name, count, clock(), lives.limits.Window)
	}
	started.budget = budget.New(lives.limits, func() int { return 1 }, func() time.Duration { return lives.now },
		budget.WithSlackShare(slackShare), budget.WithRecentStart(isRecent))
	lives.running[name] = started
	lives.changes = append(lives.changes, memberChange{at: lives.now, name: name, state: api.MemberAlive, startedAt: lives.now})
}

// hasCounted reports whether the others count an earlier process of the name that has ended.
func (lives *lives) hasCounted(name string) bool {
	for _, change := range slices.Backward(lives.changes) {
		if change.name == name {
			return change.state == api.MemberFailed || change.state == api.MemberLeft && lives.now-change.at < 10*time.Second
		}
	}
	return false
}

// end ends a process.
func (lives *lives) end(name string, state api.MemberState) {
	lives.changes = append(lives.changes, memberChange{at: lives.now, name: name, state: state, startedAt: lives.running[name].startedAt})
	delete(lives.running, name)
}

// count returns how many of times are within the window that ends at end.
func (lives *lives) count(times []time.Duration, end time.Duration) int {
	count := 0
	for _, at := range times {
		if at > end-lives.limits.Window && at <= end {
			count++
		}
	}
	return count
}

// TestBudgetOverLives guards against processes that spend the retry budget of earlier ones
// again (review/10). Processes are killed, stopped, started again, added and taken away at
// any time, each of which others learn of with a delay, and send all extra requests that
// they may. In no window may these exceed the budget.
func TestBudgetOverLives(t *testing.T) {
	const namesCount = 10
	rapid.Check(t, func(t *rapid.T) {
		lives := &lives{limits: budget.Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}, running: make(map[string]*process)}
		delayOf := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 4_000).Draw(t, "delay")) * time.Millisecond
		})
		for number := range rapid.IntRange(1, 8).Draw(t, "instances") {
			lives.start(fmt.Sprint(number), delayOf.Draw(t, "start"))
		}
		lives.now = 30 * time.Second
		events := rapid.IntRange(100, 300).Draw(t, "events")
		for range events {
			lives.now += time.Duration(rapid.IntRange(0, 1_000).Draw(t, "after")) * time.Millisecond
			name := fmt.Sprint(rapid.IntRange(0, namesCount-1).Draw(t, "name"))
			running, isRunning := lives.running[name]
			switch rapid.IntRange(0, 120).Draw(t, "kind") {
			case 0, 1, 2, 3, 4, 5:
				if isRunning {
					lives.end(name, api.MemberFailed)
				} else {
					lives.start(name, delayOf.Draw(t, "start"))
				}
			case 6, 7:
				if isRunning {
					lives.end(name, api.MemberLeft)
				}
			case 8:
				// All are killed and start again.
				for name := range lives.running {
					lives.end(name, api.MemberFailed)
					lives.start(name, delayOf.Draw(t, "start"))
				}
			case 9:
				// All lose power, and the seeds stay down, so that the others find nobody.
				for name := range lives.running {
					lives.end(name, api.MemberFailed)
					if !slices.Contains(startSeeds, name) {
						lives.start(name, time.Hour)
					}
				}
			default:
				if !isRunning {
					continue
				}
				running.budget.RecordFirst("shard")
				lives.firsts = append(lives.firsts, lives.now)
			}
			for _, name := range slices.Sorted(maps.Keys(lives.running)) {
				isBusy := rapid.Bool().Draw(t, "busy")
				for isBusy && lives.running[name].budget.Allow("shard", 1) {
					lives.extras = append(lives.extras, lives.now)
				}
			}
			limit := lives.limits.Ratio*float64(lives.count(lives.firsts, lives.now)) + lives.limits.Slack
			extras := lives.count(lives.extras, lives.now)
			assert.Assert(t, float64(extras) <= limit, "%d extra requests within 10 s, allowed %.1f", extras, limit)
		}
	})
}

// TestSlackOfStarts checks what may take part in dividing the retry budget's slack.
func TestSlackOfStarts(t *testing.T) {
	const window = 10 * time.Second
	at := func(after time.Duration) time.Time { return slackStart.Add(after) }
	members := func(states ...api.MemberState) map[string]api.Member {
		known := make(map[string]api.Member)
		for number, state := range states {
			known[fmt.Sprint(number)] = api.Member{State: state}
		}
		return known
	}
	startedAt := func(times ...time.Duration) map[string]api.Member {
		known := make(map[string]api.Member)
		for number, at := range times {
			name := fmt.Sprint(number)
			known[name] = api.Member{Instance: api.Instance{Name: name}, Incarnation: uint64(at)}
		}
		return known
	}
	tests := map[string]struct{ got, want any }{
		"at once":                         {got: peer.HasRecentlyStarted(at(0), at(0), window, true), want: true},
		"before a whole window":           {got: peer.HasRecentlyStarted(at(0), at(window-time.Millisecond), window, true), want: true},
		"others may not know it yet":      {got: peer.HasRecentlyStarted(at(0), at(window+4*time.Second), window, false), want: true},
		"after a window known to others":  {got: peer.HasRecentlyStarted(at(0), at(window+5*time.Second), window, false), want: false},
		"a whole window, counted before":  {got: peer.HasRecentlyStarted(at(0), at(window), window, true), want: false},
		"all started together":            {got: peer.StartedTogether(startedAt(100*time.Second, 99*time.Second), startedAt(100 * time.Second)["0"]), want: true},
		"another one has been running":    {got: peer.StartedTogether(startedAt(100*time.Second, 90*time.Second), startedAt(100 * time.Second)["0"]), want: false},
		"a member that failed counts":     {got: peer.SlackMemberCount(members(api.MemberAlive, api.MemberFailed), nil, at(0), window), want: 2},
		"one that left just now counts":   {got: peer.SlackMemberCount(members(api.MemberAlive, api.MemberLeft), map[string]time.Time{"1": at(-time.Second)}, at(0), window), want: 2},
		"one that left long ago does not": {got: peer.SlackMemberCount(members(api.MemberAlive, api.MemberLeft), map[string]time.Time{"1": at(-time.Minute)}, at(0), window), want: 1},
		"alone, others are seeds":         {got: peer.IsUnmet(members(api.MemberAlive), "a", []string{"a", "b"}), want: true},
		"alone, the only seed":            {got: peer.IsUnmet(members(api.MemberAlive), "a", []string{"a"}), want: false},
		"others are known":                {got: peer.IsUnmet(members(api.MemberAlive, api.MemberFailed), "a", []string{"b"}), want: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.got, test.want) })
	}
}
