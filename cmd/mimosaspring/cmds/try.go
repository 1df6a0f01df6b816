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
	Instances    int      `default:"4" help:"How many instances to start, 3 or more."`
	Queries      int      `default:"40" help:"How many queries to send to each scope for the histograms."`
	UpstreamSlow float64  `name:"upstreamSlow" placeholder:"FACTOR" help:"Slow the first two replicas down by this factor."`
	Shed         []string `placeholder:"REPLICA" help:"Make these replicas refuse all work."`
	Kill         []string `placeholder:"REPLICA" help:"Kill these replicas, as kiln-desk-01-a."`
	KillInstance bool     `name:"killInstance" help:"Kill the last instance before the queries."`
}

// slowReplicas is how many replicas --upstreamSlow slows down.
const slowReplicas = 2

// Run runs the trial and fails where an answer breaks a promise.
func (trycmd *tryCmd) Run(ctx context.Context, stdout io.Writer) error {
	if trycmd.Instances < 3 {
		return &commandline.InputError{Cause: errors.Errorf("--instances is %d; allowed: 3 or more", trycmd.Instances)}
	}
	started := time.Now()
	running, err := trial.Start(ctx, trial.Options{
		Plans:     []deployment.Plan{deployment.Batinah(), deployment.Voces()},
		Instances: trycmd.Instances,
		PolicySet: "default",
	})
	if err != nil {
		return err
	}
	defer running.Close()
	for _, fleet := range running.Fleets {
		fmt.Fprintf(stdout, "%s: %d replicas in %s\n", fleet.Plan.Name, len(fleet.Replicas), strings.Join(fleet.Plan.FailureDomains, ", "))
	}
	fmt.Fprintf(stdout, "%d instances serve after %s\n\n", len(running.Instances), time.Since(started).Round(time.Millisecond))
	if err := trycmd.orderFaults(running); err != nil {
		return err
	}
	session := &trySession{trial: running, stdout: stdout, queries: trycmd.Queries}
	return session.perform(ctx)
}

func (trycmd *tryCmd) orderFaults(running *trial.Trial) error {
	if trycmd.UpstreamSlow > 0 {
		for _, server := range running.Fleets[0].Replicas[:slowReplicas] {
			server.Replica.Order(upstream.Faults{Slow: trycmd.UpstreamSlow})
		}
	}
	for _, name := range trycmd.Shed {
		server, err := findReplica(running, name)
		if err != nil {
			return err
		}
		server.Replica.Order(upstream.Faults{Shed: true})
	}
	for _, name := range trycmd.Kill {
		server, err := findReplica(running, name)
		if err != nil {
			return err
		}
		server.Close()
	}
	if trycmd.KillInstance {
		running.Instances[len(running.Instances)-1].Kill()
	}
	return nil
}

func findReplica(running *trial.Trial, name string) (*upstream.Server, error) {
	for _, fleet := range running.Fleets {
		if server := fleet.ByName[name]; server != nil {
			return server, nil
		}
	}
	return nil, &commandline.InputError{Cause: errors.Errorf("no replica %q; allowed: a name as kiln-desk-01-a", name)}
}

// trySession sends the requests of a trial and checks their answers.
type trySession struct {
	trial   *trial.Trial
	stdout  io.Writer
	queries int
	broken  []string
}

func (trysession *trySession) perform(ctx context.Context) error {
	for _, fleet := range trysession.trial.Fleets {
		for _, scope := range fleet.Plan.Scopes {
			for _, selector := range scope.Selectors {
				if err := trysession.exercise(ctx, fleet, scope, selector); err != nil {
					return err
				}
			}
		}
	}
	if len(trysession.broken) > 0 {
		return errors.Errorf("promises broken:\n  %s", strings.Join(trysession.broken, "\n  "))
	}
	fmt.Fprintln(trysession.stdout, "\nno promise was seen broken")
	return nil
}

func (trysession *trySession) exercise(ctx context.Context, fleet *deployment.Fleet, scope api.Scope, selector api.Selector) error {
	if selector.IsCommand {
		return trysession.sendCommand(ctx, fleet, scope, selector)
	}
	return trysession.sendQueries(ctx, scope, selector)
}

const (
	tryDeadline     = 98 * time.Millisecond
	commandDeadline = 2 * time.Second
)

func (trysession *trySession) sendQueries(ctx context.Context, scope api.Scope, selector api.Selector) error {
	histogram := metrics.NewHistogram()
	var last api.Answer
	for number := range trysession.queries {
		query := api.Query{Scope: scope.Name, Kind: selector.Kind, Text: fmt.Sprintf("%s %d", scope.Name, number), Deadline: tryDeadline}
		start := time.Now()
		answer, err := trysession.trial.Caller(number%2).Query(ctx, query)
		if err != nil {
			return err
		}
		histogram.Record(time.Since(start))
		if err := trial.Check(query, answer); err != nil {
			trysession.broken = append(trysession.broken, scope.Name+": "+err.Error())
		}
		last = answer
	}
	coverage := last.Coverage
	fmt.Fprintf(trysession.stdout, "query   %-14s outcome %-7s snapshot %d  coverage %d of %d\n",
		scope.Name, last.Outcome, last.Snapshot, coverage.IncludedCount, coverage.SelectedCount)
	trysession.printHistogram(histogram)
	for _, missing := range coverage.MissingShards {
		fmt.Fprintf(trysession.stdout, "        missing %s: %s\n", missing.Shard, missing.Reason)
	}
	return nil
}

func (trysession *trySession) printHistogram(histogram *metrics.Histogram) {
	fmt.Fprintf(trysession.stdout, "        latency of %d queries:", histogram.Count())
	for _, percentile := range []float64{50, 90, 99, 100} {
		latency := histogram.Quantile(percentile).Round(100 * time.Microsecond)
		fmt.Fprintf(trysession.stdout, "  p%g %s", percentile, latency)
	}
	fmt.Fprintln(trysession.stdout)
}

// sendCommand sends one keyed command at one instance and repeats it at
// another, and counts its runs at the replicas.
func (trysession *trySession) sendCommand(ctx context.Context, fleet *deployment.Fleet, scope api.Scope, selector api.Selector) error {
	issued, err := trysession.trial.Caller(0).IssueKey(ctx)
	if err != nil {
		return err
	}
	command := api.Command{
		Scope:    scope.Name,
		Kind:     selector.Kind,
		Shard:    firstShard(fleet, selector),
		Key:      issued.Key,
		Body:     []byte(`{"trial":"` + scope.Name + `"}`),
		Deadline: commandDeadline,
	}
	first, err := trysession.trial.Caller(0).Command(ctx, command)
	if err != nil {
		return err
	}
	second, err := trysession.trial.Caller(1).Command(ctx, command)
	if err != nil {
		return err
	}
	runs := countRuns(fleet, string(command.Body))
	fmt.Fprintf(trysession.stdout, "command %-14s outcome %-7s repeated at another instance: outcome %s  runs at replicas %d\n", scope.Name, first.Outcome, second.Outcome, runs)
	if first.Outcome != api.OutcomeDone {
		fmt.Fprintf(trysession.stdout, "        reason: %s\n", first.Reason)
	}
	if runs > 1 || (first.Outcome == api.OutcomeNotRun && second.Outcome == api.OutcomeNotRun && runs > 0) {
		trysession.broken = append(trysession.broken, fmt.Sprintf("%s: %d runs of one command", scope.Name, runs))
	}
	return nil
}

func firstShard(fleet *deployment.Fleet, selector api.Selector) string {
	for _, shard := range fleet.Index().Shards {
		if api.MatchesSelector(selector.Shards, shard.Labels) {
			return shard.Name
		}
	}
	return ""
}

func countRuns(fleet *deployment.Fleet, body string) int {
	runs := 0
	for _, server := range fleet.Replicas {
		runs += server.Replica.Counts().Commands[body]
	}
	return runs
}
