package cmds

import (
	"context"
	"io"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/standin/experiment"
)

type controlCmd struct {
	Sizes   []int         `default:"8,16,32,64" help:"The fleet sizes."`
	Length  time.Duration `default:"10s" help:"The time for which each size is measured."`
	Changes int           `default:"5" help:"The number of configuration changes whose time is measured."`
}

// Run measures what the control plane costs an instance and prints the figures.
func (controlcmd *controlCmd) Run(ctx context.Context, stdout io.Writer) error {
	return experiment.ControlCost{
		InstanceCounts: controlcmd.Sizes,
		MeasureTime:    controlcmd.Length,
		ChangeCount:    controlcmd.Changes,
		Output:         stdout,
	}.Run(ctx)
}
