package main

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// processes holds the processes that a script started, by the name that the
// script gave them. The mutex guards byName.
type processes struct {
	mutex  sync.Mutex
	byName map[string]*process
}

// process is one started process and what it has printed to standard output so far.
type process struct {
	cmd *exec.Cmd
	// mutex guards output.
	mutex  sync.Mutex
	output strings.Builder
	// done is closed when the process has exited.
	done chan struct{}
	// startLine receives the first line that shows that the process has started: the
	// log line with the addresses for an instance, the first line that is not a log
	// line for any other program.
	startLine chan string
}

type processesKey struct{}

// scriptSlot is a semaphore of one slot, so that the processes of only one script
// run at a time: scripts that run at the same time would slow each other down.
var scriptSlot = make(chan struct{}, 1)

// setup waits for the slot and prepares the state of a script. When the script ends,
// the processes that still run are killed and the slot is released.
func setup(env *testscript.Env) error {
	scriptSlot <- struct{}{}
	env.Defer(func() { <-scriptSlot })
	processes := &processes{byName: make(map[string]*process)}
	env.Values[processesKey{}] = processes
	env.Values[queryBatchKey{}] = &queryBatch{}
	env.Values[instanceListKey{}] = &instanceList{}
	env.Defer(processes.killAll)
	return nil
}

// killAll kills the processes of the script that still run, by their ids, and waits
// until they have exited.
func (processes *processes) killAll() {
	processes.mutex.Lock()
	defer processes.mutex.Unlock()
	for _, process := range processes.byName {
		_ = process.cmd.Process.Kill()
		<-process.done
	}
}

// processesOf returns the processes that the script started.
func processesOf(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey{}).(*processes)
}

// listenAddress matches an address that a process listens on: "WORD on IP:PORT" as
// a stand-in prints it, "WORDAddress":"IP:PORT" in a log line of an instance.
var listenAddress = regexp.MustCompile(`(\w+) on (\d+\.\d+\.\d+\.\d+:\d+)|"(\w+)Address":"(\d+\.\d+\.\d+\.\d+:\d+)"`)

// startProcess starts a process in the background and waits up to 10 s for its start
// line. Each address in this line sets a variable of the script: NAME_WORD for a
// stand-in and NAME_WORDs for an instance, with WORD as in listenAddress.
//
// Usage: start NAME PROGRAM ARGUMENT...
func startProcess(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARGUMENT...")
	}
	process := launch(ts, args[1], args[2:])
	processes := processesOf(ts)
	processes.mutex.Lock()
	processes.byName[args[0]] = process
	processes.mutex.Unlock()
	select {
	case line := <-process.startLine:
		for _, match := range listenAddress.FindAllStringSubmatch(line, -1) {
			if match[3] != "" {
				match[1], match[2] = match[3]+"s", match[4]
			}
			ts.Setenv(args[0]+"_"+match[1], match[2])
		}
	case <-time.After(10 * time.Second):
		ts.Fatalf("%s printed no start line within 10 s", args[0])
	}
}

// launch starts a program in the folder of the script. Its standard error is
// discarded, unless SCENARIO_LOG is set.
func launch(ts *testscript.TestScript, program string, args []string) *process {
	path, err := exec.LookPath(program)
	if found := findProgram(ts.Getenv("PATH"), program); found != "" {
		path, err = found, nil
	}
	ts.Check(err)
	cmd := exec.Command(path, args...)
	cmd.Dir = ts.Getenv("WORK")
	cmd.Env = append(os.Environ(), "PATH="+ts.Getenv("PATH"))
	stdout, err := cmd.StdoutPipe()
	ts.Check(err)
	cmd.Stderr = &discardWriter{}
	if setting := os.Getenv("SCENARIO_LOG"); setting != "" {
		cmd.Stderr = os.Stderr
	}
	ts.Check(cmd.Start())
	process := &process{cmd: cmd, done: make(chan struct{}), startLine: make(chan string, 1)}
	go process.run(stdout)
	return process
}

// discardWriter discards what is written to it.
type discardWriter struct{}

func (*discardWriter) Write(text []byte) (int, error) { return len(text), nil }

// findProgram returns the path of program in the first folder of searchPath that
// holds it, or an empty string if none does. The format of searchPath is that of the
// environment variable PATH.
func findProgram(searchPath, program string) string {
	for _, folder := range strings.Split(searchPath, string(os.PathListSeparator)) {
		candidate := folder + "/" + program
		if info, err := os.Stat(candidate); err == nil && !info.IsDir() {
			return candidate
		}
	}
	return ""
}

// run collects standard output until it ends, and then waits for the process.
func (process *process) run(stdout io.Reader) {
	defer close(process.done)
	scanner := bufio.NewScanner(stdout)
	isStartLineSent := false
	for scanner.Scan() {
		isLogLine := strings.HasPrefix(scanner.Text(), "{")
		if !isStartLineSent && (!isLogLine || listenAddress.MatchString(scanner.Text())) {
			isStartLineSent = true
			process.startLine <- scanner.Text()
		}
		process.mutex.Lock()
		process.output.WriteString(scanner.Text() + "\n")
		process.mutex.Unlock()
	}
	_ = process.cmd.Wait()
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"TERM": syscall.SIGTERM,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"USR1": syscall.SIGUSR1,
	"HUP":  syscall.SIGHUP,
	"INT":  syscall.SIGINT,
}

// signalProcess sends a signal to a process that the script started.
//
// Usage: signal KILL|TERM|STOP|CONT|USR1|HUP|INT NAME
func signalProcess(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: signal KILL|TERM|STOP|CONT|USR1|HUP|INT NAME")
	}
	process := findProcess(ts, args[1])
	signal, isKnown := signals[args[0]]
	if !isKnown {
		ts.Fatalf("unknown signal %s", args[0])
	}
	ts.Check(process.cmd.Process.Signal(signal))
}

// findProcess returns the process that the script started under name, and fails the
// test if there is none.
func findProcess(ts *testscript.TestScript, name string) *process {
	processes := processesOf(ts)
	processes.mutex.Lock()
	defer processes.mutex.Unlock()
	process := processes.byName[name]
	if process == nil {
		ts.Fatalf("no process %s", name)
	}
	return process
}

// waitForExit waits up to 60 s until a process exits, and checks that its standard
// output matches a pattern or, if negated, does not match it.
//
// Usage: [!] join NAME PATTERN
func waitForExit(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: join NAME PATTERN")
	}
	process := findProcess(ts, args[0])
	select {
	case <-process.done:
	case <-time.After(60 * time.Second):
		ts.Fatalf("%s did not exit within 60 s", args[0])
	}
	output := process.output.String()
	ts.Logf("%s", output)
	if regexp.MustCompile(args[1]).MatchString(output) == neg {
		ts.Fatalf("the output of %s matches %q: %v", args[0], args[1], !neg)
	}
}

// awaitPrinted waits up to TIME until the standard output of a process matches a
// pattern.
//
// Usage: printed TIME PATTERN NAME
func awaitPrinted(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: printed TIME PATTERN NAME")
	}
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern := regexp.MustCompile(args[1])
	process := findProcess(ts, args[2])
	for start := time.Now(); time.Since(start) < limit; time.Sleep(time.Millisecond) {
		process.mutex.Lock()
		isPrinted := pattern.MatchString(process.output.String())
		process.mutex.Unlock()
		if isPrinted {
			return
		}
	}
	ts.Fatalf("%s printed nothing that matches %q within %s", args[2], args[1], limit)
}

// awaitOutput runs a program again and again until its output matches a pattern. It
// fails the test if there is no match within TIME.
//
// Usage: await TIME PATTERN PROGRAM ARGUMENT...
func awaitOutput(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: await TIME PATTERN PROGRAM ARGUMENT...")
	}
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern := regexp.MustCompile(args[1])
	path := findProgram(ts.Getenv("PATH"), args[2])
	var output []byte
	start := time.Now()
	for time.Since(start) < limit {
		cmd := exec.Command(path, args[3:]...)
		cmd.Dir = ts.Getenv("WORK")
		output, _ = cmd.CombinedOutput()
		if pattern.Match(output) {
			ts.Logf("matched after %s", time.Since(start).Round(time.Millisecond))
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("no match of %q within %s; last output:\n%s", args[1], limit, output)
}
