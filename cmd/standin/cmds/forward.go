package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/mimosaspring/mimosaspring/internal/standin/forwarder"
)

type forwardCmd struct {
	Address string `default:"127.0.0.1:0" help:"Where to listen."`
	To      string `required:"" placeholder:"IP:PORT" help:"Where to forward to."`
}

// Run forwards until a signal that ends it.
func (forwardcmd *forwardCmd) Run(ctx context.Context, stdout io.Writer) error {
	forward, err := forwarder.Listen(forwardcmd.Address, forwardcmd.To)
	if err != nil {
		return err
	}
	defer forward.Close()
	fmt.Fprintf(stdout, "forwarder on %s\n", forward.Address)
	silence := make(chan os.Signal, 1)
	signal.Notify(silence, syscall.SIGUSR1)
	for {
		select {
		case <-silence:
			forward.BlackholeConnections()
		case <-ctx.Done():
			return nil
		}
	}
}
