package api

import "time"

// RelayedRequest is a caller's request that is forwarded unchanged to replicas.
type RelayedRequest struct {
	// Identity is the caller's identifier of the request; it is unique to the
	// request.
	Identity string `cbor:"1,keyasint"`
	Method   string `cbor:"2,keyasint"`
	Host     string `cbor:"3,keyasint"`
	// Path selects the route.
	Path string `cbor:"-"`
	// RequestTarget is the path and query string as the caller sent them.
	RequestTarget string `cbor:"4,keyasint"`
	// Header holds the lines of the end-to-end headers, except those that are
	// set anew for each attempt.
	Header []byte `cbor:"5,keyasint,omitempty"`
	Body   []byte `cbor:"6,keyasint,omitempty"`
	// Deadline is how long the caller waits; 0 if the request does not state it.
	Deadline time.Duration `cbor:"-"`
}

// Response is a replica's answer to a relayed request.
type Response struct {
	StatusCode int
	// Header holds the end-to-end headers.
	Header map[string][]string
	Body   []byte
}
