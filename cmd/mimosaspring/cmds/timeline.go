package cmds

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/process/commandline"
	"github.com/mimosaspring/mimosaspring/internal/process/timeline"
)

type timelineCmd struct {
	Request string   `required:"" help:"The caller's ID of the request."`
	Logs    []string `arg:"" type:"path" help:"Log files of the instances; - reads standard input."`
}

// Run prints the log lines about the request, with the time since the request began,
// and the reason for its outcome.
func (timelinecmd *timelineCmd) Run(stdout io.Writer) error {
	timeline := timeline.Timeline{RequestID: timelinecmd.Request}
	for _, path := range timelinecmd.Logs {
		if err := readLog(&timeline, path); err != nil {
			return &commandline.InputError{Cause: err}
		}
	}
	timeline.Write(stdout)
	return nil
}

// readLog adds the lines of the log at path to timeline.
func readLog(timeline *timeline.Timeline, path string) error {
	if path == "-" {
		return timeline.Read(os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer file.Close()
	return errors.WithMessage(timeline.Read(file), path)
}
