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

// Run forwards until SIGTERM or SIGINT. On SIGUSR1 it drops all further data of the
// open connections and keeps them open.
func (forwardcmd *forwardCmd) Run(ctx context.Context, stdout io.Writer) error {
	forwarder, err := forwarder.Listen(forwardcmd.Address, forwardcmd.To)
	if err != nil {
		return err
	}
	defer forwarder.Close()
	fmt.Fprintf(stdout, "forwarder on %s\n", forwarder.Address)
	blackholeSignals := make(chan os.Signal, 1)
	signal.Notify(blackholeSignals, syscall.SIGUSR1)
	for {
		select {
		case <-blackholeSignals:
			fmt.Fprintf(stdout, "%d connections are silent\n", forwarder.BlackholeConnections())
		case <-ctx.Done():
			return nil
		}
	}
}
