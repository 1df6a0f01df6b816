package cmds

import (
	"context"
	"io"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/standin/experiment"
)

type controlCmd struct {
	Sizes   []int         `default:"8,16,32,64" help:"The fleet sizes."`
	Length  time.Duration `default:"10s" help:"How long to measure each size."`
	Changes int           `default:"5" help:"How many changes of configuration to time."`
}

// Run measures and prints the cost of control.
func (controlcmd *controlCmd) Run(ctx context.Context, stdout io.Writer) error {
	return experiment.ControlCost{
		InstanceCounts:   controlcmd.Sizes,
		MeasureTime:  controlcmd.Length,
		ChangeCount: controlcmd.Changes,
		Output:  stdout,
	}.Run(ctx)
}
