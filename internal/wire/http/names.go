package http

// HeaderNames are the headers of the relay protocol as one deployment spells them.
// Callers and replicas use the same set.
type HeaderNames struct {
	// Identity holds the caller's name of the request. Replicas echo it.
	Identity string
	// Deadline holds how long the sender waits, in milliseconds.
	Deadline string
	// Replica holds the name of the only replica that may run the request.
	Replica string
	// Signature proves which replica gave an answer.
	Signature string
	// PartSignatures lists the signatures of the parts of a merged answer.
	PartSignatures string
	// MissingParts holds how many shards a merged answer lacks.
	MissingParts string
	// NotRun marks an answer that proves that the replica did not run the
	// request.
	NotRun string
	// Load holds the requests that the replica runs and queues, and its slots.
	Load string
}

// DefaultHeaderNames are the headers of the project's own form of the relay protocol.
var DefaultHeaderNames = HeaderNames{
	Identity:       "Mimosa-Request",
	Deadline:       headerDeadline,
	Replica:        "Mimosa-Replica",
	Signature:      "Mimosa-Signature",
	PartSignatures: "Mimosa-Part-Signatures",
	MissingParts:   "Mimosa-Missing-Parts",
	NotRun:         "Mimosa-Not-Run",
	Load:           "Mimosa-Replica-Load",
}
