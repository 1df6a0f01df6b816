package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/standin/upstream"
)

type upstreamCmd struct {
	Name            string            `required:"" help:"The replica's name."`
	Address         string            `default:"127.0.0.1:0" help:"The address to listen on."`
	Shards          map[string]uint64 `required:"" help:"The shards that the replica serves with their epochs, for example a=1;b=1."`
	Held            []uint64          `default:"7" help:"The snapshots that the replica holds."`
	Slots           int               `default:"2" help:"The number of requests that run at once."`
	Queue           int               `default:"16" help:"The number of requests that may wait for a slot."`
	ConnectionLimit int               `name:"connectionLimit" default:"25" help:"The number of connections that are accepted."`
	ConnectCost     time.Duration     `name:"connectCost" default:"6ms" help:"The delay before a new connection is read."`
	Service         time.Duration     `default:"4ms" help:"The median time that a request runs."`
	Lag             time.Duration     `default:"1s" help:"The greatest age of the reported health."`
}

// serviceSpread is the sigma of the log-normal time that a request runs.
const serviceSpread = 0.4

// Run serves until SIGTERM or SIGINT.
func (upstreamcmd *upstreamCmd) Run(ctx context.Context, stdout io.Writer) error {
	shape := upstream.ReplicaConfig{
		Slots:            upstreamcmd.Slots,
		QueueLimit:       upstreamcmd.Queue,
		ConnectionLimit:  upstreamcmd.ConnectionLimit,
		ConnectCost:      upstreamcmd.ConnectCost,
		ServiceTime:      upstreamcmd.Service,
		ServiceTimeSigma: serviceSpread,
		HealthLag:        upstreamcmd.Lag,
	}
	replica := upstream.NewReplica(upstreamcmd.Name, shape, upstreamcmd.Shards, upstreamcmd.Held)
	server, err := upstream.Listen(upstreamcmd.Address, replica)
	if err != nil {
		return err
	}
	defer server.Close()
	fmt.Fprintf(stdout, "replica on %s\n", server.Address)
	<-ctx.Done()
	return nil
}
