package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/standin/caller"
	"github.com/mimosaspring/mimosaspring/internal/standin/trial"
)

type loadCmd struct {
	Entries  []string      `arg:"" placeholder:"IP:PORT" help:"The instances that are asked first for the addresses of all instances."`
	Scope    string        `required:"" help:"The scope."`
	Kind     string        `required:"" help:"The kind of request."`
	Shard    string        `help:"Send commands to this shard instead of queries."`
	Rate     float64       `default:"50" help:"The number of requests per second."`
	Duration time.Duration `default:"2s" help:"How long to send."`
	Deadline time.Duration `default:"500ms" help:"The deadline of each request."`
	Seed     uint64        `default:"1" help:"The seed of the arrival times."`
}

// Run sends requests and prints a summary line, followed by the reasons for
// requests that were cut off or not executed and by the answers that violated a
// guarantee.
func (loadcmd *loadCmd) Run(ctx context.Context, stdout io.Writer) error {
	load := caller.Load{
		EntryAddresses: loadcmd.Entries,
		Scope:          loadcmd.Scope,
		Kind:           loadcmd.Kind,
		Shard:          loadcmd.Shard,
		Deadline:       loadcmd.Deadline,
		Rate:           caller.ConstantRate(loadcmd.Rate),
		Duration:       loadcmd.Duration,
		Seed:           loadcmd.Seed,
		CheckAnswer:    trial.CheckAnswer,
	}
	fmt.Fprintf(stdout, "load of %s for %s\n", loadcmd.Scope, loadcmd.Duration)
	report, err := load.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(stdout, report)
	for cause, count := range report.UnansweredCauses {
		fmt.Fprintf(stdout, "cut %d: %s\n", count, cause)
	}
	for reason, count := range report.Reasons {
		fmt.Fprintf(stdout, "reason %d: %s\n", count, reason)
	}
	for _, violation := range report.FailedChecks {
		fmt.Fprintf(stdout, "broken: %s\n", violation)
	}
	return nil
}
