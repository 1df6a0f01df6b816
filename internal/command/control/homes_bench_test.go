package control

import "testing"

// BenchmarkHomes measures the assignment for 80 members and 225 shards.
func BenchmarkHomes(b *testing.B) {
	members := newFleet(map[string]int{"a": 24, "b": 29, "c": 27})
	shards := newShardsIn(225, "a", "b", "c")
	for b.Loop() {
		Homes(members, shards, 0)
	}
}
