package caller

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	schedule "github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/recent"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// A refused caller is told to return after a random time within these shares of the
// time that it has left. The times are random so that callers do not return together.
const (
	minRetryShare = 1.0 / 6
	maxRetryShare = 1.0 / 3
)

// LimitedAdmission refuses the queries that their replicas would serve last. Attempts
// that wait for a replica are served in the order of their rank, so that under
// overload the queries of the highest ranks are late. LimitedAdmission lowers a limit of
// the rank while admitted queries are late and raises it while they are not, as the
// policy L decides. It is safe for concurrent use.
//
// Queries without a target time or rank are admitted, and so are callers that return
// after a refusal.
type LimitedAdmission[L schedule.RankLimits] struct {
	newLimits func() L
	// mutex guards limits and the values in it.
	mutex sync.Mutex
	// limits holds the rank limits by index, because queries of one index compete
	// for the same replicas.
	limits *recent.Latest[string, L]
}

// maxLimited is the number of indexes, or of scopes and kinds, whose limits are kept. The
// one that was queried longest ago gives way to another.
const maxLimited = 1_024

// RankAdmission has one limit for the queries of all priorities.
type RankAdmission = LimitedAdmission[*schedule.SharedLimit]

// NewRankAdmission returns an admission that admits every query until some are late.
func NewRankAdmission() *RankAdmission {
	return newLimitedAdmission(func() *schedule.SharedLimit { return &schedule.SharedLimit{} })
}

// PriorityAdmission has a limit for each priority. It suits attempts that wait in the
// order of their priority before that of their rank.
type PriorityAdmission = LimitedAdmission[*schedule.PriorityLimits]

// NewPriorityAdmission returns an admission that admits every query until some are late.
func NewPriorityAdmission() *PriorityAdmission {
	return newLimitedAdmission(func() *schedule.PriorityLimits { return &schedule.PriorityLimits{} })
}

func newLimitedAdmission[L schedule.RankLimits](newLimits func() L) *LimitedAdmission[L] {
	return &LimitedAdmission[L]{newLimits: newLimits, limits: recent.New[string, L](maxLimited)}
}

// Admit admits a query if its rank is within the limit of its index and priority.
func (limitedadmission *LimitedAdmission[L]) Admit(request AdmissionRequest) *Refusal {
	if !isRanked(request) || request.IsReturning {
		return nil
	}
	limitedadmission.mutex.Lock()
	defer limitedadmission.mutex.Unlock()
	limits := limitedadmission.indexLimits(request.Scope.Index)
	rank, limit := rankShare(request), limits.Limit(request.Scope.Priority, view.MonotonicNow())
	if rank <= limit {
		return nil
	}
	timeLeft := time.Until(request.Deadline)
	share := minRetryShare + rand.Float64()*(maxRetryShare-minRetryShare)
	reason := fmt.Sprintf("the replicas of scope %s are at their load: rank %.2f of priority %d is above %.2f", request.Scope.Name, rank, request.Scope.Priority, limit)
	return &Refusal{Reason: reason, RetryAfter: max(time.Duration(share*float64(timeLeft)), time.Millisecond)}
}

// Observe adjusts the limits of a query's index.
func (limitedadmission *LimitedAdmission[L]) Observe(request AdmissionRequest, isLate bool) {
	if !isRanked(request) {
		return
	}
	limitedadmission.mutex.Lock()
	defer limitedadmission.mutex.Unlock()
	limits := limitedadmission.indexLimits(request.Scope.Index)
	limits.Observe(request.Scope.Priority, rankShare(request), isLate, view.MonotonicNow())
}

// indexLimits returns the limits of an index. The caller holds mutex.
func (limitedadmission *LimitedAdmission[L]) indexLimits(index string) L {
	limits, isKnown := limitedadmission.limits.Get(index)
	if !isKnown {
		limits = limitedadmission.newLimits()
		limitedadmission.limits.Put(index, limits)
	}
	return limits
}

// isRanked reports whether the attempts of the query are served by rank.
func isRanked(request AdmissionRequest) bool {
	return request.Scope.Form == api.FormMerged && !request.TargetTime.IsZero()
}

// rankShare returns the query's rank as a share of the highest rank.
func rankShare(request AdmissionRequest) float64 {
	return float64(request.Rank) / math.MaxUint32
}
