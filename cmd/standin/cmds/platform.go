package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/standin/platform"
	"github.com/mimosaspring/mimosaspring/internal/wire/toml"
)

type platformCmd struct {
	Address   string        `default:"127.0.0.1:0" help:"The address to listen on."`
	Documents string        `type:"existingdir" help:"A folder of documents to publish at the start, one file per key."`
	ListLag   time.Duration `name:"listLag" help:"The delay before changes of the instance list become visible."`
}

// Run serves until SIGTERM or SIGINT.
func (platformcmd *platformCmd) Run(ctx context.Context, stdout io.Writer) error {
	store := platform.NewStore()
	if platformcmd.Documents != "" {
		if err := publishFolder(store, platformcmd.Documents); err != nil {
			return err
		}
	}
	store.SetFaults(platform.Faults{InstanceListLag: platformcmd.ListLag})
	server, err := platform.Listen(platformcmd.Address, store)
	if err != nil {
		return err
	}
	defer server.Close()
	fmt.Fprintf(stdout, "platform on %s\n", server.Address)
	<-ctx.Done()
	return nil
}

// publishFolder puts each document of folder into store.
func publishFolder(store *platform.Store, folder string) error {
	documents, err := toml.ReadFolder(folder, toml.Extension)
	if err != nil {
		return err
	}
	for _, document := range documents {
		if _, err := store.Put(document.Key, document.Value); err != nil {
			return err
		}
	}
	return nil
}
