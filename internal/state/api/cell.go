package api

import (
	"time"

	"github.com/pkg/errors"
)

// ErrNotSent says that a peer did not get a query.
var ErrNotSent = errors.New("the peer did not get the query")

// HomeQuery asks the home of some shards for their parts of one query.
type HomeQuery struct {
	Index  string   `cbor:"1,keyasint"`
	Shards []string `cbor:"2,keyasint"`
	// Epochs holds the epochs of Shards.
	Epochs []uint64 `cbor:"3,keyasint"`
	// ReplicaHashes holds, for each of Shards, the hashed names of the replicas that
	// may be asked.
	ReplicaHashes  [][]uint32     `cbor:"10,keyasint"`
	Form           Form           `cbor:"4,keyasint"`
	TopK           int            `cbor:"5,keyasint,omitempty"`
	MaxAttempts    int            `cbor:"6,keyasint,omitempty"`
	RelayedRequest RelayedRequest `cbor:"7,keyasint"`
	// TimeToTarget is the time until the answer is worth most; 0 where there is
	// no such time.
	TimeToTarget time.Duration `cbor:"8,keyasint,omitempty"`
	// TimeToDeadline is the time until the caller gives up.
	TimeToDeadline time.Duration `cbor:"9,keyasint"`
}

// PartialAnswer is what a home has of a query so far: parts that no earlier block
// of the query held.
type PartialAnswer struct {
	// Shards names the shards whose parts Records was merged from.
	Shards []string `cbor:"1,keyasint,omitempty"`
	// Signatures holds those of the parts, in the order of Shards.
	Signatures []string `cbor:"2,keyasint,omitempty"`
	// Records holds the greatest records of these parts.
	Records []byte `cbor:"3,keyasint,omitempty"`
	// MissingShards holds the shards that the home has given up on.
	MissingShards []MissingShard `cbor:"4,keyasint,omitempty"`
	// MayHaveRun is set once a replica may have run the query.
	MayHaveRun bool `cbor:"5,keyasint,omitempty"`
	// SlowReplicaHashes holds the hashed names of replicas that the home would rather not
	// ask at the moment.
	SlowReplicaHashes []uint32 `cbor:"7,keyasint,omitempty"`
	// IsFinal marks the last block.
	IsFinal bool `cbor:"6,keyasint,omitempty"`
}
