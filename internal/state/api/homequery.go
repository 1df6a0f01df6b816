package api

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ErrNotSent reports that a peer did not receive a query.
var ErrNotSent = errors.New("the peer did not receive the query")

// HomeQuery asks the home of a set of shards, which is the peer that holds the
// connections to their replicas, for the answers of these shards to a query.
type HomeQuery struct {
	Index  string   `cbor:"1,keyasint"`
	Shards []string `cbor:"2,keyasint"`
	// Epochs holds the epoch of each shard, in the order of Shards.
	Epochs []uint64 `cbor:"3,keyasint"`
	// ReplicaHashes holds, for each shard in the order of Shards, the hashed
	// names of the replicas to which the home may send the query.
	ReplicaHashes  [][]uint32     `cbor:"10,keyasint"`
	Form           Form           `cbor:"4,keyasint"`
	TopK           int            `cbor:"5,keyasint,omitempty"`
	MaxAttempts    int            `cbor:"6,keyasint,omitempty"`
	RelayedRequest RelayedRequest `cbor:"7,keyasint"`
	// TimeToTarget is the time left until the target time of the answer (see
	// Scope.TargetLatency); 0 if the scope sets none.
	TimeToTarget time.Duration `cbor:"8,keyasint,omitempty"`
	// TimeToDeadline is the time left until the caller gives up.
	TimeToDeadline time.Duration `cbor:"9,keyasint"`
	// Priority is that of the query's scope; 0 if the sender does not state it.
	Priority int `cbor:"11,keyasint,omitempty"`
}

// Validate returns an InvalidError if a number of the query is out of range. Shards
// without an epoch or replica hashes are valid; the home reports them as missing.
func (homequery *HomeQuery) Validate() error {
	switch {
	case homequery.TopK < 0:
		return &InvalidError{Field: "topK", Value: strconv.Itoa(homequery.TopK), Allowed: "0 or more"}
	case homequery.MaxAttempts < 0:
		return &InvalidError{Field: "maxAttempts", Value: strconv.Itoa(homequery.MaxAttempts), Allowed: "0 or more"}
	}
	return nil
}

// PartialAnswer is one of the messages in which a home answers a HomeQuery. It
// holds the parts that arrived since the previous message.
type PartialAnswer struct {
	// Shards names the shards whose parts Records was merged from.
	Shards []string `cbor:"1,keyasint,omitempty"`
	// Signatures holds the signatures of the parts, in the order of Shards.
	Signatures []string `cbor:"2,keyasint,omitempty"`
	// Records holds the greatest records of these parts.
	Records []byte `cbor:"3,keyasint,omitempty"`
	// MissingShards lists the shards that the home no longer tries to reach.
	MissingShards []MissingShard `cbor:"4,keyasint,omitempty"`
	// MayHaveRun is set if a replica may have executed the query.
	MayHaveRun bool `cbor:"5,keyasint,omitempty"`
	// SlowReplicaHashes holds the hashed names of replicas that are slow now and
	// that the home therefore avoids.
	SlowReplicaHashes []uint32 `cbor:"7,keyasint,omitempty"`
	// IsFinal marks the last message.
	IsFinal bool `cbor:"6,keyasint,omitempty"`
}
