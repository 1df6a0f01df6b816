package caller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/query/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

func TestTargetOf(t *testing.T) {
	const margin = 18 * time.Millisecond
	start := time.Now()
	tests := map[string]struct {
		target, timeout, deadline, roundTrip time.Duration
		want                                 time.Duration
	}{
		"a kept connection":          {target: 60, timeout: 600, deadline: 600, roundTrip: 6, want: 49},
		"a new connection":           {target: 60, timeout: 600, deadline: 593, roundTrip: 6, want: 42},
		"after asking the locator":   {target: 60, timeout: 600, deadline: 577, roundTrip: 6, want: 26},
		"a second try":               {target: 60, timeout: 600, deadline: 300, roundTrip: 6, want: 42},
		"a longer wait than timeout": {target: 60, timeout: 400, deadline: 600, roundTrip: 6, want: 42},
		"no deadline":                {target: 60, timeout: 600, roundTrip: 6, want: 42},
		"no round trip":              {target: 60, timeout: 600, deadline: 600, want: 42},
		"a margin over the target":   {target: 20, timeout: 600, want: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scope := api.Scope{
				TargetLatency: api.Duration{Duration: test.target * time.Millisecond},
				Timeout:       api.Duration{Duration: test.timeout * time.Millisecond},
			}
			call := view.Call{
				Scope:     view.Scope{Scope: scope},
				Relayed:   &api.Relayed{Deadline: test.deadline * time.Millisecond},
				Start:     start,
				RoundTrip: test.roundTrip * time.Millisecond,
			}
			assert.Equal(t, caller.TargetOf(call, margin).Sub(start), test.want*time.Millisecond)
		})
	}
	assert.Assert(t, caller.TargetOf(view.Call{Relayed: &api.Relayed{}}, margin).IsZero())
}
