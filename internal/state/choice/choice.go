// Package choice picks the replica that a request goes to.
package choice

import (
	"math/rand/v2"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Policy picks the replica of a shard's next attempt. The replicas are never
// empty.
type Policy interface {
	Choose(replicas []*view.Replica) *view.Replica
}

// Random picks any replica. It is the baseline of Choice.
type Random struct{}

// Choose picks any replica.
func (Random) Choose(replicas []*view.Replica) *view.Replica {
	return replicas[rand.N(len(replicas))]
}
