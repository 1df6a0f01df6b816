// Package choice selects the replica that a request is sent to.
package choice

import (
	"math/rand/v2"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Policy selects the replica for the next attempt at a shard.
type Policy interface {
	// Choose returns one of replicas, which must not be empty.
	Choose(replicas []*view.Replica) *view.Replica
}

// Random selects a replica uniformly at random. It is the baseline that other
// policies are compared with.
type Random struct{}

// Choose returns a random replica.
func (Random) Choose(replicas []*view.Replica) *view.Replica {
	return replicas[rand.N(len(replicas))]
}
