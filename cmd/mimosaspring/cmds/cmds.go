// Package cmds implements the subcommands of mimosaspring.
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
	Try       tryCmd           `cmd:"" help:"Run instances and stand-ins for the platform and the upstreams in this process, send requests and print the answers."`
	Query     queryCmd         `cmd:"" help:"Send a query to an instance."`
	Command   commandCmd       `cmd:"" help:"Send a command to an instance; it is executed at most once."`
	Key       keyCmd           `cmd:"" help:"Request an idempotency key from an instance."`
	Instances instancesCmd     `cmd:"" help:"Print the addresses of the instances that callers can use."`
	Status    statusCmd        `cmd:"" help:"Show the state of an instance."`
	Explain   explainCmd       `cmd:"" help:"Show which shards a kind of a scope covers, according to an instance or a folder of documents."`
	Check     checkCmd         `cmd:"" help:"Check a settings file and configuration documents without starting an instance."`
	Timeline  timelineCmd      `cmd:"" help:"Show the log lines about one request and the reason for its outcome."`
	Version   kong.VersionFlag `help:"Print the version and exit."`
}

// Main parses the arguments, runs the chosen command and exits.
func Main() {
	program := commandline.Program{
		Name:        "mimosaspring",
		Description: "A query tier over many shards that answers within deadlines and reports the coverage of each answer.",
		Version:     instance.Version,
		Commands:    &commands{},
	}
	os.Exit(program.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

// printJSON writes value to writer as indented JSON.
func printJSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print answer")
}
