package upstream

import "time"

// ReplicaConfig is how a replica behaves without faults.
type ReplicaConfig struct {
	// Slots is how many requests run at once.
	Slots int
	// QueueLimit is how many requests may wait for a slot.
	QueueLimit int
	// ConnectionLimit is how many connections are accepted.
	ConnectionLimit int
	// ConnectCost is the time that a new connection takes.
	ConnectCost time.Duration
	// ServiceTime is the median time that a request runs.
	ServiceTime time.Duration
	// ServiceTimeSigma is the sigma of the log-normal service time.
	ServiceTimeSigma float64
	// HealthLag is how old the health report is.
	HealthLag time.Duration
	// NetworkDelay is the round trip to the replica, added to every request.
	NetworkDelay time.Duration
}

// Faults are the failures that a test orders.
type Faults struct {
	// SlowdownFactor multiplies the service time; 0 means 1.
	SlowdownFactor float64 `json:"slow"`
	// ShedAll refuses every request as not run.
	ShedAll bool `json:"shed"`
	// IsLeaving drains: new requests are refused as not run.
	IsLeaving bool `json:"leaving"`
	// Hang takes requests and never answers.
	Hang bool `json:"hang"`
	// Truncate cuts every answer's body.
	Truncate bool `json:"truncate"`
	// WrongSnapshot answers with another snapshot than it was asked for.
	WrongSnapshot bool `json:"wrongSnapshot"`
	// ReplyDelay holds answers back until after the caller's deadline.
	ReplyDelay time.Duration `json:"late"`
	// HideLeaving refuses while leaving but does not say so.
	HideLeaving bool `json:"hideLeaving"`
	// FailAll runs requests and answers with an error.
	FailAll bool `json:"fail"`
	// ColdFor multiplies the service time by coldFactor for this long.
	ColdFor time.Duration `json:"coldFor"`
}

const coldFactor = 5

// Counts is what a replica counted since its start.
type Counts struct {
	// ReceivedRequests counts requests that came in.
	ReceivedRequests int64 `json:"arrived"`
	// ExecutedRequests counts requests that ran.
	ExecutedRequests int64 `json:"executed"`
	// ReceivedAfterGrace counts requests that came more than the grace after the
	// replica began to leave.
	ReceivedAfterGrace int64 `json:"afterLeaving"`
	// LastArrival is when the last request came, in Unix milliseconds.
	LastArrival int64 `json:"lastArrival"`
	// CommandRuns counts the runs of each command body.
	CommandRuns map[string]int `json:"commands"`
	// RelayedRequests holds the runs of each relayed request.
	RelayedRequests map[string]RelayedRequest `json:"relayed"`
	// OpenConnections is how many connections are open, and Most the most so far.
	OpenConnections     int `json:"connections"`
	MaxOpenConnections int `json:"mostConnections"`
	// RepeatedRuns counts identities that ran more than once.
	RepeatedRuns int64 `json:"doubled"`
}

// LeavingGracePeriod is how long after it began to leave a replica may still get
// new work.
const LeavingGracePeriod = 3 * time.Second
