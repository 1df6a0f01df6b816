package view_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

func newUpstream(name string, weight float64) view.WeightedUpstream {
	return view.WeightedUpstream{Weight: weight, Shard: view.Shard{Name: name}}
}

func TestPickUpstream(t *testing.T) {
	upstreams := []view.WeightedUpstream{newUpstream("a", 3), newUpstream("none", 0), newUpstream("b", 1)}
	tests := map[string]struct {
		upstreams []view.WeightedUpstream
		position  float64
		want      string
	}{
		"start of the range":         {upstreams: upstreams, position: 0, want: "a"},
		"just below the boundary":    {upstreams: upstreams, position: 0.7499, want: "a"},
		"boundary between upstreams": {upstreams: upstreams, position: 0.75, want: "b"},
		"end of the range":           {upstreams: upstreams, position: 0.9999, want: "b"},
		"no upstreams":               {},
		"no weights":                 {upstreams: []view.WeightedUpstream{newUpstream("a", 0)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			picked, isPicked := view.PickUpstream(test.upstreams, test.position)
			assert.Equal(t, picked.Shard.Name, test.want)
			assert.Equal(t, isPicked, test.want != "")
		})
	}
}
