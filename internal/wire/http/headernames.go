package http

// HeaderNames holds the names that one deployment uses for the headers of the
// relay protocol. Callers and replicas of a deployment use the same names.
type HeaderNames struct {
	// Identity is the header with the request identifier that the caller chose.
	// Replicas echo it.
	Identity string
	// Deadline is the header with the time that the sender waits, in
	// milliseconds.
	Deadline string
	// Replica is the header with the name of the only replica that may run the
	// request.
	Replica string
	// Signature is the header that proves which replica gave an answer.
	Signature string
	// PartSignatures is the header that lists the signatures of the parts of a
	// merged answer.
	PartSignatures string
	// MissingParts is the header with the number of selected shards that are
	// missing from a merged answer.
	MissingParts string
	// NotRun is the header that a replica sets if it did not run the request.
	NotRun string
	// Load is the header with the numbers of requests that the replica runs and
	// queues, and optionally its slots and its slowdown. See decodeLoad.
	Load string
	// Leaving is the header that a replica sets in all its answers while it is
	// draining.
	Leaving string
	// Cold is the header with the time that the replica stays cold, in milliseconds.
	Cold string
	// Responder is the header with the name of the replica that answers a check of its
	// health.
	Responder string
}

// DefaultHeaderNames holds the header names of the project's own form of the
// relay protocol.
var DefaultHeaderNames = HeaderNames{
	Identity:       "Mimosa-Request",
	Deadline:       headerDeadline,
	Replica:        "Mimosa-Replica",
	Signature:      "Mimosa-Signature",
	PartSignatures: "Mimosa-Part-Signatures",
	MissingParts:   "Mimosa-Missing-Parts",
	NotRun:         "Mimosa-Not-Run",
	Load:           "Mimosa-Replica-Load",
	Leaving:        headerLeaving,
	Cold:           headerCold,
	Responder:      "Mimosa-Responder",
}
