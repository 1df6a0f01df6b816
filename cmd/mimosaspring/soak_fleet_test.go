package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/wire/toml"
)

// soakProgram is one program of the soak, which may be started again.
type soakProgram struct {
	name string
	args []string
	// address is where a stand-in said that it listens.
	address string

	mutex   sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	output  *os.File
	started int
}

// launch starts a program. Its output goes to a file of the soak's folder.
func (soak *soak) launch(program *soakProgram) {
	program.mutex.Lock()
	defer program.mutex.Unlock()
	output, err := os.Create(filepath.Join(soak.folder, fmt.Sprintf("%s-%d.log", program.name, program.started)))
	assert.NilError(soak.t, err)
	program.started++
	program.cmd = exec.Command(program.args[0], program.args[1:]...)
	program.cmd.Stdout, program.cmd.Stderr = output, output
	program.output = output
	program.done = make(chan struct{})
	assert.NilError(soak.t, program.cmd.Start())
	go program.run(program.cmd, program.done)
}

func (soakprogram *soakProgram) run(cmd *exec.Cmd, done chan struct{}) {
	_ = cmd.Wait()
	close(done)
}

func (soak *soak) signal(program *soakProgram, signal syscall.Signal) {
	program.mutex.Lock()
	defer program.mutex.Unlock()
	_ = program.cmd.Process.Signal(signal)
}

// listening waits until a stand-in says where it listens.
func (soak *soak) listening(program *soakProgram) string {
	for range 500 {
		text, err := os.ReadFile(program.output.Name())
		assert.NilError(soak.t, err)
		if match := listensOn.FindStringSubmatch(string(text)); match != nil {
			return match[2]
		}
		time.Sleep(20 * time.Millisecond)
	}
	soak.t.Fatalf("%s does not say where it listens", program.name)
	return ""
}

func (soak *soak) startPlatform() {
	soak.platform = &soakProgram{name: "platform", args: []string{"standin", "platform"}}
	soak.launch(soak.platform)
	soak.platform.address = soak.listening(soak.platform)
	var err error
	soak.platformProxy, err = newProxy(soak.platform.address)
	assert.NilError(soak.t, err)
}

// startReplicas starts the replicas of all shards, each behind a proxy, and
// publishes what describes them.
func (soak *soak) startReplicas() {
	domains := []string{"muscat-a", "sohar-b"}
	index := api.Index{Name: "trials", Snapshot: 7}
	var upstreams api.Upstreams
	for number := range soakShards + 1 {
		name, group := fmt.Sprintf("desk%d", number), "desk"
		if number == soakShards {
			name, group = "ledger", "ledger"
		}
		labels := map[string]string{"group": group}
		index.Shards = append(index.Shards, api.Shard{Name: name, Upstream: name, Epoch: 1, Labels: labels})
		upstreams.Upstreams = append(upstreams.Upstreams, api.Upstream{Name: name, Labels: labels, Slots: 2, ConnectionLimit: 25})
		for copyNumber := range soakReplicas {
			soak.startReplica(fmt.Sprintf("%s-%d", name, copyNumber), name, domains[copyNumber])
		}
	}
	route := func(prefix string) []api.Route {
		return []api.Route{{Host: soakHost, Prefix: prefix, Kind: "all"}}
	}
	millis := func(count int) api.Duration { return api.Duration{Duration: time.Duration(count) * time.Millisecond} }
	ledger := []api.UpstreamWeight{{Upstream: "ledger", Weight: 1}}
	scopes := []api.Scope{
		{
			Name: "burn", Tenant: "batinah", Class: "lookup", Index: "trials", Aim: api.AimLatency, Form: api.FormMerged, TopK: soakTopK, MinCoverage: 0.5,
			MaxAttempts: 2, TargetLatency: millis(200), Timeout: millis(1000), Routes: route("/burn/"),
			Selectors: []api.Selector{{Kind: "all", Shards: map[string][]string{"group": {"desk"}}}},
		},
		{Name: "read", Tenant: "batinah", Class: "ledger", Aim: api.AimLatency, Form: api.FormRelayed, MaxAttempts: 2, TrafficSplit: ledger, Timeout: millis(1000), TargetLatency: millis(400), Routes: route("/read/")},
		{Name: "book", Tenant: "batinah", Class: "ledger", Aim: api.AimLatency, Form: api.FormRelayed, MaxAttempts: 2, IsCommand: true, TrafficSplit: ledger, Timeout: millis(1000), TargetLatency: millis(400), Routes: route("/book/")},
	}
	soak.put(api.UpstreamsPrefix+"trials", upstreams)
	soak.put(api.IndexPrefix+"trials", index)
	soak.put(api.InstancesPrefix+"trials", api.InstanceList{Instances: soak.instances})
	for _, scope := range scopes {
		soak.put(api.ScopePrefix+scope.Name, scope)
	}
}

func (soak *soak) startReplica(name, shard, domain string) {
	program := &soakProgram{name: name, args: []string{"standin", "upstream", "--name", name, "--shards", shard + "=1", "--service", soakService}}
	soak.launch(program)
	program.address = soak.listening(program)
	proxy, err := newProxy(program.address)
	assert.NilError(soak.t, err)
	soak.replicas, soak.proxies = append(soak.replicas, program), append(soak.proxies, proxy)
	soak.instances = append(soak.instances, api.Instance{
		Name: name, Upstream: shard, Address: proxy.address, FailureDomain: domain, State: api.InstanceLive, Incarnation: 1,
	})
}

// put publishes a document.
func (soak *soak) put(key string, document any) {
	text, err := toml.Encode(document)
	assert.NilError(soak.t, err)
	path := filepath.Join(soak.folder, "document.toml")
	assert.NilError(soak.t, os.WriteFile(path, text, 0o600))
	output, err := exec.Command("standin", "put", soak.platform.address, key, path).CombinedOutput()
	assert.NilError(soak.t, err, "%s", output)
}

// Ports of the instances. They lie below those that the kernel gives to outgoing
// connections, so that an instance finds its own free again after a restart.
const (
	soakCallerPort = 7001
	soakPeerPort   = 7002
)

// addressOf returns an address of loopback that only this process and this
// instance use.
func addressOf(number, port int) string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+id/200%200, 1+id%200, 1+number, port)
}

func (soak *soak) startEntries() {
	domains := []string{"muscat-a", "sohar-b", "muscat-a", "nizwa-c"}
	var peers []string
	for number := range soakEntries {
		peers = append(peers, addressOf(number, soakPeerPort))
		soak.callers = append(soak.callers, addressOf(number, soakCallerPort))
	}
	for number := range soakEntries {
		name := fmt.Sprintf("entry%d", number)
		text := fmt.Sprintf(`name = %q
failureDomain = %q
callerAddress = %q
peerAddress = %q
operatorAddress = "127.0.0.1:0"
platform = [%q]
seeds = [%q, %q]
callers = { keepTime = "300ms" }
stop = { leaveTime = "600ms", drainTimeout = "1500ms" }
reading = { watchWait = "500ms", inForceWithin = "3s" }
`, name, domains[number], soak.callers[number], peers[number], soak.platformProxy.address, peers[0], peers[1])
		path := filepath.Join(soak.folder, name+".toml")
		assert.NilError(soak.t, os.WriteFile(path, []byte(text), 0o600))
		entry := &soakProgram{name: name, args: []string{"mimosaspring", "serve", "--settings", path}}
		soak.entries = append(soak.entries, entry)
		soak.launch(entry)
	}
}
