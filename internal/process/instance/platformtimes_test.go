package instance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/standin/trial"
)

// TestStartedInstanceLearnsPlatformTimes guards against an instance that holds removals
// back after its start because it cannot tell whether the platform was away before: it
// learns from its peers since when the platform has answered.
func TestStartedInstanceLearnsPlatformTimes(t *testing.T) {
	runningTrial := startTrial(t, trial.Options{InstanceCount: 2})
	time.Sleep(2 * time.Second)
	knownSince := runningTrial.Instances[0].View().PlatformKnownSince
	started, err := runningTrial.AddInstance()
	assert.NilError(t, err)
	await(t, 5*time.Second, func() bool {
		current := started.View()
		return !current.PlatformKnownSince.IsZero() && current.PlatformKnownSince.Sub(knownSince) < 500*time.Millisecond
	})
	assert.Assert(t, started.View().PlatformReturnedAt.IsZero())
}
