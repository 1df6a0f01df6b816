// Package caller decides which requests of callers are taken under load. Its decisions
// depend only on their arguments: they use no sockets and no clock.
package caller

import (
	"slices"
	"time"
)

const (
	// lateStep is the share by which a late answer lowers a limit, and onTimeStep is by
	// how much any other answer raises it. Together they determine the share of late
	// answers that is accepted while queries are refused.
	lateStep   = 0.01
	onTimeStep = 0.002
	// minRecoveryDelay is how long no answer must have been late before a limit rises
	// by itself, and limitRecoveryTime is the time in which it then rises from 0 to 1.
	// Otherwise the few queries after an overload would be refused for long.
	minRecoveryDelay  = time.Second
	limitRecoveryTime = 5 * time.Second
	// minRankLimit is the lowest limit. The queries that it admits show whether the
	// replicas have recovered.
	minRankLimit = 0.2
	// lateShareWeight is the weight of a new answer in the moving averages of the
	// late shares.
	lateShareWeight = 1.0 / 16
	// maxLowLateRatio is the late share of the lower ranks, as a multiple of the late
	// share of the higher ones, up to which the lateness is attributed to load. If
	// even the ranks that are served first are late, refusals do not help.
	maxLowLateRatio = 0.5
	// activeTime is how long a class counts as active after its last answer.
	activeTime = 3 * time.Second
)

// RankLimits decides up to which rank queries of one index are taken. Ranks and limits
// are shares of the highest rank, and times count from any fixed origin.
type RankLimits interface {
	// Limit returns the highest rank of a class that is taken.
	Limit(class int, now time.Duration) float64
	// Observe records whether the answer to a query was late.
	Observe(class int, rank float64, isLate bool, now time.Duration)
}

// RankLimit is a limit that follows the answers that it observes.
type RankLimit struct {
	// Value was last updated at UpdatedAt, and an answer was last late at LateAt.
	Value     float64
	UpdatedAt time.Duration
	LateAt    time.Duration
	// LowLateShare and HighLateShare are moving averages of the share of late answers
	// to queries with a rank below half of Value and with any other rank.
	LowLateShare  float64
	HighLateShare float64
}

// rise raises the limit by the time since its last update in which it could rise by
// itself.
func (ranklimit *RankLimit) rise(now time.Duration) {
	rising := now - max(ranklimit.UpdatedAt, ranklimit.LateAt+minRecoveryDelay)
	if rising > 0 {
		ranklimit.Value = min(ranklimit.Value+float64(rising)/float64(limitRecoveryTime), 1)
	}
	ranklimit.UpdatedAt = now
}

// observe updates the late shares and reports whether the answer was late because of
// load.
func (ranklimit *RankLimit) observe(rank float64, isLate bool, now time.Duration) bool {
	lateShare := &ranklimit.HighLateShare
	if rank < ranklimit.Value/2 {
		lateShare = &ranklimit.LowLateShare
	}
	observed := 0.0
	if isLate {
		observed = 1
		ranklimit.LateAt = now
	}
	*lateShare += (observed - *lateShare) * lateShareWeight
	return isLate && ranklimit.LowLateShare < maxLowLateRatio*ranklimit.HighLateShare
}

func (ranklimit *RankLimit) lower() {
	ranklimit.Value = max(ranklimit.Value*(1-lateStep), minRankLimit)
}

func (ranklimit *RankLimit) raise() { ranklimit.Value = min(ranklimit.Value+onTimeStep, 1) }

// SharedLimit has one limit for all classes.
type SharedLimit struct {
	limit     RankLimit
	isStarted bool
}

// Limit returns the limit, which starts at 1.
func (sharedlimit *SharedLimit) Limit(_ int, now time.Duration) float64 {
	if !sharedlimit.isStarted {
		sharedlimit.isStarted, sharedlimit.limit.Value = true, 1
	}
	sharedlimit.limit.rise(now)
	return sharedlimit.limit.Value
}

// Observe adjusts the limit.
func (sharedlimit *SharedLimit) Observe(class int, rank float64, isLate bool, now time.Duration) {
	sharedlimit.Limit(class, now)
	if sharedlimit.limit.observe(rank, isLate, now) {
		sharedlimit.limit.lower()
		return
	}
	sharedlimit.limit.raise()
}

// PriorityLimits has a limit for each class. While answers are late because of load, the
// lowest class that is active and has not reached its least limit is lowered, so that
// more urgent queries are refused only after less urgent ones.
type PriorityLimits struct {
	// classes holds the limits by class.
	classes map[int]*classLimit
}

// classLimit is the limit of one class, and when an answer of it was last observed.
type classLimit struct {
	RankLimit
	observedAt time.Duration
}

// Limit returns the limit of the class, which starts at 1.
func (prioritylimits *PriorityLimits) Limit(class int, now time.Duration) float64 {
	return prioritylimits.limitOf(class, now).Value
}

func (prioritylimits *PriorityLimits) limitOf(class int, now time.Duration) *classLimit {
	limit := prioritylimits.classes[class]
	if limit == nil {
		if prioritylimits.classes == nil {
			prioritylimits.classes = make(map[int]*classLimit)
		}
		limit = &classLimit{RankLimit: RankLimit{Value: 1}}
		prioritylimits.classes[class] = limit
	}
	limit.rise(now)
	return limit
}

// Observe adjusts the limit of the class, or of a less urgent one.
func (prioritylimits *PriorityLimits) Observe(class int, rank float64, isLate bool, now time.Duration) {
	limit := prioritylimits.limitOf(class, now)
	limit.observedAt = now
	if limit.observe(rank, isLate, now) {
		prioritylimits.lowestActive(class, now).lower()
		return
	}
	limit.raise()
}

// lowestActive returns the limit that is lowered when an answer of the class was late.
func (prioritylimits *PriorityLimits) lowestActive(class int, now time.Duration) *classLimit {
	var classes []int
	for other := range prioritylimits.classes {
		if other < class {
			classes = append(classes, other)
		}
	}
	slices.Sort(classes)
	for _, other := range classes {
		limit := prioritylimits.limitOf(other, now)
		if now-limit.observedAt <= activeTime && limit.Value > minRankLimit {
			// The limit must not rise by itself while it makes room for others.
			limit.LateAt = now
			return limit
		}
	}
	return prioritylimits.limitOf(class, now)
}
