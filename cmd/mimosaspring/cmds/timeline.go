package cmds

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/process/commandline"
	"github.com/mimosaspring/mimosaspring/internal/process/timeline"
)

type timelineCmd struct {
	Request string   `required:"" help:"The caller's name of the request."`
	Logs    []string `arg:"" type:"path" help:"Logs of the instances; - is standard input."`
}

// Run prints what the logs say of a request, in its own time, and why it ended
// as it did.
func (timelinecmd *timelineCmd) Run(stdout io.Writer) error {
	found := timeline.Timeline{RequestID: timelinecmd.Request}
	for _, path := range timelinecmd.Logs {
		if err := readLog(&found, path); err != nil {
			return &commandline.InputError{Cause: err}
		}
	}
	found.Write(stdout)
	return nil
}

func readLog(found *timeline.Timeline, path string) error {
	if path == "-" {
		return found.Read(os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer file.Close()
	return errors.WithMessage(found.Read(file), path)
}
