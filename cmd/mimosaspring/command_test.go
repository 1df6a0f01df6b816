package main

import (
	"context"
	"os/exec"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/mimosaspring/mimosaspring/internal/standin/trial"
	"github.com/mimosaspring/mimosaspring/internal/standin/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// key takes a key from an instance into a variable: key VARIABLE IP:PORT
func key(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: key VARIABLE IP:PORT")
	}
	issued, err := wire.NewInstanceClient(args[1]).IssueKey(context.Background())
	ts.Check(err)
	ts.Setenv(args[0], issued.Key)
}

// runs checks how often replicas ran a command: runs COUNT BODY REPLICA...
func runs(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: runs COUNT BODY REPLICA...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	for _, name := range args[2:] {
		got += countsOf(ts, name).Commands[args[1]]
	}
	if got != want {
		ts.Fatalf("%s ran %d times at %v, want %d", args[1], got, args[2:], want)
	}
}

func countsOf(ts *testscript.TestScript, replica string) upstream.Counts {
	var counts upstream.Counts
	ts.Check(wire.NewInstanceClient(ts.Getenv(replica+"_replica")).Get(context.Background(), "/admin/counts", &counts))
	return counts
}

// exitcode checks a program's exit code: exitcode CODE PROGRAM ARGUMENT...
func exitcode(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exitcode CODE PROGRAM ARGUMENT...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	cmd := exec.Command(lookIn(ts.Getenv("PATH"), args[1]), args[2:]...)
	cmd.Dir = ts.Getenv("WORK")
	output, _ := cmd.CombinedOutput()
	if got := cmd.ProcessState.ExitCode(); got != want {
		ts.Fatalf("%v exited with %d, want %d:\n%s", args[1:], got, want, output)
	}
}

// everywhere waits until what lookup covers matches a pattern on all
// instances, within one time for all: everywhere TIME PATTERN NAME...
func everywhere(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: everywhere TIME PATTERN NAME...")
	}
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	start := time.Now()
	for _, name := range args[2:] {
		left := max(limit-time.Since(start), 20*time.Millisecond)
		operator := ts.Getenv(name + "_operators")
		await(ts, false, []string{left.String(), args[1], "mimosaspring", "explain", "--operator", operator, "--scope", "burn-tests", "--kind", "lookup"})
	}
	ts.Logf("everywhere after %s", time.Since(start).Round(time.Millisecond))
}

// pause waits: sleep TIME
func pause(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: sleep TIME")
	}
	duration, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(duration)
}

// queued collects the answers of queries that queue sent.
type queued struct {
	waiting sync.WaitGroup
	mutex   sync.Mutex
	errs    []error
}

type queuedKey struct{}

// queue sends queries at once and does not wait: queue COUNT IP:PORT KIND
func queue(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: queue COUNT IP:PORT KIND")
	}
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	queued := ts.Value(queuedKey{}).(*queued)
	for range count {
		query := &queuedQuery{queued: queued, address: args[1], kind: args[2]}
		queued.waiting.Add(1)
		go query.run()
	}
}

// queuedQuery is one query that queue sent.
type queuedQuery struct {
	queued        *queued
	address, kind string
}

func (queuedquery *queuedQuery) run() {
	defer queuedquery.queued.waiting.Done()
	query := api.Query{Scope: "burn-tests", Kind: queuedquery.kind, Deadline: 10 * time.Second}
	answer, err := wire.NewInstanceClient(queuedquery.address).Query(context.Background(), query)
	if err == nil {
		err = trial.Check(query, answer)
	}
	queuedquery.queued.mutex.Lock()
	defer queuedquery.queued.mutex.Unlock()
	if err != nil {
		queuedquery.queued.errs = append(queuedquery.queued.errs, err)
	}
}

// drain waits for the queries that queue sent and checks their answers.
func drain(ts *testscript.TestScript, _ bool, _ []string) {
	queued := ts.Value(queuedKey{}).(*queued)
	queued.waiting.Wait()
	for _, err := range queued.errs {
		ts.Check(err)
	}
}
