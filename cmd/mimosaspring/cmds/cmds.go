// Package cmds holds the command tree of mimosaspring.
package cmds

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/process/commandline"
	"github.com/mimosaspring/mimosaspring/internal/process/instance"
)

type commands struct {
	Serve     serveCmd         `cmd:"" help:"Run one instance."`
	Try       tryCmd           `cmd:"" help:"Run the whole path in this process on stand-ins and print its answers."`
	Query     queryCmd         `cmd:"" help:"Send a query to an instance."`
	Command   commandCmd       `cmd:"" help:"Send a command, which runs at most once, to an instance."`
	Key       keyCmd           `cmd:"" help:"Take an idempotency key from an instance."`
	Instances instancesCmd     `cmd:"" help:"Ask an instance which instances to use."`
	Status    statusCmd        `cmd:"" help:"Show the state of an instance."`
	Explain   explainCmd       `cmd:"" help:"Show which shards a kind of a scope covers, on an instance or in files."`
	Check     checkCmd         `cmd:"" help:"Check a settings file and configuration documents without running."`
	Timeline  timelineCmd      `cmd:"" help:"Show what logs say of one request, and why it ended as it did."`
	Version   kong.VersionFlag `help:"Print the version and exit."`
}

// Main parses the arguments, runs the chosen command and exits.
func Main() {
	program := commandline.Program{
		Name:        "mimosaspring",
		Description: "A query tier over many shards: timely answers with truthful coverage.",
		Version:     instance.Version,
		Commands:    &commands{},
	}
	os.Exit(program.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

func printJSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print answer")
}
