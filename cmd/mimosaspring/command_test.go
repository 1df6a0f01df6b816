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

// issueKey requests an idempotency key from an instance and stores it in a variable.
//
// Usage: key VARIABLE IP:PORT
func issueKey(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: key VARIABLE IP:PORT")
	}
	issuedkey, err := wire.NewInstanceClient(args[1]).IssueKey(context.Background())
	ts.Check(err)
	ts.Setenv(args[0], issuedkey.Key)
}

// checkExecutions checks how often the command with the given body was executed, as
// the sum over the named replicas.
//
// Usage: runs COUNT BODY REPLICA...
func checkExecutions(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: runs COUNT BODY REPLICA...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	for _, name := range args[2:] {
		got += countsOf(ts, name).CommandRuns[args[1]]
	}
	if got != want {
		ts.Fatalf("%s was executed %d times on %v, want %d", args[1], got, args[2:], want)
	}
}

// countsOf returns the counters of a replica stand-in.
func countsOf(ts *testscript.TestScript, replica string) upstream.Counts {
	var counts upstream.Counts
	ts.Check(wire.NewInstanceClient(ts.Getenv(replica+"_replica")).Get(context.Background(), "/admin/counts", &counts))
	return counts
}

// checkExitCode runs a program and checks its exit code.
//
// Usage: exitcode CODE PROGRAM ARGUMENT...
func checkExitCode(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exitcode CODE PROGRAM ARGUMENT...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	cmd := exec.Command(findProgram(ts.Getenv("PATH"), args[1]), args[2:]...)
	cmd.Dir = ts.Getenv("WORK")
	output, _ := cmd.CombinedOutput()
	if got := cmd.ProcessState.ExitCode(); got != want {
		ts.Fatalf("%v exited with %d, want %d:\n%s", args[1:], got, want, output)
	}
}

// awaitOnInstances waits until the output of "mimosaspring explain" for the kind
// lookup matches a pattern on every named instance. TIME is the limit for all
// instances together.
//
// Usage: everywhere TIME PATTERN NAME...
func awaitOnInstances(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: everywhere TIME PATTERN NAME...")
	}
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	start := time.Now()
	for _, name := range args[2:] {
		remaining := max(limit-time.Since(start), 20*time.Millisecond)
		operator := ts.Getenv(name + "_operators")
		awaitOutput(ts, false, []string{remaining.String(), args[1], "mimosaspring", "explain", "--operator", operator, "--scope", "burn-tests", "--kind", "lookup"})
	}
	ts.Logf("matched on all instances after %s", time.Since(start).Round(time.Millisecond))
}

// sleep waits for TIME, a Go duration.
//
// Usage: sleep TIME
func sleep(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: sleep TIME")
	}
	duration, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(duration)
}

// queryBatch collects the errors of the queries that sendQueries sent.
type queryBatch struct {
	unansweredQueries sync.WaitGroup
	// mutex guards errs.
	mutex sync.Mutex
	errs  []error
}

type queryBatchKey struct{}

// sendQueries sends queries at the same time and does not wait for their answers.
//
// Usage: queue COUNT IP:PORT KIND
func sendQueries(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: queue COUNT IP:PORT KIND")
	}
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	querybatch := ts.Value(queryBatchKey{}).(*queryBatch)
	for range count {
		querycall := &queryCall{batch: querybatch, address: args[1], kind: args[2]}
		querybatch.unansweredQueries.Add(1)
		go querycall.run()
	}
}

// queryCall sends one query of a batch.
type queryCall struct {
	batch         *queryBatch
	address, kind string
}

// run sends the query, checks its answer and adds an error to the batch.
func (querycall *queryCall) run() {
	defer querycall.batch.unansweredQueries.Done()
	query := api.Query{Scope: "burn-tests", Kind: querycall.kind, Deadline: 10 * time.Second}
	answer, err := wire.NewInstanceClient(querycall.address).Query(context.Background(), query)
	if err == nil {
		err = trial.CheckAnswer(query, answer)
	}
	querycall.batch.mutex.Lock()
	defer querycall.batch.mutex.Unlock()
	if err != nil {
		querycall.batch.errs = append(querycall.batch.errs, err)
	}
}

// awaitQueries waits for the answers of all queries that sendQueries sent, and fails
// the test if one of them failed the check.
//
// Usage: drain
func awaitQueries(ts *testscript.TestScript, _ bool, _ []string) {
	querybatch := ts.Value(queryBatchKey{}).(*queryBatch)
	querybatch.unansweredQueries.Wait()
	for _, err := range querybatch.errs {
		ts.Check(err)
	}
}
