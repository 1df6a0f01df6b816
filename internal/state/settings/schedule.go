package settings

import "strconv"

// Schedule configures the decisions under load that the instances make together.
// Each of them is off unless the file switches it on.
type Schedule struct {
	// Pace makes the use of a replica that has just started, has become cold or has
	// recovered from failures begin slowly and rise with its answers.
	Pace bool `toml:"pace"`
	// ColdOvershoot and ColdSlack bound the requests that a cold replica gets from all
	// instances together in a second: the rate that its upstream states for cold
	// replicas, times ColdOvershoot, plus ColdSlack. Nothing is bounded for an upstream
	// that states no such rate.
	ColdOvershoot float64 `toml:"coldOvershoot"`
	ColdSlack     float64 `toml:"coldSlack"`
	// ByCapacity gives callers only the addresses of the instances with the most
	// processor time, and makes only these the homes of shards. It has no effect
	// among instances of about the same processor time.
	ByCapacity bool `toml:"byCapacity"`
	// SlackBySender gives the instances with the most processor time a larger share of
	// the slack of the retry budget. It takes effect with ByCapacity, and not among
	// instances of about the same processor time, except that instances that have just
	// started have no share until they know the others.
	SlackBySender bool `toml:"slackBySender"`
	// OrderByUrgency orders the requests that wait for a connection to a replica by
	// the targets and priorities of their scopes.
	OrderByUrgency bool `toml:"orderByUrgency"`
	// AdmitByPriority refuses relayed queries of the lowest priority first while
	// answers are late. It needs OrderByUrgency.
	AdmitByPriority bool `toml:"admitByPriority"`
	// FloorTurns is the number of requests of which one at least is of each priority
	// that waits at the same replica; 0 sets no floor.
	FloorTurns int `toml:"floorTurns"`
	// IdleHeapGrowth is by how many percent the heap of an instance that serves no
	// callers grows between two garbage collections; 0 leaves it as on the others. It
	// has no effect while all instances serve callers.
	IdleHeapGrowth int `toml:"idleHeapGrowth"`
}

// defaultFloorTurns is the default of Schedule.FloorTurns.
const defaultFloorTurns = 8

// minHeapGrowth and maxHeapGrowth bound IdleHeapGrowth, unless it is 0.
const (
	minHeapGrowth = 10
	maxHeapGrowth = 1_000
)

// maxColdBound is the highest value of ColdOvershoot and ColdSlack.
const maxColdBound = 1_000_000

func (schedule Schedule) validate() error {
	for key, value := range map[string]float64{"schedule.coldOvershoot": schedule.ColdOvershoot, "schedule.coldSlack": schedule.ColdSlack} {
		if !(value >= 0 && value <= maxColdBound) {
			return &FieldError{Key: key, Value: "out of range", Allowed: "0 to 1000000"}
		}
	}
	if turns := schedule.FloorTurns; turns < 0 {
		return &FieldError{Key: "schedule.floorTurns", Value: strconv.Itoa(turns), Allowed: "0 or more"}
	}
	if schedule.AdmitByPriority && !schedule.OrderByUrgency {
		return &FieldError{Key: "schedule.admitByPriority", Value: "true", Allowed: "false, or true together with schedule.orderByUrgency"}
	}
	if growth := schedule.IdleHeapGrowth; growth != 0 && (growth < minHeapGrowth || growth > maxHeapGrowth) {
		return &FieldError{Key: "schedule.idleHeapGrowth", Value: strconv.Itoa(growth), Allowed: "0, or 10 to 1000"}
	}
	return nil
}
