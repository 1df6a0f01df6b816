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
	Address string `default:"127.0.0.1:0" help:"The address to listen on."`
	To      string `required:"" placeholder:"IP:PORT" help:"The address to forward to."`
}

// Run forwards until SIGTERM or SIGINT. SIGUSR1 silences the open connections.
func (forwardcmd *forwardCmd) Run(ctx context.Context, stdout io.Writer) error {
	forward, err := forwarder.Listen(forwardcmd.Address, forwardcmd.To)
	if err != nil {
		return err
	}
	defer forward.Close()
	fmt.Fprintf(stdout, "forwarder on %s\n", forward.Address)
	silenceSignals := make(chan os.Signal, 1)
	signal.Notify(silenceSignals, syscall.SIGUSR1)
	for {
		select {
		case <-silenceSignals:
			forward.BlackholeConnections()
		case <-ctx.Done():
			return nil
		}
	}
}
