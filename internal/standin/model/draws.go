package model

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// stream names what random draws are for. Each stream has its own sources, so that
// neither the draws of another stream nor the order of events shifts them: two policies
// see the same queries, work and noise.
type stream string

const (
	// queryStream has a source for each query, by its number.
	queryStream stream = "query"
	// noiseStream has a source for each replica.
	noiseStream stream = "noise"
	// requestStream has a source for each request to a replica, by the query's identity
	// and the number of its requests to this replica before.
	requestStream stream = "request"
)

// source returns the source of a stream with the given keys.
func (scenario Scenario) source(stream stream, keys ...uint64) *rand.Rand {
	digest := xxhash.NewWithSeed(scenario.Seed)
	_, _ = digest.WriteString(string(stream))
	var encoded [8]byte
	for _, key := range keys {
		binary.LittleEndian.PutUint64(encoded[:], key)
		_, _ = digest.Write(encoded[:])
	}
	return rand.New(rand.NewPCG(scenario.Seed, digest.Sum64()))
}
