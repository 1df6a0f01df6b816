package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// requestTimeout bounds one request to the admin interface of a stand-in.
const requestTimeout = 3 * time.Second

// sendAdminRequest sends a request to the admin interface of a stand-in and prints
// the body of the response. It returns an error for every status but 200.
func sendAdminRequest(ctx context.Context, stdout io.Writer, method, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "admin request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "admin request")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "admin request")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("admin request: status %d: %s", response.StatusCode, text)
	}
	fmt.Fprintf(stdout, "%s\n", text)
	return nil
}

// standinArgument holds the argument of all commands that contact a stand-in.
type standinArgument struct {
	Address string `arg:"" placeholder:"IP:PORT" help:"The stand-in's address."`
}

type putCmd struct {
	standinArgument
	Key  string `arg:"" help:"The key, for example scope/burn-tests."`
	File string `arg:"" type:"existingfile" help:"The document."`
}

// Run publishes the document under the key.
func (putcmd *putCmd) Run(ctx context.Context, stdout io.Writer) error {
	value, err := os.ReadFile(putcmd.File)
	if err != nil {
		return errors.Wrap(err, "read document")
	}
	return sendAdminRequest(ctx, stdout, http.MethodPut, "http://"+putcmd.Address+"/admin/keys/"+putcmd.Key, value)
}

type removeCmd struct {
	standinArgument
	Key string `arg:"" help:"The key."`
}

// Run removes the key.
func (removecmd *removeCmd) Run(ctx context.Context, stdout io.Writer) error {
	return sendAdminRequest(ctx, stdout, http.MethodDelete, "http://"+removecmd.Address+"/admin/keys/"+removecmd.Key, nil)
}

type orderCmd struct {
	standinArgument
	Faults string `arg:"" help:"The faults, for example {\"slow\":5}; {} ends all faults."`
}

// Run replaces the faults that the stand-in simulates.
func (ordercmd *orderCmd) Run(ctx context.Context, stdout io.Writer) error {
	return sendAdminRequest(ctx, stdout, http.MethodPost, "http://"+ordercmd.Address+"/admin/faults", []byte(ordercmd.Faults))
}

type holdCmd struct {
	standinArgument
	Held []uint64 `arg:"" help:"The snapshots."`
}

// Run replaces the snapshots that the replica holds.
func (holdcmd *holdCmd) Run(ctx context.Context, stdout io.Writer) error {
	body, err := json.Marshal(holdcmd.Held)
	if err != nil {
		return errors.Wrap(err, "encode snapshots")
	}
	return sendAdminRequest(ctx, stdout, http.MethodPost, "http://"+holdcmd.Address+"/admin/held", body)
}

type shardsCmd struct {
	standinArgument
	Shards string `arg:"" help:"The epoch of each shard, for example {\"a\":2}."`
}

// Run replaces the shards that the replica serves.
func (shardscmd *shardsCmd) Run(ctx context.Context, stdout io.Writer) error {
	return sendAdminRequest(ctx, stdout, http.MethodPost, "http://"+shardscmd.Address+"/admin/shards", []byte(shardscmd.Shards))
}

type countsCmd struct{ standinArgument }

// Run prints the counters of the replica.
func (countscmd *countsCmd) Run(ctx context.Context, stdout io.Writer) error {
	return sendAdminRequest(ctx, stdout, http.MethodGet, "http://"+countscmd.Address+"/admin/counts", nil)
}

type callsCmd struct{ standinArgument }

// Run prints how many calls the platform stand-in received.
func (callscmd *callsCmd) Run(ctx context.Context, stdout io.Writer) error {
	return sendAdminRequest(ctx, stdout, http.MethodGet, "http://"+callscmd.Address+"/admin/calls", nil)
}
