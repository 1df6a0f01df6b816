package main

import (
	"encoding/json"
	"errors"
	"fmt"
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

// record is the file record.txt of a case.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func (record *record) log(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	line := fmt.Sprintf("%7.3f s  ", time.Since(record.start).Seconds()) + fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintln(record.file, line)
	fmt.Println(line)
}

// machine is one machine of the deployment with its process of the system.
type machine struct {
	name, zone, ip string
	fleet          *fleet
	mutex          sync.Mutex
	command        *exec.Cmd
	exited         chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	folder   string
	record   *record
	store    *store
	ports    map[string]int
	machines []*machine
	figures  figures
}

// front returns the address for consumers.
func (machine *machine) front() string { return machine.address("front") }

func (machine *machine) address(listener string) string {
	return fmt.Sprintf("%s:%d", machine.ip, machine.fleet.ports[listener])
}

// operatorPort is the port of the operators' listener in deploy/settings.toml.
const operatorPort = 9464

// chooseAddresses gives each machine a loopback address of its own, and all of them the same
// ports, so that everything is free that their processes will listen on.
func (fleet *fleet) chooseAddresses() error {
	for number := range 200 {
		block := fmt.Sprintf("127.88.%d", (os.Getpid()+number)%250)
		for index, machine := range fleet.machines {
			machine.ip = fmt.Sprintf("%s.%d", block, 20+index)
		}
		if fleet.choosePorts() == nil {
			return nil
		}
	}
	return errors.New("no loopback addresses and ports are free")
}

// choosePorts chooses ports that are free at the address of the first machine, and reports
// an error unless they and the operators' port are free at all of them.
func (fleet *fleet) choosePorts() error {
	fleet.ports = make(map[string]int)
	for _, name := range []string{"front", "readiness", "control", "directory"} {
		listener, err := net.Listen("tcp", fleet.machines[0].ip+":0")
		if err != nil {
			return err
		}
		defer listener.Close()
		fleet.ports[name] = listener.Addr().(*net.TCPAddr).Port
	}
	for index, machine := range fleet.machines {
		control, err := net.ListenPacket("udp", machine.address("control"))
		if err != nil {
			return err
		}
		_ = control.Close()
		addresses := []string{fmt.Sprintf("%s:%d", machine.ip, operatorPort)}
		for name := range fleet.ports {
			if index > 0 {
				addresses = append(addresses, machine.address(name))
			}
		}
		for _, address := range addresses {
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return err
			}
			_ = listener.Close()
		}
	}
	return nil
}

// figures are those of a site that the settings of its machines state.
type figures struct {
	memoryMB, maxDescriptors int
	cpuShare                 float64
	configApplyMS            int
	retrySlack               int
}

// The figures of the users' sheets. Where machines differ, they are those of the smallest.
var (
	batinah = figures{memoryMB: 284, maxDescriptors: 4100, cpuShare: 0.4, configApplyMS: 3000, retrySlack: 56}
	socios  = figures{memoryMB: 136, maxDescriptors: 2870, cpuShare: 0.134, configApplyMS: 5000, retrySlack: 253}
)

// newFleet returns a deployment with the given number of machines in each zone. Nothing
// but the store is started.
func newFleet(folder string, record *record, figures figures, zones []string, counts []int) (*fleet, error) {
	store, err := newStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{folder: folder, record: record, store: store, figures: figures}
	for zoneNumber, zone := range zones {
		for number := range counts[zoneNumber] {
			name := fmt.Sprintf("front-%s-%d", zone, number+1)
			fleet.machines = append(fleet.machines, &machine{name: name, zone: zone, fleet: fleet})
		}
	}
	return fleet, fleet.chooseAddresses()
}

// fields returns the settings that the platform states to a machine, as DEPLOY.md lists
// them, by name.
func (machine *machine) fields() map[string]any {
	fleet, figures := machine.fleet, machine.fleet.figures
	var seeds []string
	for index := range min(len(fleet.machines), 3) {
		seeds = append(seeds, fleet.machines[index*len(fleet.machines)/3].address("control"))
	}
	return map[string]any{
		"node_name": machine.name, "zone": machine.zone, "ip": machine.ip, "seeds": seeds,
		"listen_addrs.front": machine.front(), "listen_addrs.control": machine.address("control"),
		"listen_addrs.directory": machine.address("directory"), "listen_addrs.readiness": machine.address("readiness"),
		"platform.address": fleet.store.address,
		"limits.cores":     1, "limits.cpu_share": figures.cpuShare, "limits.memory_mb": figures.memoryMB, "limits.max_fds": figures.maxDescriptors,
		"bounds.config_apply_ms": figures.configApplyMS, "bounds.retry_ratio": 0.2, "bounds.retry_slack": figures.retrySlack, "bounds.retry_window_s": 10,
	}
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
)

// fill fills in a template of the deploy file.
func fill(template string, fields map[string]any) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		match := sectionPattern.FindStringSubmatch(section)
		list, isList := fields[match[1]].([]string)
		if !isList {
			return ""
		}
		var filled strings.Builder
		for index, entry := range list {
			separator := ","
			if index == len(list)-1 {
				separator = ""
			}
			filled.WriteString(strings.ReplaceAll(fill(match[2], map[string]any{".": entry}), "{{,}}", separator))
		}
		return filled.String()
	})
	return valuePattern.ReplaceAllStringFunc(template, func(placeholder string) string {
		match := valuePattern.FindStringSubmatch(placeholder)
		value, isKnown := fields[match[1]]
		switch {
		case !isKnown && match[2] == "":
			return ""
		case match[2] == "":
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		return string(encoded)
	})
}

var runPattern = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// start starts the process of a machine with the command of the deploy file.
func (machine *machine) start() error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return err
	}
	run := runPattern.FindSubmatch(deploy)
	if run == nil {
		return errors.New("the deploy file has no line for run")
	}
	settings := filepath.Join(machine.fleet.folder, machine.name+".toml")
	if err := os.WriteFile(settings, []byte(fill(string(template), machine.fields())), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(machine.fleet.folder, machine.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	words := strings.Fields(fill(string(run[1]), machine.fields()))
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MIMOSASPRING_SETTINGS=" + settings}
	command.Stdout, command.Stderr = output, output
	// The process must not outlive this one.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	machine.mutex.Lock()
	machine.command, machine.exited = command, exited
	machine.mutex.Unlock()
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// kill ends the process of a machine and waits for its end.
func (machine *machine) kill() {
	machine.mutex.Lock()
	command, exited := machine.command, machine.exited
	machine.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
}

// pid returns the id of the machine's process.
func (machine *machine) pid() int {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	return machine.command.Process.Pid
}

// startAll starts all machines and waits until they are ready.
func (fleet *fleet) startAll() error {
	for _, machine := range fleet.machines {
		if err := machine.start(); err != nil {
			return err
		}
	}
	for _, machine := range fleet.machines {
		if err := machine.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (machine *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + machine.address("readiness") + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (machine *machine) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if machine.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", machine.name, limit)
}

func (fleet *fleet) stopAll() {
	for _, machine := range fleet.machines {
		machine.kill()
	}
}

// memoryBytes returns the resident memory of a process, or 0 if it has ended.
func memoryBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	return 0
}
