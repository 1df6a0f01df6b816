package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as its sheet states them.
const (
	drainTime    = 3000 * time.Millisecond
	contactTime  = 4000 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	memoryMB     = 284
	retrySlack   = 56
	maxBody      = 262144
	callerHost   = "pupu76.example"
)

// site is a small deployment: the store, the replicas and the instances under test.
type site struct {
	start     time.Time
	folder    string
	network   int
	store     *store
	storeAddr string
	instances []*instance
	replicas  []*replica

	mutex sync.Mutex
	log   *os.File
}

// newSite starts a store. It records what happens in the file at recordPath.
func newSite(recordPath string) *site {
	log, err := os.Create(recordPath)
	if err != nil {
		fail("%v", err)
	}
	folder, err := os.MkdirTemp("", "drill")
	if err != nil {
		fail("%v", err)
	}
	site := &site{start: time.Now(), folder: folder, network: 20 + rand.IntN(200), store: newStore(), log: log}
	for tries := 0; !site.isFree(operatorPort, len(smallSite)); tries++ {
		if tries == 100 {
			site.fail("port %s is free in no network", operatorPort)
		}
		site.network = 20 + rand.IntN(200)
	}
	listener, err := net.Listen("tcp", site.loopback(250)+":0")
	if err != nil {
		fail("listen for store: %v", err)
	}
	site.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, site.store) }()
	return site
}

// now returns the time since the start of the site.
func (site *site) now() time.Duration { return time.Since(site.start) }

// record writes one line to the record.
func (site *site) record(format string, values ...any) {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	_, _ = fmt.Fprintf(site.log, "%8.3f %s\n", site.now().Seconds(), fmt.Sprintf(format, values...))
}

// loopback returns a loopback address of the site's own network.
func (site *site) loopback(number int) string {
	return fmt.Sprintf("127.%d.7.%d", site.network, number)
}

// close ends all processes and removes the temporary folder.
func (site *site) close() {
	for _, instance := range site.instances {
		instance.kill()
	}
	_ = os.RemoveAll(site.folder)
	_ = site.log.Close()
}

// instance is one machine of the deployment with the process under test.
type instance struct {
	site      *site
	name      string
	zone      string
	ip        string
	front     string
	ready     string
	control   string
	directory string
	settings  string
	cmd       *exec.Cmd
	done      chan struct{}
}

// addInstances adds machines to the site and writes their settings. Nothing starts yet.
// The first machine of each zone is a seed.
func (site *site) addInstances(machines [][2]string) {
	var seeds []string
	isSeeded := make(map[string]bool)
	ports := site.freePorts(len(machines))
	for number, machine := range machines {
		ip := site.loopback(1 + number)
		instance := &instance{
			site: site, name: machine[0], zone: machine[1], ip: ip,
			front: ip + ports[0], ready: ip + ports[1], control: ip + ports[2], directory: ip + ports[3],
		}
		if !isSeeded[instance.zone] {
			isSeeded[instance.zone] = true
			seeds = append(seeds, instance.control)
		}
		site.instances = append(site.instances, instance)
	}
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		fail("%v", err)
	}
	for _, instance := range site.instances {
		instance.settings = filepath.Join(site.folder, instance.name+".toml")
		if err := os.WriteFile(instance.settings, []byte(render(string(template), instance.fields(seeds))), 0o600); err != nil {
			fail("%v", err)
		}
	}
}

// operatorPort is the port that the template of the settings names.
const operatorPort = ":9464"

// portsNeeded is the number of ports of a machine that the settings name.
const portsNeeded = 4

// freePorts returns ports, each with a colon before it, that are free on all machines.
func (site *site) freePorts(machines int) []string {
	var ports []string
	for range 1_000 {
		// Below the ports that the kernel assigns to outgoing connections.
		port := fmt.Sprintf(":%d", 10_000+rand.IntN(20_000))
		if !slices.Contains(ports, port) && site.isFree(port, machines) {
			ports = append(ports, port)
		}
		if len(ports) == portsNeeded {
			return ports
		}
	}
	site.fail("no free ports")
	return nil
}

// isFree reports whether the port can be bound on each machine, for TCP and for UDP.
func (site *site) isFree(port string, machines int) bool {
	for number := range machines {
		address := site.loopback(1+number) + port
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = listener.Close()
		socket, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		_ = socket.Close()
	}
	return true
}

// fields returns the settings that the platform knows of a machine, as its pages list them.
func (instance *instance) fields(seeds []string) map[string]any {
	return map[string]any{
		"node_name": instance.name, "zone": instance.zone, "region": "muscat", "ip": instance.ip, "seeds": seeds,
		"listen_addrs": map[string]any{"front": instance.front, "readiness": instance.ready, "control": instance.control, "directory": instance.directory},
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100},
		"bounds":       map[string]any{"config_apply_ms": 3000, "retry_ratio": 0.2, "retry_slack": retrySlack, "retry_window_s": 10, "drain_ms": 3000, "grace_s": 6},
		"platform":     map[string]any{"address": instance.site.storeAddr},
	}
}

// render fills in a template of the deploy file: values, values as JSON and sections.
func render(template string, fields map[string]any) string {
	for {
		start := strings.Index(template, "{{#")
		if start < 0 {
			break
		}
		name := template[start+3 : start+strings.Index(template[start:], "}}")]
		open, end := "{{#"+name+"}}", "{{/"+name+"}}"
		stop := strings.Index(template, end)
		content := template[start+len(open) : stop]
		var filled strings.Builder
		if list, isList := lookUp(fields, name).([]string); isList {
			for index, entry := range list {
				comma := ","
				if index == len(list)-1 {
					comma = ""
				}
				filled.WriteString(strings.NewReplacer("{{.|json}}", `"`+entry+`"`, "{{,}}", comma).Replace(content))
			}
		}
		template = template[:start] + filled.String() + template[stop+len(end):]
	}
	var filled strings.Builder
	for {
		start := strings.Index(template, "{{")
		if start < 0 {
			return filled.String() + template
		}
		end := start + strings.Index(template[start:], "}}")
		name, isJSON := strings.CutSuffix(template[start+2:end], "|json")
		value := lookUp(fields, name)
		filled.WriteString(template[:start])
		if isJSON {
			encoded, _ := json.Marshal(value)
			filled.Write(encoded)
		} else {
			fmt.Fprint(&filled, value)
		}
		template = template[end+2:]
	}
}

// lookUp returns the value of a dotted name, or nil.
func lookUp(fields map[string]any, name string) any {
	var value any = fields
	for part := range strings.SplitSeq(name, ".") {
		table, isTable := value.(map[string]any)
		if !isTable {
			return nil
		}
		value = table[part]
	}
	return value
}

// startProcess starts the instance's process with the command of the deploy file.
func (instance *instance) startProcess() {
	output, err := os.OpenFile(filepath.Join(instance.site.folder, instance.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	instance.cmd = exec.Command("target/mimosaspring", "serve")
	instance.cmd.Env = append(os.Environ(), "MIMOSASPRING_SETTINGS="+instance.settings)
	instance.cmd.Stdout, instance.cmd.Stderr = output, output
	instance.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := instance.cmd.Start(); err != nil {
		fail("start %s: %v", instance.name, err)
	}
	instance.site.record("instance %s starts", instance.name)
	done := make(chan struct{})
	instance.done = done
	cmd := instance.cmd
	go func() {
		_ = cmd.Wait()
		_ = output.Close()
		close(done)
	}()
}

// kill ends the instance's process at once and waits for its end.
func (instance *instance) kill() {
	if instance.cmd == nil {
		return
	}
	_ = instance.cmd.Process.Kill()
	<-instance.done
	instance.cmd = nil
}

// startAll starts all instances and waits until they are ready.
func (site *site) startAll() {
	for _, instance := range site.instances {
		instance.startProcess()
	}
	for _, instance := range site.instances {
		if !instance.awaitReady(15 * time.Second) {
			site.fail("%s does not get ready", instance.name)
		}
	}
	site.record("all instances are ready")
}

// awaitReady waits until the platform's check of the instance succeeds.
func (instance *instance) awaitReady(wait time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + instance.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// reply is what a caller gets.
type reply struct {
	status int
	stamp  string
	body   []byte
	err    error
}

// request sends one request of a caller on a connection of its own, and records it.
func (site *site) request(instance *instance, method, path, id string, deadline time.Duration, body []byte) reply {
	request, err := http.NewRequest(method, "http://"+instance.front+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Host = callerHost
	request.Close = true
	request.Header.Set(headerRequest, id)
	request.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	site.record("caller sends %s %s %s to %s", method, path, id, instance.name)
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		site.record("caller gets no answer to %s: %v", id, err)
		return reply{err: err}
	}
	defer response.Body.Close()
	content := new(bytes.Buffer)
	_, err = content.ReadFrom(response.Body)
	site.record("caller gets %d to %s, stamp %q, %d bytes, %v", response.StatusCode, id, response.Header.Get(headerStamp), content.Len(), err)
	return reply{status: response.StatusCode, stamp: response.Header.Get(headerStamp), body: content.Bytes(), err: err}
}

// newID returns a new identity of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// fail ends a case that could not run, with the processes of the site.
func (site *site) fail(format string, values ...any) {
	site.record(format, values...)
	site.close()
	fail(format, values...)
}

// fail ends a case that could not run.
func fail(format string, values ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", values...)
	os.Exit(exitNotRun)
}
