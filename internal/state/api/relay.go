package api

import "time"

// Relayed is a caller's request that is passed whole to replicas.
type Relayed struct {
	// Identity is the caller's own name for the request, unique to it.
	Identity string
	Method   string
	Host     string
	// Path selects the route.
	Path string
	// Target is the path and query as the caller sent them.
	Target string
	// Header holds the end-to-end headers.
	Header map[string][]string
	Body   []byte
	// Deadline is how long the caller waits; 0 where it does not say.
	Deadline time.Duration
}

// Response is a replica's answer to a relayed request.
type Response struct {
	Code int
	// Header holds the end-to-end headers.
	Header map[string][]string
	Body   []byte
}
