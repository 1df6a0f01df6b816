// Package experiment measures the query path under different policies on the
// simulated deployments of the users, with the policies interleaved in one run,
// and what control messages cost the instances.
package experiment

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/standin/caller"
	"github.com/mimosaspring/mimosaspring/internal/standin/deployment"
	"github.com/mimosaspring/mimosaspring/internal/standin/trial"
	"github.com/mimosaspring/mimosaspring/internal/standin/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// Experiment runs every case under every policy set, Repeats times. The policy
// sets alternate, so that changes of the machine's speed affect all of them alike.
type Experiment struct {
	Plan deployment.Plan
	// Scope names the scope whose first kind is queried.
	Scope         string
	PolicySets    []string
	Cases         []string
	Repeats       int
	InstanceCount int
	// Seed is the seed of the first repeat; each further one adds 1.
	Seed uint64
	// ServiceTime is the median time that a replica runs a request.
	ServiceTime time.Duration
	// ServiceTimeSigma is the sigma of the log-normal service time.
	ServiceTimeSigma float64
	Deadline         time.Duration
	// SendTime is how long the cases calm, slowed and busy send queries.
	SendTime time.Duration
	Output   io.Writer
}

// Result holds the outcome of one run.
type Result struct {
	PolicySet string
	Case      string
	Report    *caller.Report
	// Capacity is the number of queries a second that the replicas can run.
	Capacity float64
	// SendTime is how long the run sent queries.
	SendTime time.Duration
}

const (
	// slowdownFactor multiplies the service time of the replicas that the case
	// slowed slows down: one replica in each of slowedUpstreams upstreams.
	slowdownFactor  = 5
	slowedUpstreams = 2
	warmUpTime      = 2 * time.Second
)

// scenario describes a case: the load over time and the faults.
type scenario struct {
	sendTime time.Duration
	// newRate returns the load for replicas of the given capacity, which is in
	// queries a second.
	newRate         func(capacity float64) func(time.Duration) float64
	slowedUpstreams int
}

// The case crest raises the load from crestBase times the capacity to crestPeak
// times, keeps it there for crestHold, and lowers it again.
const (
	crestRise = 2 * time.Second
	crestHold = 10 * time.Second
	crestBase = 0.5
	crestPeak = 3.0
)

// scenario returns the scenario of the case with the given name. It returns an
// error for an unknown name.
func (experiment Experiment) scenario(name string) (scenario, error) {
	constantShare := func(share float64) func(float64) func(time.Duration) float64 {
		return func(capacity float64) func(time.Duration) float64 { return caller.ConstantRate(share * capacity) }
	}
	scenarios := map[string]scenario{
		"calm":   {sendTime: experiment.SendTime, newRate: constantShare(0.3)},
		"slowed": {sendTime: experiment.SendTime, newRate: constantShare(0.3), slowedUpstreams: slowedUpstreams},
		"busy":   {sendTime: experiment.SendTime, newRate: constantShare(0.7)},
		"crest":  {sendTime: 2*crestRise + crestHold, newRate: crestRate},
	}
	found, isKnown := scenarios[name]
	if !isKnown {
		return found, errors.Errorf("case %q; allowed: calm, slowed, busy, crest", name)
	}
	return found, nil
}

// crestRate returns the load of the case crest.
func crestRate(capacity float64) func(time.Duration) float64 {
	return func(sinceStart time.Duration) float64 {
		rise := min(float64(sinceStart)/float64(crestRise), 1)
		fall := min(max(float64(sinceStart-crestRise-crestHold)/float64(crestRise), 0), 1)
		return capacity * (crestBase + (crestPeak-crestBase)*(rise-fall))
	}
}

// Run performs all runs, prints the report of each and then the medians, and
// returns the results. The order of the policy sets rotates from repeat to repeat.
// If a run fails, Run returns its error with the results so far.
func (experiment Experiment) Run(ctx context.Context) ([]Result, error) {
	for index := range experiment.Plan.Groups {
		experiment.Plan.Groups[index].ServiceTime = experiment.ServiceTime
		experiment.Plan.Groups[index].ServiceTimeSigma = experiment.ServiceTimeSigma
	}
	var results []Result
	for repeat := range experiment.Repeats {
		for _, name := range experiment.Cases {
			for position := range experiment.PolicySets {
				policySet := experiment.PolicySets[(position+repeat)%len(experiment.PolicySets)]
				result, err := experiment.run(ctx, policySet, name, experiment.Seed+uint64(repeat))
				if err != nil {
					return results, err
				}
				fmt.Fprintf(experiment.Output, "%-12s %-7s %s\n", policySet, name, result.Report)
				results = append(results, result)
			}
		}
	}
	experiment.summarize(results)
	return results, nil
}

// run runs the case with the given name once, on a trial of its own.
func (experiment Experiment) run(ctx context.Context, policySet, name string, seed uint64) (Result, error) {
	scenario, err := experiment.scenario(name)
	if err != nil {
		return Result{}, err
	}
	running, err := trial.Start(ctx, trial.Options{Plans: []deployment.Plan{experiment.Plan}, InstanceCount: experiment.InstanceCount, PolicySet: policySet})
	if err != nil {
		return Result{}, err
	}
	defer running.Close()
	scope, capacity, err := experiment.capacity(running.Fleets[0])
	if err != nil {
		return Result{}, err
	}
	load := caller.Load{
		EntryAddresses: []string{running.Instances[0].CallerAddress},
		Scope:          scope.Name,
		Kind:           scope.Selectors[0].Kind,
		Deadline:       experiment.Deadline,
		NetworkDelay:   experiment.Plan.CallerDelay,
		Seed:           seed,
		CheckAnswer:    trial.CheckAnswer,
	}
	load.Duration = warmUpTime
	load.Rate = caller.ConstantRate(0.3 * capacity)
	if _, err := load.Run(ctx); err != nil {
		return Result{}, err
	}
	slowDown(running.Fleets[0], scenario.slowedUpstreams)
	load.Duration = scenario.sendTime
	load.Rate = scenario.newRate(capacity)
	report, err := load.Run(ctx)
	return Result{PolicySet: policySet, Case: name, Report: report, Capacity: capacity, SendTime: scenario.sendTime}, err
}

// slowDown slows one replica in each of the first upstreamCount upstreams.
func slowDown(fleet *deployment.Fleet, upstreamCount int) {
	slowed := make(map[string]bool)
	for index, instance := range fleet.Instances() {
		if len(slowed) < upstreamCount && !slowed[instance.Upstream] {
			slowed[instance.Upstream] = true
			fleet.Servers[index].Replica.SetFaults(upstream.Faults{SlowdownFactor: slowdownFactor})
		}
	}
}

// capacity returns the queried scope and the number of queries a second that the
// replicas of the selected shard with the least capacity can run.
func (experiment Experiment) capacity(fleet *deployment.Fleet) (api.Scope, float64, error) {
	for _, scope := range experiment.Plan.Scopes {
		if scope.Name != experiment.Scope {
			continue
		}
		minRate := 0.0
		for _, group := range experiment.Plan.Groups {
			if !slices.Contains(scope.Selectors[0].Shards["group"], group.Name) {
				continue
			}
			meanTime := experiment.ServiceTime.Seconds() * math.Exp(experiment.ServiceTimeSigma*experiment.ServiceTimeSigma/2)
			rate := float64(group.ReplicasPerService*group.Slots) / meanTime
			if minRate == 0 || rate < minRate {
				minRate = rate
			}
		}
		return scope, minRate, nil
	}
	return api.Scope{}, 0, errors.Errorf("scope %q does not exist in plan %s", experiment.Scope, fleet.Plan.Name)
}

// summarize prints the median of each figure for every policy set and case.
func (experiment Experiment) summarize(results []Result) {
	fmt.Fprintf(experiment.Output, "\n%-12s %-7s %8s %8s %8s %9s %8s %9s %9s %9s\n", "set", "case", "p50", "p99", "p99.9", "coverage", "extra", "good/s", "ofCapac.", "refusal99")
	for _, name := range experiment.Cases {
		for _, policySet := range experiment.PolicySets {
			runs := slices.DeleteFunc(slices.Clone(results), func(result Result) bool { return result.PolicySet != policySet || result.Case != name })
			experiment.printMedians(policySet, name, runs)
		}
	}
}

// printMedians prints the medians of runs, which have the same policy set and case.
func (experiment Experiment) printMedians(policySet, name string, runs []Result) {
	quantile := func(percentile float64) string {
		value := median(runs, func(result Result) float64 { return float64(result.Report.Latencies.Quantile(percentile)) })
		return time.Duration(value).Round(100 * time.Microsecond).String()
	}
	goodRate := func(result Result) float64 {
		return float64(result.Report.CompleteAnswersInTime) / result.SendTime.Seconds()
	}
	fmt.Fprintf(experiment.Output, "%-12s %-7s %8s %8s %8s %9.4f %8.4f %9.1f %9.3f %9s\n", policySet, name,
		quantile(50), quantile(99), quantile(99.9),
		median(runs, func(result Result) float64 {
			return float64(result.Report.IncludedShards) / float64(max(result.Report.SelectedShards, 1))
		}),
		median(runs, func(result Result) float64 { return result.Report.ExtraRequestRatio() }),
		median(runs, goodRate),
		median(runs, func(result Result) float64 { return goodRate(result) / result.Capacity }),
		time.Duration(median(runs, func(result Result) float64 { return float64(result.Report.RefusalLatencies.Quantile(99)) })).Round(100*time.Microsecond))
}

// median returns the median of a figure of results, the upper one of two, or 0 if
// there is no result.
func median(results []Result, figure func(Result) float64) float64 {
	var figures []float64
	for _, result := range results {
		figures = append(figures, figure(result))
	}
	if len(figures) == 0 {
		return 0
	}
	slices.Sort(figures)
	return figures[len(figures)/2]
}
