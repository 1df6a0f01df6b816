package cmds

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/process/commandline"
	"github.com/mimosaspring/mimosaspring/internal/standin/deployment"
	"github.com/mimosaspring/mimosaspring/internal/standin/trial"
	"github.com/mimosaspring/mimosaspring/internal/standin/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
)

type tryCmd struct {
	Instances    int      `default:"4" help:"The number of instances to start, 3 or more."`
	Queries      int      `default:"40" help:"The number of queries of each kind to send, for the latency percentiles."`
	UpstreamSlow float64  `name:"upstreamSlow" placeholder:"FACTOR" help:"Slow the first two replicas down by this factor."`
	Shed         []string `placeholder:"REPLICA" help:"Make these replicas refuse all requests."`
	Kill         []string `placeholder:"REPLICA" help:"Kill these replicas, for example kiln-desk-01-a."`
	KillInstance bool     `name:"killInstance" help:"Kill the last instance before the queries."`
}

// slowReplicaCount is the number of replicas that --upstreamSlow slows down.
const slowReplicaCount = 2

// Run starts the stand-ins and the instances, sends requests and prints a summary
// of the answers. It returns an error if an answer violates a guarantee of the
// system.
func (trycmd *tryCmd) Run(ctx context.Context, stdout io.Writer) error {
	if trycmd.Instances < 3 {
		return &commandline.InputError{Cause: errors.Errorf("--instances is %d; allowed: 3 or more", trycmd.Instances)}
	}
	startTime := time.Now()
	trial, err := trial.Start(ctx, trial.Options{
		Plans:         []deployment.Plan{deployment.Batinah(), deployment.Voces()},
		InstanceCount: trycmd.Instances,
		PolicySet:     "default",
	})
	if err != nil {
		return err
	}
	defer trial.Close()
	for _, fleet := range trial.Fleets {
		fmt.Fprintf(stdout, "%s: %d replicas in %s\n", fleet.Plan.Name, len(fleet.Servers), strings.Join(fleet.Plan.FailureDomains, ", "))
	}
	fmt.Fprintf(stdout, "%d instances serve after %s\n\n", len(trial.Instances), time.Since(startTime).Round(time.Millisecond))
	if err := trycmd.injectFaults(trial); err != nil {
		return err
	}
	trysession := &trySession{trial: trial, stdout: stdout, queryCount: trycmd.Queries}
	return trysession.sendRequests(ctx)
}

// injectFaults injects the faults that the flags ask for. It returns an InputError if
// a flag names an unknown replica.
func (trycmd *tryCmd) injectFaults(trial *trial.Trial) error {
	if trycmd.UpstreamSlow > 0 {
		for _, server := range trial.Fleets[0].Servers[:slowReplicaCount] {
			server.Replica.SetFaults(upstream.Faults{SlowdownFactor: trycmd.UpstreamSlow})
		}
	}
	for _, name := range trycmd.Shed {
		server, err := findReplica(trial, name)
		if err != nil {
			return err
		}
		server.Replica.SetFaults(upstream.Faults{ShedAll: true})
	}
	for _, name := range trycmd.Kill {
		server, err := findReplica(trial, name)
		if err != nil {
			return err
		}
		server.Close()
	}
	if trycmd.KillInstance {
		trial.Instances[len(trial.Instances)-1].Kill()
	}
	return nil
}

// findReplica returns the server of the named replica, or an InputError if there
// is none.
func findReplica(trial *trial.Trial, name string) (*upstream.Server, error) {
	for _, fleet := range trial.Fleets {
		if server := fleet.ServerByName[name]; server != nil {
			return server, nil
		}
	}
	return nil, &commandline.InputError{Cause: errors.Errorf("no replica %q; allowed: a name like kiln-desk-01-a", name)}
}

// trySession sends requests to a trial and checks their answers.
type trySession struct {
	trial  *trial.Trial
	stdout io.Writer
	// queryCount is the number of queries to send for each selector of queries.
	queryCount int
	// violations describes the guarantees that answers violated.
	violations []string
}

// sendRequests sends requests for every selector of every scope. It returns an
// error that lists the violations, if there are any.
func (trysession *trySession) sendRequests(ctx context.Context) error {
	for _, fleet := range trysession.trial.Fleets {
		for _, scope := range fleet.Plan.Scopes {
			for _, selector := range scope.Selectors {
				if err := trysession.sendForSelector(ctx, fleet, scope, selector); err != nil {
					return err
				}
			}
		}
	}
	if len(trysession.violations) > 0 {
		return errors.Errorf("violated guarantees:\n  %s", strings.Join(trysession.violations, "\n  "))
	}
	fmt.Fprintln(trysession.stdout, "\nno guarantee was violated")
	return nil
}

// sendForSelector sends a command or queries, whichever the selector is for.
func (trysession *trySession) sendForSelector(ctx context.Context, fleet *deployment.Fleet, scope api.Scope, selector api.Selector) error {
	if selector.IsCommand {
		return trysession.sendCommand(ctx, fleet, scope, selector)
	}
	return trysession.sendQueries(ctx, scope, selector)
}

const (
	queryDeadline   = 98 * time.Millisecond
	commandDeadline = 2 * time.Second
)

// sendQueries sends queryCount queries alternately to two instances. It prints the
// coverage of the last answer and the percentiles of the latencies.
func (trysession *trySession) sendQueries(ctx context.Context, scope api.Scope, selector api.Selector) error {
	histogram := metrics.NewHistogram()
	var lastAnswer api.Answer
	for number := range trysession.queryCount {
		query := api.Query{Scope: scope.Name, Kind: selector.Kind, Text: fmt.Sprintf("%s %d", scope.Name, number), Deadline: queryDeadline}
		start := time.Now()
		answer, err := trysession.trial.Client(number%2).Query(ctx, query)
		if err != nil {
			return err
		}
		histogram.Record(time.Since(start))
		if err := trial.CheckAnswer(query, answer); err != nil {
			trysession.violations = append(trysession.violations, scope.Name+": "+err.Error())
		}
		lastAnswer = answer
	}
	coverage := lastAnswer.Coverage
	fmt.Fprintf(trysession.stdout, "query   %-14s outcome %-7s snapshot %d  coverage %d of %d\n",
		scope.Name, lastAnswer.Outcome, lastAnswer.Snapshot, coverage.IncludedCount, coverage.SelectedCount)
	trysession.printHistogram(histogram)
	for _, missingshard := range coverage.MissingShards {
		fmt.Fprintf(trysession.stdout, "        missing %s: %s\n", missingshard.Shard, missingshard.Reason)
	}
	return nil
}

// printHistogram prints the number of queries and the percentiles of their latencies.
func (trysession *trySession) printHistogram(histogram *metrics.Histogram) {
	fmt.Fprintf(trysession.stdout, "        latency of %d queries:", histogram.Count())
	for _, percentile := range []float64{50, 90, 99, 100} {
		latency := histogram.Quantile(percentile).Round(100 * time.Microsecond)
		fmt.Fprintf(trysession.stdout, "  p%g %s", percentile, latency)
	}
	fmt.Fprintln(trysession.stdout)
}

// sendCommand sends a command with an idempotency key to one instance, repeats it
// at another, and counts how often the replicas executed it.
func (trysession *trySession) sendCommand(ctx context.Context, fleet *deployment.Fleet, scope api.Scope, selector api.Selector) error {
	issuedkey, err := trysession.trial.Client(0).IssueKey(ctx)
	if err != nil {
		return err
	}
	command := api.Command{
		Scope:    scope.Name,
		Kind:     selector.Kind,
		Shard:    firstShard(fleet, selector),
		Key:      issuedkey.Key,
		Body:     []byte(`{"trial":"` + scope.Name + `"}`),
		Deadline: commandDeadline,
	}
	firstResult, err := trysession.trial.Client(0).Command(ctx, command)
	if err != nil {
		return err
	}
	secondResult, err := trysession.trial.Client(1).Command(ctx, command)
	if err != nil {
		return err
	}
	executions := countExecutions(fleet, string(command.Body))
	fmt.Fprintf(trysession.stdout, "command %-14s outcome %-7s repeated at another instance: outcome %s  runs at replicas %d\n", scope.Name, firstResult.Outcome, secondResult.Outcome, executions)
	if firstResult.Outcome != api.OutcomeDone {
		fmt.Fprintf(trysession.stdout, "        reason: %s\n", firstResult.Reason)
	}
	if executions > 1 || (firstResult.Outcome == api.OutcomeNotRun && secondResult.Outcome == api.OutcomeNotRun && executions > 0) {
		trysession.violations = append(trysession.violations, fmt.Sprintf("%s: %d executions of one command", scope.Name, executions))
	}
	return nil
}

// firstShard returns the name of the first shard that selector matches, or an
// empty string if it matches none.
func firstShard(fleet *deployment.Fleet, selector api.Selector) string {
	for _, shard := range fleet.Index().Shards {
		if api.MatchesSelector(selector.Shards, shard.Labels) {
			return shard.Name
		}
	}
	return ""
}

// countExecutions returns how often the replicas of fleet executed the command
// with the given body.
func countExecutions(fleet *deployment.Fleet, body string) int {
	executions := 0
	for _, server := range fleet.Servers {
		executions += server.Replica.Counts().CommandRuns[body]
	}
	return executions
}
