package view

// PickUpstream returns the target at a point of the weights, 0 to 1; false where
// no target has a weight.
func PickUpstream(targets []WeightedUpstream, point float64) (WeightedUpstream, bool) {
	total := 0.0
	for _, target := range targets {
		total += target.Weight
	}
	left := point * total
	for _, target := range targets {
		if left < target.Weight {
			return target, true
		}
		left -= target.Weight
	}
	return WeightedUpstream{}, false
}
