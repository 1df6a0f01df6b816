package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/standin/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
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
	// soakService is the median time of a request at a replica: long enough for
	// faults to meet requests.
	soakService = "30ms"
	// soakSettle is how long after the last fault all instances must serve
	// whole answers again: membership, the readers' back-off and the time for
	// which a silent connection is kept.
	soakSettle = 10 * time.Second
)

// soakRegressions holds the seeds that once failed, with the cause.
var soakRegressions = map[string]uint64{
	// The bound of a stop left out the time for an heir that was killed a
	// second before.
	"an heir is killed before a handover": 235,
}

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
		TrafficSplit: []api.UpstreamWeight{{Upstream: "ledger", Weight: 1}},
		Timeout:      api.Duration{Duration: time.Second}, Routes: []api.Route{{Host: soakHost, Prefix: "/late/", Kind: "all"}},
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
	return err == nil && response.StatusCode == http.StatusOK && response.Header.Get(wire.DefaultHeaderNames.MissingParts) == "0"
}

// check compares what callers saw with what the replicas ran.
func (soak *soak) check() {
	runs := make(map[string]int)
	for number, replica := range soak.replicas {
		var counts upstream.Counts
		err := wire.NewInstanceClient(replica.address).Get(soak.t.Context(), "/admin/counts", &counts)
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
