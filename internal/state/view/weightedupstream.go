package view

// PickUpstream returns the upstream at position on the line on which the
// upstreams lie one after the other, each as long as its share of the weights.
// The whole line has the length 1, so a random position in [0, 1) picks each
// upstream in proportion to its weight. PickUpstream returns false if no
// upstream has a weight.
func PickUpstream(upstreams []WeightedUpstream, position float64) (WeightedUpstream, bool) {
	total := 0.0
	for _, upstream := range upstreams {
		total += upstream.Weight
	}
	remaining := position * total
	for _, upstream := range upstreams {
		if remaining < upstream.Weight {
			return upstream, true
		}
		remaining -= upstream.Weight
	}
	return WeightedUpstream{}, false
}
