package caller

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

const (
	// lateStep is the share by which a late answer lowers the rank limit, and
	// onTimeStep is by how much any other answer raises it. Together they determine
	// the share of late answers that is accepted while queries are refused.
	lateStep   = 0.01
	onTimeStep = 0.002
	// minRecoveryDelay is how long no answer must have been late before a limit rises
	// by itself, and limitRecoveryTime is the time in which it then rises from 0 to 1.
	// Otherwise the few queries after an overload would be refused for long.
	minRecoveryDelay  = time.Second
	limitRecoveryTime = 5 * time.Second
	// minRankLimit is the lowest rank limit. The queries that it admits show whether
	// the replicas have recovered.
	minRankLimit = 0.2
	// lateShareWeight is the weight of a new answer in the moving averages of the
	// late shares.
	lateShareWeight = 1.0 / 16
	// maxLowLateRatio is the late share of the lower ranks, as a multiple of the late
	// share of the higher ones, up to which the lateness is attributed to load. If
	// even the ranks that are served first are late, refusals do not help.
	maxLowLateRatio = 0.5
)

// A refused caller is told to return after a random time within these shares of the
// time that it has left. The times are random so that callers do not return together.
const (
	minRetryShare = 1.0 / 6
	maxRetryShare = 1.0 / 3
)

// RankAdmission refuses the queries that their replicas would serve last. Attempts
// that wait for a replica are served in the order of their rank, so that under
// overload the queries of the highest ranks are late. RankAdmission lowers a limit of
// the rank while admitted queries are late and raises it while they are not. It is
// safe for concurrent use.
//
// Queries without a target time or rank are admitted, and so are callers that return
// after a refusal.
type RankAdmission struct {
	// mutex guards limits and the values in it.
	mutex sync.Mutex
	// limits holds the rank limits by index, because queries of one index compete
	// for the same replicas.
	limits map[string]*rankLimit
}

// rankLimit is the rank limit of the queries of one index. Ranks and limits are
// shares of the highest rank.
type rankLimit struct {
	// limit is the highest rank that is admitted. It was last updated at updatedAt,
	// and an answer was last late at lateAt. Both are times since
	// view.MonotonicOrigin.
	limit     float64
	updatedAt time.Duration
	lateAt    time.Duration
	// lowLateShare and highLateShare are moving averages of the share of late answers
	// to queries with a rank below half of limit and with any other rank.
	lowLateShare  float64
	highLateShare float64
}

// NewRankAdmission returns an admission that admits every query until some are late.
func NewRankAdmission() *RankAdmission {
	return &RankAdmission{limits: make(map[string]*rankLimit)}
}

// Admit admits a query if its rank is within the limit of its index.
func (rankadmission *RankAdmission) Admit(request AdmissionRequest) *Refusal {
	if !isRanked(request) || request.IsReturning {
		return nil
	}
	rankadmission.mutex.Lock()
	defer rankadmission.mutex.Unlock()
	if rankShare(request) <= rankadmission.rankLimit(request.Scope.Index).limit {
		return nil
	}
	timeLeft := time.Until(request.Deadline)
	share := minRetryShare + rand.Float64()*(maxRetryShare-minRetryShare)
	return &Refusal{Reason: "the replicas of scope " + request.Scope.Name + " are at their load", RetryAfter: max(time.Duration(share*float64(timeLeft)), time.Millisecond)}
}

// Observe adjusts the limit of a query's index.
func (rankadmission *RankAdmission) Observe(request AdmissionRequest, isLate bool) {
	if !isRanked(request) {
		return
	}
	rankadmission.mutex.Lock()
	defer rankadmission.mutex.Unlock()
	rankadmission.rankLimit(request.Scope.Index).observe(rankShare(request), isLate)
}

// rankLimit returns the limit of an index as of now. The caller holds mutex.
func (rankadmission *RankAdmission) rankLimit(index string) *rankLimit {
	limit := rankadmission.limits[index]
	if limit == nil {
		limit = &rankLimit{limit: 1}
		rankadmission.limits[index] = limit
	}
	limit.rise(view.MonotonicNow())
	return limit
}

// rise raises the limit by the time since its last update in which it could rise by
// itself.
func (ranklimit *rankLimit) rise(now time.Duration) {
	rising := now - max(ranklimit.updatedAt, ranklimit.lateAt+minRecoveryDelay)
	if rising > 0 {
		ranklimit.limit = min(ranklimit.limit+float64(rising)/float64(limitRecoveryTime), 1)
	}
	ranklimit.updatedAt = now
}

// observe adjusts the limit to the answer to a query of the given rank.
func (ranklimit *rankLimit) observe(rank float64, isLate bool) {
	lateShare := &ranklimit.highLateShare
	if rank < ranklimit.limit/2 {
		lateShare = &ranklimit.lowLateShare
	}
	observed := 0.0
	if isLate {
		observed = 1
		ranklimit.lateAt = view.MonotonicNow()
	}
	*lateShare += (observed - *lateShare) * lateShareWeight
	if isLate && ranklimit.lowLateShare < maxLowLateRatio*ranklimit.highLateShare {
		ranklimit.limit = max(ranklimit.limit*(1-lateStep), minRankLimit)
		return
	}
	ranklimit.limit = min(ranklimit.limit+onTimeStep, 1)
}

// isRanked reports whether the attempts of the query are served by rank.
func isRanked(request AdmissionRequest) bool {
	return request.Scope.Form == api.FormMerged && !request.TargetTime.IsZero()
}

// rankShare returns the query's rank as a share of the highest rank.
func rankShare(request AdmissionRequest) float64 {
	return float64(request.Rank) / math.MaxUint32
}
