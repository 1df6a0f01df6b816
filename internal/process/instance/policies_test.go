package instance

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/settings"
)

// TestPolicySets checks that the settings allow exactly the sets of policies that
// exist.
func TestPolicySets(t *testing.T) {
	allowed := slices.Sorted(slices.Values(settings.PolicySets))
	assert.DeepEqual(t, slices.Sorted(maps.Keys(policySets)), allowed)
}
