package view

// PickUpstream returns the upstream whose interval contains position, which is
// in [0, 1). The intervals divide [0, 1) in the order of upstreams and in
// proportion to their weights, so that a uniformly random position picks each
// upstream with a probability proportional to its weight. PickUpstream returns
// false if no upstream has a weight above 0.
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
