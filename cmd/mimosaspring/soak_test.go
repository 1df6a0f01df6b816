package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/standin/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
	"github.com/mimosaspring/mimosaspring/internal/wire/toml"
)

var (
	soakSeed   = flag.Uint64("soak.seed", 1, "the first seed of the soak")
	soakSeeds  = flag.Int("soak.seeds", 2, "how many seeds the soak plays")
	soakLength = flag.Duration("soak.length", 8*time.Second, "how long the soak injects faults for each seed")
)

const (
	soakShards   = 4
	soakEntries  = 4
	soakReplicas = 2
	// soakSettle is how long after the last fault all instances must serve
	// whole answers again: membership, the readers' back-off and the time for
	// which a silent connection is kept.
	soakSettle = 10 * time.Second
)

// soakRegressions holds the seeds that once failed, with the cause.
var soakRegressions = map[string]uint64{}

// TestSoak runs the real programs under faults injected from outside: harmed
// connections to replicas and to the platform, instances and replicas that are
// paused, killed, stopped and restarted, in series and overlapping. It checks what
// callers and replicas see.
func TestSoak(t *testing.T) {
	tests := make(map[string]uint64)
	for name, seed := range soakRegressions {
		tests[name] = seed
	}
	for number := range uint64(*soakSeeds) {
		tests[fmt.Sprintf("seed %d", *soakSeed+number)] = *soakSeed + number
	}
	for name, seed := range tests {
		t.Run(name, func(t *testing.T) {
			turns <- struct{}{}
			defer func() { <-turns }()
			newSoak(t, seed).play()
		})
	}
}

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

// soak is one play of one seed.
type soak struct {
	t      *testing.T
	random *rand.Rand
	folder string
	start  time.Time

	platform      *soakProgram
	platformProxy *proxy
	replicas      []*soakProgram
	proxies       []*proxy
	instances     []api.Instance
	entries       []*soakProgram
	callers       []string
	load          *soakLoad
	// troubled holds, by instance, when its process was harmed in another way
	// than by an order to stop.
	troubled map[int][]time.Time
	// stopped holds, by instance, when it was ordered to stop.
	stopped map[int][]time.Time
	pending []pendingMend
	// events tells the faults.
	events []string
}

func newSoak(t *testing.T, seed uint64) *soak {
	soak := &soak{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, seed)),
		folder:   t.TempDir(),
		start:    time.Now(),
		troubled: make(map[int][]time.Time),
		stopped:  make(map[int][]time.Time),
	}
	t.Cleanup(soak.end)
	soak.startPlatform()
	soak.startReplicas()
	soak.startEntries()
	return soak
}

// end kills what the soak started, by its own process ids.
func (soak *soak) end() {
	programs := append(append([]*soakProgram{soak.platform}, soak.replicas...), soak.entries...)
	for _, program := range programs {
		soak.signal(program, syscall.SIGCONT)
		soak.signal(program, syscall.SIGKILL)
		<-program.done
	}
	for _, proxy := range append(soak.proxies, soak.platformProxy) {
		proxy.close()
	}
	if soak.t.Failed() {
		kept, err := os.MkdirTemp("", "soak-")
		if err == nil {
			err = os.CopyFS(kept, os.DirFS(soak.folder))
		}
		soak.t.Logf("logs kept in %s (%v); events:\n%s", kept, err, strings.Join(soak.events, "\n"))
	}
}

func (soak *soak) note(format string, args ...any) {
	soak.events = append(soak.events, fmt.Sprintf("%6.2f s ", time.Since(soak.start).Seconds())+fmt.Sprintf(format, args...))
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

func (program *soakProgram) run(cmd *exec.Cmd, done chan struct{}) {
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
	ledger := []api.Share{{Upstream: "ledger", Weight: 1}}
	scopes := []api.Scope{
		{
			Name: "burn", Tenant: "batinah", Class: "lookup", Index: "trials", Aim: api.AimLatency, Form: api.FormMerged, TopK: soakTopK, MinCoverage: 0.5,
			MaxAttempts: 2, TargetLatency: millis(200), Timeout: millis(1000), Routes: route("/burn/"),
			Selectors: []api.Selector{{Kind: "all", Shards: map[string][]string{"group": {"desk"}}}},
		},
		{Name: "read", Tenant: "batinah", Class: "ledger", Aim: api.AimLatency, Form: api.FormRelayed, MaxAttempts: 2, Split: ledger, Timeout: millis(1000), TargetLatency: millis(400), Routes: route("/read/")},
		{Name: "book", Tenant: "batinah", Class: "ledger", Aim: api.AimLatency, Form: api.FormRelayed, MaxAttempts: 2, Command: true, Split: ledger, Timeout: millis(1000), TargetLatency: millis(400), Routes: route("/book/")},
	}
	soak.put(api.UpstreamsPrefix+"trials", upstreams)
	soak.put(api.IndexPrefix+"trials", index)
	soak.put(api.InstancesPrefix+"trials", api.InstanceList{Instances: soak.instances})
	for _, scope := range scopes {
		soak.put(api.ScopePrefix+scope.Name, scope)
	}
}

func (soak *soak) startReplica(name, shard, domain string) {
	program := &soakProgram{name: name, args: []string{"standin", "upstream", "--name", name, "--shards", shard + "=1"}}
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

// play sends requests while faults come and go, and checks the promises.
func (soak *soak) play() {
	soak.load = &soakLoad{entries: soak.callers, random: rand.New(rand.NewPCG(soak.random.Uint64(), 0))}
	soak.load.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	soak.awaitWhole()
	ctx, cancel := context.WithCancel(soak.t.Context())
	defer cancel()
	loaded := make(chan struct{})
	go (&soakRunner{load: soak.load, ctx: ctx, done: loaded}).run()
	for begun := time.Now(); time.Since(begun) < *soakLength; {
		soak.fault()
		time.Sleep(time.Duration(soak.random.IntN(400)) * time.Millisecond)
		soak.mendDue(false)
	}
	soak.heal()
	time.Sleep(time.Second)
	cancel()
	<-loaded
	soak.awaitWhole()
	soak.checkConfiguration()
	soak.check()
}

// soakInForce is the time in which an accepted configuration is in force
// everywhere.
const soakInForce = 4 * time.Second

// checkConfiguration publishes a scope and waits until all instances have it;
// once it is there it stays.
func (soak *soak) checkConfiguration() {
	soak.put(api.ScopePrefix+"late", api.Scope{
		Name: "late", Tenant: "batinah", Class: "ledger", Aim: api.AimLatency, Form: api.FormRelayed, MaxAttempts: 2,
		Split:   []api.Share{{Upstream: "ledger", Weight: 1}},
		Timeout: api.Duration{Duration: time.Second}, Routes: []api.Route{{Host: soakHost, Prefix: "/late/", Kind: "all"}},
	})
	published := time.Now()
	for number := range soak.callers {
		isSeen := false
		for attempt := 0; !isSeen || attempt < 5; attempt++ {
			request := &soakRequest{identity: fmt.Sprintf("probe-late-%d-%d", number, attempt), kind: "late", entry: number}
			response, _, err := (&soakCall{load: soak.load, request: request}).exchange()
			isKnown := err == nil && response.StatusCode != http.StatusNotFound
			if isSeen && err == nil && !isKnown {
				soak.load.violate("instance %d went back to an older configuration", number)
			}
			isSeen = isSeen || isKnown
			if !isSeen && time.Since(published) > soakInForce {
				soak.load.violate("instance %d has no configuration of %s ago", number, soakInForce)
				break
			}
		}
	}
}

type soakRunner struct {
	load *soakLoad
	ctx  context.Context
	done chan struct{}
}

func (soakrunner *soakRunner) run() {
	soakrunner.load.run(soakrunner.ctx)
	close(soakrunner.done)
}

// awaitWhole waits until every instance answers with all shards.
func (soak *soak) awaitWhole() {
	began := time.Now()
	for number := range soak.callers {
		for attempt := 0; !soak.isWhole(number, attempt); attempt++ {
			if time.Since(began) > soakSettle {
				soak.t.Fatalf("instance %d does not serve whole answers %s after the last fault", number, soakSettle)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (soak *soak) isWhole(number, attempt int) bool {
	probe := &soakRequest{identity: fmt.Sprintf("probe-%d-%d-%d", number, attempt, time.Now().UnixNano()), kind: "burn", entry: number}
	response, _, err := (&soakCall{load: soak.load, request: probe}).exchange()
	return err == nil && response.StatusCode == http.StatusOK && response.Header.Get(wire.OwnNames.MissingParts) == "0"
}

// check compares what callers saw with what the replicas ran.
func (soak *soak) check() {
	runs := make(map[string]int)
	for number, replica := range soak.replicas {
		var counts upstream.Counts
		err := wire.NewCaller(replica.address).Get(soak.t.Context(), "/admin/counts", &counts)
		assert.NilError(soak.t, err, "replica %d", number)
		for identity, run := range counts.Relayed {
			if !strings.HasPrefix(identity, "probe-") {
				runs[identity] += run.Runs
			}
		}
	}
	codes := make(map[int]int)
	sent := make(map[string]bool)
	for _, request := range soak.load.requests {
		codes[request.code]++
		sent[request.identity] = true
		soak.checkRequest(request, runs[request.identity])
	}
	for identity := range runs {
		if !sent[identity] {
			soak.load.violate("request %s ran, but no caller sent it", identity)
		}
	}
	soak.t.Logf("%d requests, by status %v; %d faults", len(soak.load.requests), codes, len(soak.events))
	for _, violation := range soak.load.violations {
		soak.t.Error(violation)
	}
}

func (soak *soak) checkRequest(request *soakRequest, runs int) {
	isRefused := request.code == http.StatusServiceUnavailable || request.code == http.StatusTooManyRequests
	switch {
	case request.kind == "book" && runs > 1:
		soak.load.violate("command %s ran %d times", request.identity, runs)
	case request.kind == "book" && isRefused && runs > 0:
		soak.load.violate("command %s was refused as not run and ran", request.identity)
	case request.kind == "book" && request.code == http.StatusOK && runs != 1:
		soak.load.violate("command %s was answered and ran %d times", request.identity, runs)
	case request.code == 0 && runs > 0 && soak.isOnlyStopped(request):
		soak.load.violate("%s %s ran, and instance %d cut it off around its planned stop: %v", request.kind, request.identity, request.entry, request.err)
	}
	if request.code >= 400 && request.code < 500 && request.code != http.StatusTooManyRequests {
		soak.load.violate("%s %s was answered %d", request.kind, request.identity, request.code)
	}
}

// stopSpan is how long before and after a request an order to stop counts.
const stopSpan = 4 * time.Second

// isOnlyStopped reports whether the request's instance was ordered to stop
// around it and was not harmed in another way.
func (soak *soak) isOnlyStopped(request *soakRequest) bool {
	isNear := func(times []time.Time) bool {
		for _, at := range times {
			if at.After(request.sent.Add(-stopSpan)) && at.Before(request.ended) {
				return true
			}
		}
		return false
	}
	return isNear(soak.stopped[request.entry]) && !isNear(soak.troubled[request.entry])
}
