package estimate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/estimate"
)

// TestUpper checks that an estimate rises soon, falls slowly and ends near what it observes.
func TestUpper(t *testing.T) {
	tests := map[string]struct {
		from, value int64
		// least and most bound the estimate after 10 equal values.
		least, most int64
	}{
		"rises":                    {from: 0, value: 1000, least: 900, most: 1000},
		"falls slowly":             {from: 1000, value: 0, least: 600, most: 800},
		"stays":                    {from: 1000, value: 1000, least: 1000, most: 1000},
		"does not fall below":      {from: 1001, value: 1000, least: 1000, most: 1001},
		"does not fall below zero": {from: 3, value: 0, least: 0, most: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var upper estimate.Upper[int64]
			upper.Set(test.from)
			for range 10 {
				upper.Observe(test.value)
			}
			assert.Assert(t, upper.Get() >= test.least && upper.Get() <= test.most, "%d", upper.Get())
		})
	}
}
