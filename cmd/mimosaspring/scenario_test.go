package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	mimosaspring "github.com/mimosaspring/mimosaspring/cmd/mimosaspring/cmds"
	standin "github.com/mimosaspring/mimosaspring/cmd/standin/cmds"
)

// TestMain lets the test binary run as either program, so that scripts and the
// soak test start real processes without a build.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"mimosaspring": mimosaspring.Main,
		"standin":      standin.Main,
	})
}

// TestScenarios runs every script of _fixtures/scenarios with real processes of
// both programs.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "../../_fixtures/scenarios",
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":      startProcess,
			"platform":   startPlatform,
			"replica":    startReplica,
			"list":       publishInstanceList,
			"entry":      startInstance,
			"signal":     signalProcess,
			"await":      awaitOutput,
			"join":       waitForExit,
			"printed":    awaitPrinted,
			"key":        issueKey,
			"runs":       checkExecutions,
			"sleep":      sleep,
			"queue":      sendQueries,
			"drain":      awaitQueries,
			"exitcode":   checkExitCode,
			"everywhere": awaitOnInstances,
		},
	})
}
