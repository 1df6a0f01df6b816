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
	issued, err := wire.NewInstanceClient(args[1]).IssueKey(context.Background())
	ts.Check(err)
	ts.Setenv(args[0], issued.Key)
}

// checkExecutions checks how often the replicas together executed the command with
// the given body.
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

// sleep waits for the given time.
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
	unanswered sync.WaitGroup
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
	batch := ts.Value(queryBatchKey{}).(*queryBatch)
	for range count {
		query := &batchQuery{batch: batch, address: args[1], kind: args[2]}
		batch.unanswered.Add(1)
		go query.run()
	}
}

// batchQuery is one query of a batch.
type batchQuery struct {
	batch         *queryBatch
	address, kind string
}

// run sends the query and checks its answer.
func (batchquery *batchQuery) run() {
	defer batchquery.batch.unanswered.Done()
	query := api.Query{Scope: "burn-tests", Kind: batchquery.kind, Deadline: 10 * time.Second}
	answer, err := wire.NewInstanceClient(batchquery.address).Query(context.Background(), query)
	if err == nil {
		err = trial.CheckAnswer(query, answer)
	}
	batchquery.batch.mutex.Lock()
	defer batchquery.batch.mutex.Unlock()
	if err != nil {
		batchquery.batch.errs = append(batchquery.batch.errs, err)
	}
}

// awaitQueries waits for the answers of all queries that sendQueries sent, and fails
// the test if one of them failed the check.
//
// Usage: drain
func awaitQueries(ts *testscript.TestScript, _ bool, _ []string) {
	batch := ts.Value(queryBatchKey{}).(*queryBatch)
	batch.unanswered.Wait()
	for _, err := range batch.errs {
		ts.Check(err)
	}
}
