package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/wire/toml"
)

const documentsFolder = "../../_fixtures/documents"

// instanceList holds the replicas that a script lists on the platform.
type instanceList struct{ instances []api.Instance }

type instanceListKey struct{}

func instanceListOf(ts *testscript.TestScript) *instanceList {
	return ts.Value(instanceListKey{}).(*instanceList)
}

// startPlatform starts the platform stand-in under the name p, with the documents
// of _fixtures/documents.
//
// Usage: platform ARGUMENT...
func startPlatform(ts *testscript.TestScript, neg bool, args []string) {
	folder, err := filepath.Abs(documentsFolder)
	ts.Check(err)
	startProcess(ts, neg, append([]string{"p", "standin", "platform", "--documents", folder}, args...))
}

// startReplica starts a replica stand-in and adds it to the instance list, which the
// command list publishes.
//
// Usage: replica NAME UPSTREAM DOMAIN SHARDS ARGUMENT...
func startReplica(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 4 {
		ts.Fatalf("usage: replica NAME UPSTREAM DOMAIN SHARDS ARGUMENT...")
	}
	name := args[0]
	startProcess(ts, false, append([]string{name, "standin", "upstream", "--name", name, "--shards", args[3]}, args[4:]...))
	instancelist := instanceListOf(ts)
	instancelist.instances = append(instancelist.instances, api.Instance{
		Name:          name,
		Upstream:      args[1],
		Address:       ts.Getenv(name + "_replica"),
		FailureDomain: args[2],
		State:         api.InstanceLive,
		Incarnation:   1,
	})
}

// publishInstanceList applies the changes to the instance list and publishes it. A
// change sets the state of a replica to leaving, removes the replica (gone), or sets
// its address.
//
// Usage: list [NAME=leaving|gone|IP:PORT...]
func publishInstanceList(ts *testscript.TestScript, neg bool, args []string) {
	instancelist := instanceListOf(ts)
	for _, arg := range args {
		name, change, _ := strings.Cut(arg, "=")
		instancelist.change(ts, name, change)
	}
	text, err := toml.Encode(api.InstanceList{Instances: instancelist.instances})
	ts.Check(err)
	path := ts.MkAbs("instances.toml")
	ts.Check(os.WriteFile(path, text, 0o644))
	ts.Check(ts.Exec("standin", "put", ts.Getenv("p_platform"), api.InstancesPrefix+"trials", path))
}

// change applies "leaving", "gone" or a new address to the named replica.
func (instancelist *instanceList) change(ts *testscript.TestScript, name, change string) {
	index := slices.IndexFunc(instancelist.instances, func(instance api.Instance) bool { return instance.Name == name })
	if index < 0 {
		ts.Fatalf("no replica %s", name)
	}
	switch change {
	case "leaving":
		instancelist.instances[index].State = api.InstanceLeaving
	case "gone":
		instancelist.instances = slices.Delete(instancelist.instances, index, index+1)
	default:
		instancelist.instances[index].Address = change
	}
}

// startInstance starts an instance of the system. Each SEED is the name of an
// instance that the script started before.
//
// Usage: entry NAME DOMAIN [SEED...]
func startInstance(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: entry NAME DOMAIN [SEED...]")
	}
	var seeds []string
	for _, seed := range args[2:] {
		seeds = append(seeds, fmt.Sprintf("%q", ts.Getenv(seed+"_peers")))
	}
	// The instances of a script start for the first time, unless it has started one of the
	// same name before.
	isFirstStart := ts.Getenv(args[0]+"_peers") == ""
	text := fmt.Sprintf(`name = %q
failureDomain = %q
callerAddress = "127.0.0.1:0"
peerAddress = "127.0.0.1:0"
operatorAddress = "127.0.0.1:0"
platform = [%q]
seeds = [%s]
callers = { keepTime = "1s" }
retries = { firstStart = %t }
`, args[0], args[1], ts.Getenv("p_platform"), strings.Join(seeds, ", "), isFirstStart)
	path := ts.MkAbs(args[0] + ".toml")
	ts.Check(os.WriteFile(path, []byte(text), 0o644))
	startProcess(ts, false, []string{args[0], "mimosaspring", "serve", "--settings", path})
}
