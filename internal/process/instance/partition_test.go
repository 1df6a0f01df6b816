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

// TestPartition cuts the instances in two, the platform being with one side.
// Both sides serve; the other side takes the change within 4 s of the end of
// the cut; a command whose home is beyond the cut is not run a second time.
func TestPartition(t *testing.T) {
	cut := &partition{sides: make(map[string]int)}
	far := newFarPlatform(t)
	running := startTrial(t, trial.Options{
		Instances: 4,
		Extra: func(name string) []instance.Option {
			return []instance.Option{cut.option(sideOf(name))}
		},
		Change: far.change,
	})
	issued, err := running.Caller(0).IssueKey(t.Context())
	assert.NilError(t, err)
	command := api.Command{Scope: "small", Kind: "register", Key: issued.Key, Body: []byte(`{"plot":1}`), Deadline: time.Second}
	result, err := running.Caller(0).Command(t.Context(), command)
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome, api.OutcomeDone)

	cut.cut(true)
	far.forwarder.Close()
	await(t, 10*time.Second, func() bool {
		return countState(running.Instances[0], api.MemberFailed) == 2 && countState(running.Instances[3], api.MemberFailed) == 2
	})
	put(t, running, 8)
	await(t, 4*time.Second, func() bool {
		return publishedSnapshot(running.Instances[0]) == 8 && publishedSnapshot(running.Instances[1]) == 8
	})
	for number := range running.Instances {
		answer, err := running.Caller(number).Query(t.Context(), api.Query{Scope: "small", Kind: "lookup", Deadline: time.Second})
		assert.NilError(t, err)
		assert.Equal(t, answer.Coverage.IncludedCount, 4, "instance %d", number)
	}
	result, err = running.Caller(3).Command(t.Context(), command)
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome, api.OutcomeUnknown)
	assert.Equal(t, runsOf(running, `{"plot":1}`), 1)
	assert.Equal(t, publishedSnapshot(running.Instances[3]), uint64(deployment.FirstSnapshot))

	cut.cut(false)
	await(t, 4*time.Second, func() bool {
		return publishedSnapshot(running.Instances[2]) == 8 && publishedSnapshot(running.Instances[3]) == 8
	})
	await(t, 10*time.Second, func() bool {
		for _, one := range running.Instances {
			if countState(one, api.MemberAlive) != 4 {
				return false
			}
		}
		return true
	})
}

func sideOf(name string) int {
	if name == "entry-1" || name == "entry-2" {
		return 0
	}
	return 1
}

// farPlatform is the way of the far side to the platform.
type farPlatform struct {
	t         *testing.T
	forwarder *forwarder.Forwarder
}

func newFarPlatform(t *testing.T) *farPlatform { return &farPlatform{t: t} }

func (farplatform *farPlatform) change(settings *settings.Settings) {
	if sideOf(settings.Name) == 0 {
		return
	}
	if farplatform.forwarder == nil {
		started, err := forwarder.Listen("127.0.0.1:0", settings.PlatformAddresses[0])
		assert.NilError(farplatform.t, err)
		farplatform.forwarder = started
	}
	settings.PlatformAddresses = []string{farplatform.forwarder.Address}
}

func put(t *testing.T, running *trial.Trial, snapshot uint64) {
	t.Helper()
	for _, server := range running.Fleets[0].Replicas {
		server.Replica.Hold(deployment.FirstSnapshot, snapshot)
	}
	index := running.Fleets[0].Index()
	index.Snapshot = snapshot
	assert.NilError(t, deployment.PutDocument(running.Platform.Store, api.IndexPrefix+"small", index))
}

func publishedSnapshot(one *instance.Instance) uint64 {
	return one.View().Indexes["small"].PublishedSnapshot
}

func countState(one *instance.Instance, state api.MemberState) int {
	count := 0
	for _, member := range one.View().Members {
		if member.State == state {
			count++
		}
	}
	return count
}

func runsOf(running *trial.Trial, body string) int {
	runs := 0
	for _, server := range running.Fleets[0].Replicas {
		runs += server.Replica.Counts().Commands[body]
	}
	return runs
}

func body(number int) []byte { return fmt.Appendf(nil, `{"number":%d}`, number) }
