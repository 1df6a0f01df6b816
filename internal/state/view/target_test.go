package view_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

func target(name string, weight float64) view.WeightedUpstream {
	return view.WeightedUpstream{Weight: weight, Shard: view.Shard{Name: name}}
}

func TestDrawTarget(t *testing.T) {
	split := []view.WeightedUpstream{target("a", 3), target("none", 0), target("b", 1)}
	tests := map[string]struct {
		targets []view.WeightedUpstream
		point   float64
		want    string
	}{
		"the start":             {targets: split, point: 0, want: "a"},
		"just below the border": {targets: split, point: 0.7499, want: "a"},
		"the border":            {targets: split, point: 0.75, want: "b"},
		"the end":               {targets: split, point: 0.9999, want: "b"},
		"no targets":            {},
		"no weights":            {targets: []view.WeightedUpstream{target("a", 0)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			drawn, isSet := view.PickUpstream(test.targets, test.point)
			assert.Equal(t, drawn.Shard.Name, test.want)
			assert.Equal(t, isSet, test.want != "")
		})
	}
}
