package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// The limits of the instance in TestCrowds, and the bounds that follow from them.
const (
	// crowdMemoryBytes is the memory that the settings grant the process.
	crowdMemoryBytes = 64_000_000
	// crowdMaxDescriptors is the limit on open descriptors that the process is started
	// with.
	crowdMaxDescriptors = 600
	// crowdReservedDescriptors must stay free of the limit.
	crowdReservedDescriptors = 200
	// crowdAnswerBytes is the size of the answer that crowds ask for. The socket buffers
	// hold only a part of it.
	crowdAnswerBytes = 4 << 20
	// crowdAnswerTimeout ends a test whose ordinary request gets no answer at all.
	crowdAnswerTimeout = 60 * time.Second
)

// Bodies of the crowds. The largest legal body is 256 KB unless a document says
// otherwise.
const (
	crowdLegalBody   = 256 << 10
	crowdMissing     = 10
	crowdSmallChunks = 200_000
	crowdFarOver     = 4 << 20
)

// TestCrowds lets crowds of clients that stay open, and mostly stop short of the end of
// a message, connect to an instance with little memory and few descriptors. The process
// must live within both, and must answer an ordinary request to the same address
// afterwards, while the crowd is still connected.
func TestCrowds(t *testing.T) {
	post := func(framing string) string {
		return "POST /read/x HTTP/1.1\r\nHost: " + soakHost + "\r\nMimosa-Request: crowd\r\nMimosa-Deadline-Millis: 1000\r\n" + framing + "\r\n\r\n"
	}
	body := strings.Repeat("x", crowdLegalBody-crowdMissing)
	announced := post("Content-Length: " + strconv.Itoa(crowdLegalBody))
	chunked := post("Transfer-Encoding: chunked")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 32<<10, strings.Repeat("x", 32<<10))
	manyLines := strings.Builder{}
	for number := range 30_000 {
		fmt.Fprintf(&manyLines, "x%x:\r\n", number)
	}
	endlessHead := "GET /read/x HTTP/1.1\r\nHost: " + soakHost + "\r\n" + manyLines.String()
	tests := map[string]crowd{
		"large bodies that stop short":              {port: crowdCallerPort, size: 300, pieces: []string{announced + body}},
		"large bodies that are whole":               {port: crowdCallerPort, size: 300, pieces: []string{announced + body + strings.Repeat("x", crowdMissing)}},
		"large bodies piece by piece":               {port: crowdCallerPort, size: 300, pieces: append([]string{announced}, split(body, 16<<10)...)},
		"large chunks that stop short":              {port: crowdCallerPort, size: 300, pieces: []string{chunked, strings.Repeat(chunk, 7), fmt.Sprintf("%x\r\n%s", 32<<10, strings.Repeat("x", 32<<10-crowdMissing))}},
		"chunks of one byte that stop short":        {port: crowdCallerPort, size: 300, pieces: []string{chunked, strings.Repeat("1\r\nx\r\n", crowdSmallChunks)}},
		"bodies announced far over the limit":       {port: crowdCallerPort, size: 300, pieces: []string{post("Content-Length: 1000000000"), strings.Repeat("x", crowdFarOver)}},
		"chunked bodies far over the limit":         {port: crowdCallerPort, size: 300, pieces: []string{chunked, strings.Repeat(chunk, crowdFarOver/(32<<10))}},
		"heads that never end":                      {port: crowdCallerPort, size: 300, pieces: []string{endlessHead}},
		"heads that never end, for operators":       {port: crowdOperatorPort, size: 300, pieces: []string{endlessHead}},
		"heads that never end, for the locator":     {port: crowdLocatorPort, size: 300, pieces: []string{endlessHead}},
		"heads that never end, for readiness":       {port: crowdReadinessPort, size: 300, pieces: []string{endlessHead}},
		"connections without a request":             {port: crowdCallerPort, size: 900},
		"connections to operators without request":  {port: crowdOperatorPort, size: 900},
		"connections to the locator, no request":    {port: crowdLocatorPort, size: 900},
		"connections to readiness, without request": {port: crowdReadinessPort, size: 900},
		"idle connections after a request":          {port: crowdCallerPort, size: 900, pieces: []string{"GET /v1/instances HTTP/1.1\r\nHost: x\r\n\r\n"}},
		"bodies for operators that stop short":      {port: crowdOperatorPort, size: 900, pieces: []string{"GET /v1/status HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nx"}},
		"answers that are not read": {
			port: crowdCallerPort, size: 60, receiveBufferBytes: 4 << 10,
			pieces: []string{"GET /read/large HTTP/1.1\r\nHost: " + soakHost + "\r\nMimosa-Request: crowd\r\nMimosa-Deadline-Millis: 30000\r\n\r\n"},
			settle: 5 * time.Second,
		},
		"own queries that stop short":  {port: crowdCallerPort, size: 900, pieces: []string{"POST /v1/scopes/read/queries HTTP/1.1\r\nHost: x\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 65536-crowdMissing)}},
		"own commands that stop short": {port: crowdCallerPort, size: 900, pieces: []string{"POST /v1/scopes/read/commands HTTP/1.1\r\nHost: x\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 65536-crowdMissing)}},
	}
	program := buildProgram(t)
	for name, crowd := range tests {
		t.Run(name, func(t *testing.T) {
			scriptSlot <- struct{}{}
			defer func() { <-scriptSlot }()
			crowdsite := newCrowdSite(t, program, defaultCrowdLimits)
			crowdsite.checkOrdinary(crowd.port)
			crowdsite.checkLargest()
			connections := crowd.connect(t, crowdsite.addresses[crowd.port])
			defer connections.close()
			connections.send()
			time.Sleep(crowd.settle)
			crowdsite.checkOrdinary(crowd.port)
			crowdsite.checkOrdinary(crowdCallerPort)
			crowdsite.checkBounds()
		})
	}
}

// split returns text in pieces of at most size bytes.
func split(text string, size int) []string {
	var pieces []string
	for ; len(text) > size; text = text[size:] {
		pieces = append(pieces, text[:size])
	}
	return append(pieces, text)
}

// crowdPort is one of the listeners of the instance.
type crowdPort int

// The values are the ports, below the range that the kernel assigns to outgoing
// connections.
const (
	crowdCallerPort    crowdPort = 7001
	crowdPeerPort      crowdPort = 7002
	crowdOperatorPort  crowdPort = 7003
	crowdLocatorPort   crowdPort = 7004
	crowdReadinessPort crowdPort = 7005
)

// crowdHostNumber is the number of the instance in its loopback address. It is none of
// the soak test's.
const crowdHostNumber = 100

// crowdLimits holds the limits of the instance of a crowdSite, which it must stay within.
type crowdLimits struct {
	memoryBytes    int64
	maxDescriptors int
}

// defaultCrowdLimits holds the limits of most crowds.
var defaultCrowdLimits = crowdLimits{memoryBytes: crowdMemoryBytes, maxDescriptors: crowdMaxDescriptors}

// crowdSite is one instance with the platform's stand-in and one replica.
type crowdSite struct {
	*soak
	limits    crowdLimits
	replica   *httptest.Server
	addresses map[crowdPort]string
	instance  *soakProgram
	watch     *processWatch
}

// buildProgram builds mimosaspring as it is built for use, because the race detector
// takes several times the memory, and returns its path.
func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "mimosaspring")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return program
}

// newCrowdSite starts the programs; program is the path of the instance's.
func newCrowdSite(t *testing.T, program string, limits crowdLimits) *crowdSite {
	crowdsite := &crowdSite{limits: limits, soak: &soak{t: t, folder: t.TempDir(), start: time.Now()}, addresses: make(map[crowdPort]string)}
	crowdsite.platform = &soakProgram{name: "platform", args: []string{"standin", "platform"}}
	crowdsite.launch(crowdsite.platform)
	t.Cleanup(func() { crowdsite.stop(crowdsite.platform) })
	crowdsite.platform.address = crowdsite.awaitListenAddress(crowdsite.platform)
	crowdsite.replica = httptest.NewServer(http.HandlerFunc(serveCrowdReplica))
	t.Cleanup(crowdsite.replica.CloseClientConnections)
	crowdsite.publishDocuments()
	for _, port := range []crowdPort{crowdCallerPort, crowdPeerPort, crowdOperatorPort, crowdLocatorPort, crowdReadinessPort} {
		crowdsite.addresses[port] = loopbackAddress(crowdHostNumber, int(port))
	}
	settings := filepath.Join(crowdsite.folder, "entry.toml")
	assert.NilError(t, os.WriteFile(settings, []byte(crowdsite.settings()), 0o600))
	script := fmt.Sprintf("ulimit -n %d && exec %s serve --settings %s", limits.maxDescriptors, program, settings)
	crowdsite.instance = &soakProgram{name: "entry", args: []string{"sh", "-c", script}}
	crowdsite.launch(crowdsite.instance)
	t.Cleanup(func() { crowdsite.stop(crowdsite.instance) })
	crowdsite.watch = &processWatch{processID: crowdsite.instance.cmd.Process.Pid, done: make(chan struct{}), ended: make(chan struct{})}
	go crowdsite.watch.run()
	t.Cleanup(crowdsite.watch.stop)
	crowdsite.awaitOrdinary()
	return crowdsite
}

// stop kills a program and shows its log if the test failed.
func (crowdsite *crowdSite) stop(program *soakProgram) {
	crowdsite.signal(program, syscall.SIGKILL)
	<-program.done
	if text, err := os.ReadFile(program.output.Name()); err == nil && crowdsite.t.Failed() {
		crowdsite.t.Logf("the end of the log of %s:\n%s", program.name, text[max(0, len(text)-4_000):])
	}
}

func (crowdsite *crowdSite) settings() string {
	return fmt.Sprintf(`name = "entry"
failureDomain = "muscat-a"
callerAddress = %q
peerAddress = %q
operatorAddress = %q
locatorAddress = %q
readinessAddress = %q
platform = [%q]
process = { memoryBytes = %d, cores = 2 }
`, crowdsite.addresses[crowdCallerPort], crowdsite.addresses[crowdPeerPort], crowdsite.addresses[crowdOperatorPort],
		crowdsite.addresses[crowdLocatorPort], crowdsite.addresses[crowdReadinessPort], crowdsite.platform.address, crowdsite.limits.memoryBytes)
}

// publishDocuments configures the scope "read", whose requests go to the replica.
func (crowdsite *crowdSite) publishDocuments() {
	labels := map[string]string{"group": "ledger"}
	crowdsite.publish(api.UpstreamsPrefix+"trials", api.Upstreams{Upstreams: []api.Upstream{{Name: "ledger", Labels: labels, Slots: 4, ConnectionLimit: 25}}})
	crowdsite.publish(api.IndexPrefix+"trials", api.Index{Name: "trials", Snapshot: 7, Shards: []api.Shard{{Name: "ledger", Upstream: "ledger", Epoch: 1, Labels: labels}}})
	crowdsite.publish(api.InstancesPrefix+"trials", api.InstanceList{Instances: []api.Instance{{
		Name: "ledger-0", Upstream: "ledger", Address: crowdsite.replica.Listener.Addr().String(), FailureDomain: "muscat-a", State: api.InstanceLive, Incarnation: 1,
	}}})
	crowdsite.publish(api.ScopePrefix+"read", api.Scope{
		Name: "read", Tenant: "batinah", Class: "ledger", Aim: api.AimLatency, Form: api.FormRelayed, MaxAttempts: 2,
		TrafficSplit: []api.UpstreamWeight{{Upstream: "ledger", Weight: 1}},
		Timeout:      api.Duration{Duration: 30 * time.Second},
		Routes:       []api.Route{{Host: soakHost, Prefix: "/read/", Kind: "all"}},
	})
}

// serveCrowdReplica answers with the size of the request's body, or with
// crowdAnswerBytes for the path /read/large.
func serveCrowdReplica(writer http.ResponseWriter, request *http.Request) {
	size, _ := io.Copy(io.Discard, request.Body)
	names := wire.DefaultHeaderNames
	writer.Header().Set(names.Identity, request.Header.Get(names.Identity))
	writer.Header().Set(names.Signature, "s")
	answer := fmt.Sprintf("%d bytes", size)
	if request.URL.Path == "/read/large" {
		answer = strings.Repeat("y", crowdAnswerBytes)
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(writer, answer)
}

// awaitOrdinary waits up to 10 s until the instance answers.
func (crowdsite *crowdSite) awaitOrdinary() {
	var err error
	for range 200 {
		if err = crowdsite.exchange(crowdCallerPort, http.MethodGet, "/read/x", ""); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	crowdsite.t.Fatalf("the instance does not answer: %v", err)
}

// checkOrdinary checks that one ordinary request to a port is answered: for callers a
// GET and a small POST.
func (crowdsite *crowdSite) checkOrdinary(port crowdPort) {
	crowdsite.t.Helper()
	paths := map[crowdPort]string{crowdOperatorPort: "/v1/health", crowdLocatorPort: "/", crowdReadinessPort: "/"}
	if port != crowdCallerPort {
		assert.NilError(crowdsite.t, crowdsite.exchange(port, http.MethodGet, paths[port], ""), "%s", crowdsite.watch)
		return
	}
	assert.NilError(crowdsite.t, crowdsite.exchange(port, http.MethodGet, "/read/x", ""), "%s", crowdsite.watch)
	assert.NilError(crowdsite.t, crowdsite.exchange(port, http.MethodPost, "/read/x", "an ordinary body"), "%s", crowdsite.watch)
}

// checkLargest checks that a request with the largest legal body is answered in calm.
func (crowdsite *crowdSite) checkLargest() {
	crowdsite.t.Helper()
	assert.NilError(crowdsite.t, crowdsite.exchange(crowdCallerPort, http.MethodPost, "/read/x", strings.Repeat("x", crowdLegalBody)))
}

// exchange sends one request on a new connection and checks its answer.
func (crowdsite *crowdSite) exchange(port crowdPort, method, path, body string) error {
	request, err := http.NewRequestWithContext(crowdsite.t.Context(), method, "http://"+crowdsite.addresses[port]+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Host = soakHost
	request.Header.Set(wire.DefaultHeaderNames.Identity, fmt.Sprintf("ordinary-%d", time.Now().UnixNano()))
	client := &http.Client{Timeout: crowdAnswerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	want := fmt.Sprintf("%d bytes", len(body))
	if response.StatusCode != http.StatusOK || port == crowdCallerPort && string(text) != want {
		return fmt.Errorf("status %d, body %.80q", response.StatusCode, text)
	}
	return nil
}

// checkBounds checks that the process lives and stayed within its bounds.
func (crowdsite *crowdSite) checkBounds() {
	crowdsite.t.Helper()
	select {
	case <-crowdsite.instance.done:
		crowdsite.t.Fatalf("the process ended; %s", crowdsite.watch)
	default:
	}
	crowdsite.watch.stop()
	crowdsite.t.Logf("%s", crowdsite.watch)
	assert.Check(crowdsite.t, crowdsite.watch.peakMemory > 0 && crowdsite.watch.peakMemory <= crowdsite.limits.memoryBytes, "%s", crowdsite.watch)
	assert.Check(crowdsite.t, crowdsite.watch.peakDescriptors <= crowdsite.limits.maxDescriptors-crowdReservedDescriptors, "%s", crowdsite.watch)
}
