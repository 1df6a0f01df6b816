package main

import (
	"fmt"
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

// Ports of a machine of the system. Each machine has a loopback address of its own.
const (
	directoryPort = 8100
	frontPort     = 8104
	controlPort   = 8106
	readinessPort = 8108
)

// fleet holds the processes of the system.
type fleet struct {
	folder   string
	machines []*machine
	record   *record
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
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{folder: folder, record: record}
	var seeds []string
	for number := range min(len(zones), 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", prefix, number+1, controlPort))
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
	address := func(port int) string { return fmt.Sprintf(`"%s:%d"`, machine.ip, port) }
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

// frontAddress returns the address for callers.
func (machine *machine) frontAddress() string { return fmt.Sprintf("%s:%d", machine.ip, frontPort) }

// isReady asks the process as the platform does.
func (machine *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", machine.ip, readinessPort))
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
