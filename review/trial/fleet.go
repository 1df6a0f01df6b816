package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine of the system, as offsets from the fleet's first port. Each machine
// has a loopback address of its own, and all have the same ports.
const (
	directoryPort = iota
	frontPort
	controlPort
	readinessPort
	portCount
)

// operatorPort is the port that the settings template names.
const operatorPort = 9464

// findPorts returns the first of portCount consecutive ports that are free on the given
// number of machines, for TCP and UDP.
func findPorts(prefix string, machines int) (int, error) {
	for range 100 {
		first := 10_000 + rand.N(20_000)
		if arePortsFree(prefix, machines, first, portCount) && arePortsFree(prefix, machines, operatorPort, 1) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s.1 and the addresses after it; port %d must be free too", prefix, operatorPort)
}

// arePortsFree reports whether count ports from first can be bound on all machines.
func arePortsFree(prefix string, machines, first, count int) bool {
	for number := range machines {
		for port := first; port < first+count; port++ {
			address := fmt.Sprintf("%s.%d:%d", prefix, number+1, port)
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
	}
	return true
}

// fleet holds the processes of the system.
type fleet struct {
	folder   string
	machines []*machine
	// firstPort is the first of the ports of each machine.
	firstPort int
	record    *record
}

// machine is one machine of the system, with one process.
type machine struct {
	fleet *fleet
	name  string
	zone  string
	ip    string
	seeds []string

	settings string
	mutex    sync.Mutex
	command  *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// program is what deploy/system.toml starts.
const program = "target/mimosaspring"

// newFleet returns machines in the given zones, which are not started yet. Its
// addresses begin with prefix, the first three numbers of an address.
func newFleet(prefix, storeAddress string, zones []string, record *record) (*fleet, error) {
	firstPort, err := findPorts(prefix, len(zones))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{folder: folder, record: record, firstPort: firstPort}
	var seeds []string
	for number := range min(len(zones), 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", prefix, number+1, firstPort+controlPort))
	}
	for number, zone := range zones {
		machine := &machine{fleet: fleet, name: fmt.Sprintf("front-%s-%d", zone, number+1), zone: zone, ip: fmt.Sprintf("%s.%d", prefix, number+1), seeds: seeds}
		if err := machine.writeSettings(storeAddress); err != nil {
			return nil, err
		}
		fleet.machines = append(fleet.machines, machine)
	}
	return fleet, nil
}

// placeholder matches a placeholder of the settings template.
var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// writeSettings fills in the template of the deploy file as the platform does.
func (machine *machine) writeSettings(storeAddress string) error {
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return err
	}
	address := func(port int) string { return `"` + machine.address(port) + `"` }
	values := map[string]string{
		"node_name|json": `"` + machine.name + `"`, "zone|json": `"` + machine.zone + `"`, "ip": machine.ip,
		"listen_addrs.front|json": address(frontPort), "listen_addrs.control|json": address(controlPort),
		"listen_addrs.directory|json": address(directoryPort), "listen_addrs.readiness|json": address(readinessPort),
		"platform.address|json": `"` + storeAddress + `"`,
		"limits.cores":          "1", "limits.cpu_share": "0.4", "limits.memory_mb": "284",
		"bounds.config_apply_ms": "3000", "bounds.retry_ratio": "0.2", "bounds.retry_slack": "56", "bounds.retry_window_s": "10",
	}
	text := string(template)
	begin, end := strings.Index(text, "{{#seeds}}"), strings.Index(text, "{{/seeds}}")
	if begin < 0 || end < 0 {
		return fmt.Errorf("the settings template has no section for the seeds")
	}
	quoted := `"` + strings.Join(machine.seeds, `", "`) + `"`
	text = text[:begin] + quoted + text[end+len("{{/seeds}}"):]
	unknown := ""
	text = placeholder.ReplaceAllStringFunc(text, func(found string) string {
		value, isKnown := values[strings.Trim(found, "{}")]
		if !isKnown {
			unknown = found
		}
		return value
	})
	if unknown != "" {
		return fmt.Errorf("the settings template has an unknown placeholder %s", unknown)
	}
	machine.settings = filepath.Join(machine.fleet.folder, machine.name+".toml")
	return os.WriteFile(machine.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (machine *machine) start() error {
	log, err := os.OpenFile(filepath.Join(machine.fleet.folder, machine.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, "serve")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MIMOSASPRING_SETTINGS=" + machine.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	machine.mutex.Lock()
	machine.command, machine.ended = command, ended
	machine.mutex.Unlock()
	machine.fleet.record.line("started %s on %s", machine.name, machine.ip)
	go func() {
		err := command.Wait()
		machine.fleet.record.line("%s ended: %v", machine.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (machine *machine) signal(signal syscall.Signal) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	machine.fleet.record.line("%v to %s", signal, machine.name)
	_ = machine.command.Process.Signal(signal)
}

// hasEnded returns a channel that is closed when the process has ended, or nil if it was
// never started.
func (machine *machine) hasEnded() <-chan struct{} {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	return machine.ended
}

// start starts all processes and waits until all of them are ready.
func (fleet *fleet) start() error {
	for _, machine := range fleet.machines {
		if err := machine.start(); err != nil {
			return err
		}
	}
	for _, machine := range fleet.machines {
		if err := machine.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the process is ready.
func (machine *machine) awaitReady() error {
	limit := time.Now().Add(15 * time.Second)
	for !machine.isReady() {
		if time.Now().After(limit) {
			return fmt.Errorf("%s is not ready 15 s after its start", machine.name)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// address returns the machine's address with one of its ports.
func (machine *machine) address(port int) string {
	return fmt.Sprintf("%s:%d", machine.ip, machine.fleet.firstPort+port)
}

// frontAddress returns the address for callers.
func (machine *machine) frontAddress() string { return machine.address(frontPort) }

// isReady asks the process as the platform does.
func (machine *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + machine.address(readinessPort) + "/v1/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop kills all processes and removes the temporary folder.
func (fleet *fleet) stop() {
	for _, machine := range fleet.machines {
		if ended := machine.hasEnded(); ended != nil {
			machine.signal(syscall.SIGKILL)
			<-ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.folder)
	} else {
		fmt.Println("logs are in", fleet.folder)
	}
}
