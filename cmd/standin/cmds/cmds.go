// Package cmds implements the subcommands of standin.
package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/mimosaspring/mimosaspring/internal/process/commandline"
	"github.com/mimosaspring/mimosaspring/internal/process/instance"
)

type commands struct {
	Platform   platformCmd   `cmd:"" help:"Simulate the platform's configuration service."`
	Upstream   upstreamCmd   `cmd:"" help:"Simulate one replica of an upstream."`
	Forward    forwardCmd    `cmd:"" help:"Forward TCP connections; SIGUSR1 drops all further data of the open ones and keeps them open."`
	Load       loadCmd       `cmd:"" help:"Send requests at a steady rate and check every answer."`
	Put        putCmd        `cmd:"" help:"Publish a document on a platform stand-in."`
	Remove     removeCmd     `cmd:"" help:"Remove a key from a platform stand-in."`
	Order      orderCmd      `cmd:"" help:"Set the faults, as JSON, that a platform or replica stand-in simulates."`
	Hold       holdCmd       `cmd:"" help:"Set the snapshots that a replica stand-in holds."`
	Shards     shardsCmd     `cmd:"" help:"Set the shards and their epochs that a replica stand-in serves."`
	Experiment experimentCmd `cmd:"" help:"Measure the query path under different policies on a deployment."`
	Control    controlCmd    `cmd:"" help:"Measure what the control plane costs an instance in fleets of several sizes."`
	Deployment deploymentCmd `cmd:"" help:"Simulate the platform and all replicas of a deployment in one process."`
	Counts     countsCmd     `cmd:"" help:"Print the counters of a replica stand-in."`
	Calls      callsCmd      `cmd:"" help:"Print how many calls a platform stand-in received."`
}

// Main parses the arguments, runs the chosen command and exits. SIGTERM and SIGINT
// cancel the context of the command, which ends the commands that serve.
func Main() { os.Exit(runCommand()) }

// runCommand returns the exit code.
func runCommand() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	program := commandline.Program{
		Name:        "standin",
		Description: "Stand-ins for the platform and the upstreams, with fault injection.",
		Version:     instance.Version,
		Commands:    &commands{},
	}
	return program.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
