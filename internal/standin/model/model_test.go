package model_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/query/upstream"
	"github.com/mimosaspring/mimosaspring/internal/standin/model"
	"github.com/mimosaspring/mimosaspring/internal/state/budget"
	"github.com/mimosaspring/mimosaspring/internal/state/choice"
)

// batinah is the co-operative's deployment on a heavy day: 20 shards with a
// replica in each of two failure domains. The slower replica of a shard alone
// can carry the crest: 2 slots, 12.5 ms a query with the noise, 109 queries a
// second are 0.7 of it.
func batinah(troubles ...model.Trouble) model.Pattern {
	return model.Pattern{
		Seed: 1,
		Shape: model.Shape{
			Slots: 2, Queue: 12, Spread: 0.35,
			Speeds: []float64{0.8, 1, 1.3}, NoiseShare: 0.15, NoiseTimes: 2.5, NoiseEvery: 600 * time.Millisecond,
			PauseFor: 120 * time.Millisecond, PauseEvery: 3 * time.Second,
			Near: 200 * time.Microsecond, Far: time.Millisecond,
		},
		Kinds: []model.Kind{
			{Name: "lookup", Weight: 3, Work: 11 * time.Millisecond, Target: 100 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 2, LateShare: 0.1, MinCoverage: 0.89},
			{Name: "check", Weight: 1, Work: 3800 * time.Microsecond, Target: 50 * time.Millisecond, Deadline: 800 * time.Millisecond, Worth: 1, LateShare: 0.1, MinCoverage: 0.75},
		},
		Shards: 20, Domains: []string{"a", "b"},
		Rate: 70, Swing: 0.55, Period: 13 * time.Second, Length: 13 * time.Second,
		Limits: budget.Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}, Instances: 8, MaxAttempts: 2,
		Troubles: troubles,
	}
}

// grown is the co-operative's deployment two years later: 90 shards in three
// failure domains, of which each home sees a third of the queries.
func grown(troubles ...model.Trouble) model.Pattern {
	pattern := batinah(troubles...)
	pattern.Shards, pattern.Domains = 90, []string{"a", "b", "c"}
	pattern.Rate = 27
	pattern.Kinds[0].MinCoverage, pattern.Kinds[1].MinCoverage = 0.95, 0.85
	pattern.Limits.Slack, pattern.Instances = 200, 80
	return pattern
}

// scattered hits a share of all replicas, the same ones each time.
func scattered(share float64) func(shard, copyNumber int) bool {
	return func(shard, copyNumber int) bool {
		return float64((shard*7+copyNumber*31)%100) < share*100
	}
}

// oneOfEach hits one replica of each shard but every nth, by turns of both
// failure domains.
func oneOfEach(nth int) func(shard, copyNumber int) bool {
	return func(shard, copyNumber int) bool { return shard%nth != 0 && shard%2 == copyNumber }
}

func shardsBelow(count, copies int) func(shard, copyNumber int) bool {
	return func(shard, copyNumber int) bool { return shard < count && copyNumber < copies }
}

// during returns a trouble from the third second until the tenth.
func during(hits func(shard, copyNumber int) bool, conduct model.Conduct) model.Trouble {
	return model.Trouble{From: 3 * time.Second, For: 7 * time.Second, Hits: hits, Conduct: conduct}
}

// lonePossible is the part of the worth that is left where 7 of 20 shards have
// one replica each: it stands still 0.04 of the time, and a query that meets a
// pause misses one part.
const lonePossible = 0.976

// overCapacity is the part of the queries for which the replicas have room at
// 270 queries a second, 418 at the crest: a shard has 4 slots, which take 11.6 ms
// a query with the noise and the speeds, 0.04 of which are pauses: 331 queries a
// second. It is 331 over the mean rate from the third second to the tenth, 297,
// with what lies over 331 lost.
const overCapacity = 0.88

// TestHeavyLoads plays a crest with replicas in trouble: at least 9 in 10 of
// the worth that the deployment can still earn is earned, and the extra requests
// stay within the budget.
func TestHeavyLoads(t *testing.T) {
	tests := map[string]struct {
		deployment func(troubles ...model.Trouble) model.Pattern
		troubles   []model.Trouble
		// possible is the part of the worth that a tier could earn that knows
		// each replica's conduct: shards without a sound replica are missing.
		possible float64
	}{
		"a calm crest": {deployment: batinah, possible: 1},
		"a crest over capacity": {
			deployment: func(...model.Trouble) model.Pattern {
				pattern := batinah()
				pattern.Rate = 270
				return pattern
			},
			possible: overCapacity,
		},
		"one replica of most shards sheds": {
			deployment: batinah, possible: 1,
			troubles: []model.Trouble{during(oneOfEach(5), model.Conduct{Sheds: 0.6})},
		},
		"one replica of most shards fails": {
			deployment: batinah, possible: 1,
			troubles: []model.Trouble{during(oneOfEach(5), model.Conduct{Fails: 0.4})},
		},
		"replicas of a third of shards slow": {
			deployment: batinah, possible: lonePossible,
			troubles: []model.Trouble{during(shardsBelow(7, 1), model.Conduct{Slowness: 8})},
		},
		"replicas of a third of shards dark": {
			deployment: batinah, possible: lonePossible,
			troubles: []model.Trouble{during(shardsBelow(7, 1), model.Conduct{IsDark: true})},
		},
		"replicas of a third of shards down": {
			deployment: batinah, possible: lonePossible,
			troubles: []model.Trouble{during(shardsBelow(7, 1), model.Conduct{IsDown: true})},
		},
		"all replicas of one shard are dark": {
			deployment: batinah, possible: 0.95 * 0.95,
			troubles: []model.Trouble{during(shardsBelow(1, 2), model.Conduct{IsDark: true})},
		},
		"all replicas of two shards are down": {
			deployment: batinah, possible: 0.9 * 0.9,
			troubles: []model.Trouble{during(shardsBelow(2, 2), model.Conduct{IsDown: true})},
		},
		"grown, a calm crest": {deployment: grown, possible: 1},
		"grown, replicas of many shards slow": {
			deployment: grown, possible: 1,
			troubles: []model.Trouble{during(scattered(0.15), model.Conduct{Slowness: 8})},
		},
		"grown, replicas of many shards very slow": {
			deployment: grown, possible: 1,
			troubles: []model.Trouble{during(scattered(0.15), model.Conduct{Slowness: 12})},
		},
		"grown, replicas of many shards dark": {
			deployment: grown, possible: 1,
			troubles: []model.Trouble{during(scattered(0.15), model.Conduct{IsDark: true})},
		},
		"grown, replicas of many shards fail": {
			deployment: grown, possible: 1,
			troubles: []model.Trouble{during(scattered(0.17), model.Conduct{Fails: 0.4})},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near := func(domain string) choice.ShortestExpectedDelay {
					return choice.ShortestExpectedDelay{FailureDomain: domain}
				}
				result := model.Play(test.deployment(test.troubles...), near, upstream.TargetHedge{})
				worth := result.Worth(3, 10)
				t.Logf("worth %.3f of %.3f while in trouble\n%s", worth, test.possible, result.Plot())
				assert.Assert(t, worth >= 0.9*test.possible, "worth %.3f of %.3f", worth, test.possible)
			})
		})
	}
}
