package instance_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/process/instance"
	"github.com/mimosaspring/mimosaspring/internal/standin/deployment"
	"github.com/mimosaspring/mimosaspring/internal/standin/forwarder"
	"github.com/mimosaspring/mimosaspring/internal/standin/trial"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
)

// TestPartition separates the instances into two sides, of which only one reaches
// the platform. It checks that both sides answer queries, that the isolated side
// applies a change of the configuration within 4 s of the end of the partition, and
// that a repeated command whose home is on the other side is not run a second time.
func TestPartition(t *testing.T) {
	partition := &partition{sides: make(map[string]int)}
	platformforwarder := newPlatformForwarder(t)
	runningTrial := startTrial(t, trial.Options{
		InstanceCount: 4,
		InstanceOptions: func(name string) []instance.Option {
			return []instance.Option{partition.option(sideOf(name))}
		},
		ChangeSettings: platformforwarder.change,
	})
	issuedKey, err := runningTrial.Client(0).IssueKey(t.Context())
	assert.NilError(t, err)
	command := api.Command{Scope: "small", Kind: "register", Key: issuedKey.Key, Body: []byte(`{"plot":1}`), Deadline: time.Second}
	result, err := runningTrial.Client(0).Command(t.Context(), command)
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome, api.OutcomeDone)

	partition.setActive(true)
	platformforwarder.forwarder.Close()
	await(t, 10*time.Second, func() bool {
		return countState(runningTrial.Instances[0], api.MemberFailed) == 2 && countState(runningTrial.Instances[3], api.MemberFailed) == 2
	})
	publishSnapshot(t, runningTrial, 8)
	await(t, 4*time.Second, func() bool {
		return publishedSnapshot(runningTrial.Instances[0]) == 8 && publishedSnapshot(runningTrial.Instances[1]) == 8
	})
	for number := range runningTrial.Instances {
		answer, err := runningTrial.Client(number).Query(t.Context(), api.Query{Scope: "small", Kind: "lookup", Deadline: time.Second})
		assert.NilError(t, err)
		assert.Equal(t, answer.Coverage.IncludedCount, 4, "instance %d", number)
	}
	result, err = runningTrial.Client(3).Command(t.Context(), command)
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome, api.OutcomeUnknown)
	assert.Equal(t, commandRuns(runningTrial, `{"plot":1}`), 1)
	assert.Equal(t, publishedSnapshot(runningTrial.Instances[3]), uint64(deployment.InitialSnapshot))

	partition.setActive(false)
	await(t, 4*time.Second, func() bool {
		return publishedSnapshot(runningTrial.Instances[2]) == 8 && publishedSnapshot(runningTrial.Instances[3]) == 8
	})
	await(t, 10*time.Second, func() bool {
		for _, runningInstance := range runningTrial.Instances {
			if countState(runningInstance, api.MemberAlive) != 4 {
				return false
			}
		}
		return true
	})
}

// sideOf returns the side of the partition that the named instance is on; only
// side 0 reaches the platform during the partition.
func sideOf(name string) int {
	if name == "entry-1" || name == "entry-2" {
		return 0
	}
	return 1
}

// platformForwarder forwards the connections of side 1 to the platform, so that the
// test can cut them off.
type platformForwarder struct {
	t         *testing.T
	forwarder *forwarder.Forwarder
}

func newPlatformForwarder(t *testing.T) *platformForwarder { return &platformForwarder{t: t} }

// change makes an instance on side 1 use the forwarder instead of the platform's
// own address.
func (platformforwarder *platformForwarder) change(settings *settings.Settings) {
	if sideOf(settings.Name) == 0 {
		return
	}
	if platformforwarder.forwarder == nil {
		newForwarder, err := forwarder.Listen("127.0.0.1:0", settings.PlatformAddresses[0])
		assert.NilError(platformforwarder.t, err)
		platformforwarder.forwarder = newForwarder
	}
	settings.PlatformAddresses = []string{platformforwarder.forwarder.Address}
}

// publishSnapshot makes all replicas hold the first snapshot and the given one, and
// publishes the given one with the platform.
func publishSnapshot(t *testing.T, runningTrial *trial.Trial, snapshot uint64) {
	t.Helper()
	for _, server := range runningTrial.Fleets[0].Servers {
		server.Replica.SetSnapshots(deployment.InitialSnapshot, snapshot)
	}
	index := runningTrial.Fleets[0].Index()
	index.Snapshot = snapshot
	assert.NilError(t, deployment.PutDocument(runningTrial.Platform.Store, api.IndexPrefix+"small", index))
}

// publishedSnapshot returns the snapshot that the instance's View has as published.
func publishedSnapshot(runningInstance *instance.Instance) uint64 {
	return runningInstance.View().Indexes["small"].PublishedSnapshot
}

// countState returns the number of members that the instance sees in state.
func countState(runningInstance *instance.Instance, state api.MemberState) int {
	count := 0
	for _, member := range runningInstance.View().Members {
		if member.State == state {
			count++
		}
	}
	return count
}

// commandRuns returns how often the replicas ran the command with body, in total.
func commandRuns(runningTrial *trial.Trial, body string) int {
	runs := 0
	for _, server := range runningTrial.Fleets[0].Servers {
		runs += server.Replica.Counts().CommandRuns[body]
	}
	return runs
}

// commandBody returns a body that is unique to the command with this number.
func commandBody(number int) []byte { return fmt.Appendf(nil, `{"number":%d}`, number) }
