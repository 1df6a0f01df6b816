package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/standin/deployment"
	"github.com/mimosaspring/mimosaspring/internal/standin/platform"
)

type deploymentCmd struct {
	Plan    string        `enum:"batinah,voces" default:"batinah" help:"The deployment: batinah or voces."`
	Address string        `default:"127.0.0.1:0" help:"The address that the platform listens on."`
	Service time.Duration `default:"4ms" help:"The median time that a replica runs a request."`
}

// Run simulates the platform and all replicas of a deployment until SIGTERM or
// SIGINT.
func (deploymentcmd *deploymentCmd) Run(ctx context.Context, stdout io.Writer) error {
	plan := deployment.Batinah()
	if deploymentcmd.Plan == "voces" {
		plan = deployment.Voces()
	}
	for index := range plan.Groups {
		plan.Groups[index].ServiceTime = deploymentcmd.Service
	}
	server, err := platform.Listen(deploymentcmd.Address, platform.NewStore())
	if err != nil {
		return err
	}
	defer server.Close()
	fleet, err := deployment.Start(plan)
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := fleet.Publish(server.Store); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "platform on %s\n", server.Address)
	<-ctx.Done()
	return nil
}
