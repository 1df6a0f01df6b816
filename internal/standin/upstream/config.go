package upstream

import "time"

// ReplicaConfig holds the properties of a replica without faults.
type ReplicaConfig struct {
	// Slots is the number of requests that run at once.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot.
	QueueLimit int
	// ConnectionLimit is the number of connections that may be open at once.
	ConnectionLimit int
	// ConnectCost is the delay before the first bytes of a new connection are read.
	ConnectCost time.Duration
	// ServiceTime is the median time that a request runs.
	ServiceTime time.Duration
	// ServiceTimeSigma is the sigma of the log-normal service time.
	ServiceTimeSigma float64
	// HealthLag is the maximum age of the health report.
	HealthLag time.Duration
	// NetworkDelay is the network round trip to the replica. It is added to every
	// request.
	NetworkDelay time.Duration
}

// Faults holds the faults that a test injects into a replica.
type Faults struct {
	// SlowdownFactor multiplies the service time; 0 stands for 1.
	SlowdownFactor float64 `json:"slow"`
	// ShedAll refuses every request without running it.
	ShedAll bool `json:"shed"`
	// IsLeaving drains the replica: new requests are refused without running.
	IsLeaving bool `json:"leaving"`
	// Hang accepts requests and answers none before its deadline.
	Hang bool `json:"hang"`
	// Truncate cuts off the second half of every reply's body.
	Truncate bool `json:"truncate"`
	// WrongSnapshot replies with the snapshot number after the requested one.
	WrongSnapshot bool `json:"wrongSnapshot"`
	// ReplyDelay delays every reply. A value above the caller's timeout makes
	// replies arrive after the deadline.
	ReplyDelay time.Duration `json:"late"`
	// HideLeaving omits from replies and health reports that the replica is
	// leaving, while it refuses requests.
	HideLeaving bool `json:"hideLeaving"`
	// FailAll runs requests and reports each as failed.
	FailAll bool `json:"fail"`
	// FailStatus replaces the status code 500 of failed requests; 0 leaves it.
	FailStatus int `json:"failStatus"`
	// AnnounceLeaving states in the answers to relayed requests that the replica is
	// leaving, while it still runs them.
	AnnounceLeaving bool `json:"announceLeaving"`
	// RetryAfter refuses relayed requests without running them, and asks to be sent
	// nothing for this time.
	RetryAfter time.Duration `json:"retryAfter"`
	// RefusedOffers is how often each relayed request is refused, without running it,
	// before the replica takes it.
	RefusedOffers int `json:"refusedOffers"`
	// RepeatRefusals sends every refusal over HTTP/1.1 twice: the second time directly
	// before the next answer on the connection.
	RepeatRefusals bool `json:"repeatRefusals"`
	// CutHead closes the connection in the middle of the head of the answer to a
	// relayed request.
	CutHead bool `json:"cutHead"`
	// ColdDuration is how long the service time is multiplied by coldFactor after
	// the faults were set.
	ColdDuration time.Duration `json:"coldFor"`
}

// coldFactor multiplies the service time of a replica with a cold cache.
const coldFactor = 5

// Counts holds the counters of a replica since its start.
type Counts struct {
	// ReceivedRequests counts the requests that reached the replica.
	ReceivedRequests int64 `json:"arrived"`
	// ExecutedRequests counts the requests that ran.
	ExecutedRequests int64 `json:"executed"`
	// ReceivedAfterGrace counts the requests received more than
	// LeavingGracePeriod after the replica began to leave.
	ReceivedAfterGrace int64 `json:"afterLeaving"`
	// HealthChecks counts the checks of the replica's health.
	HealthChecks int64 `json:"healthChecks"`
	// LastArrival is the time of the last request, in Unix milliseconds.
	LastArrival int64 `json:"lastArrival"`
	// CommandRuns counts the runs by command body.
	CommandRuns map[string]int `json:"commands"`
	// RelayedRequests holds the relayed requests by identity.
	RelayedRequests map[string]RelayedRequest `json:"relayed"`
	// OpenConnections is the number of connections that are open, and
	// MaxOpenConnections the highest such number so far.
	OpenConnections    int `json:"connections"`
	MaxOpenConnections int `json:"mostConnections"`
	// RepeatedRuns counts the runs of commands and relayed requests whose
	// identity had already run.
	RepeatedRuns int64 `json:"doubled"`
}

// LeavingGracePeriod is how long a replica may still receive new requests after
// it began to leave.
const LeavingGracePeriod = 3 * time.Second
