// Package cmds holds the command tree of standin.
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
	Platform   platformCmd   `cmd:"" help:"Play the platform's configuration service."`
	Upstream   upstreamCmd   `cmd:"" help:"Play one replica of an upstream."`
	Forward    forwardCmd    `cmd:"" help:"Forward TCP connections; SIGUSR1 makes the open ones silent for good."`
	Load       loadCmd       `cmd:"" help:"Send requests at a steady rate and check every answer."`
	Put        putCmd        `cmd:"" help:"Publish a document on a platform stand-in."`
	Remove     removeCmd     `cmd:"" help:"Remove a key from a platform stand-in."`
	Order      orderCmd      `cmd:"" help:"Order faults, as JSON, from a platform or replica stand-in."`
	Hold       holdCmd       `cmd:"" help:"Set the snapshots that a replica stand-in holds."`
	Shards     shardsCmd     `cmd:"" help:"Set the shards, by epoch, that a replica stand-in serves."`
	Experiment experimentCmd `cmd:"" help:"Measure the query path under different policies on a deployment."`
	Control    controlCmd    `cmd:"" help:"Measure what control costs an instance in fleets of several sizes."`
	Deployment deploymentCmd `cmd:"" help:"Play the platform and all replicas of a deployment in one process."`
	Counts     countsCmd     `cmd:"" help:"Print what a replica stand-in counted."`
	Calls      callsCmd      `cmd:"" help:"Print how many calls a platform stand-in took."`
}

// Main parses the arguments, runs the chosen command and exits. A signal ends
// the commands that serve.
func Main() { os.Exit(run()) }

func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	program := commandline.Program{
		Name:        "standin",
		Description: "Stand-ins for the platform and the upstreams, with faults to order.",
		Version:     instance.Version,
		Commands:    &commands{},
	}
	return program.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
