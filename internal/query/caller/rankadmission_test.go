package caller_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/query/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// TestRankAdmission observes answers, of which those to some ranks are late, and checks
// which part of the queries is refused afterwards. Refusals help only where the
// queries that are served first are in time. With the two steps, about a fifth of the
// admitted answers may be late, so that with 0.4 of the ranks late about 0.24 of the
// queries are refused, and with 0.7 about 0.6.
func TestRankAdmission(t *testing.T) {
	tests := map[string]struct {
		// isLate reports whether the answer to a query of the given rank, 0 to 1, is
		// late.
		isLate func(rank float64) bool
		// change, if set, replaces fields of the queries.
		change                  func(request *caller.AdmissionRequest)
		wantAtLeast, wantAtMost float64
		// isEasing is set if all answers are in time afterwards. Then no query may be
		// refused any more.
		isEasing bool
	}{
		"all in time":                     {isLate: func(float64) bool { return false }},
		"the highest ranks late":          {isLate: func(rank float64) bool { return rank > 0.6 }, wantAtLeast: 0.12, wantAtMost: 0.4},
		"most ranks late":                 {isLate: func(rank float64) bool { return rank > 0.3 }, wantAtLeast: 0.4, wantAtMost: 0.8},
		"all ranks late":                  {isLate: func(float64) bool { return true }},
		"any rank late, at random":        {isLate: func(float64) bool { return rand.Float64() < 0.5 }, wantAtMost: 0.15},
		"a query without target time":     {isLate: func(rank float64) bool { return rank > 0.3 }, change: func(request *caller.AdmissionRequest) { request.TargetTime = time.Time{} }},
		"a request to one replica":        {isLate: func(rank float64) bool { return rank > 0.3 }, change: func(request *caller.AdmissionRequest) { request.Scope.Form = api.FormRelayed }},
		"a caller that returns":           {isLate: func(rank float64) bool { return rank > 0.3 }, change: func(request *caller.AdmissionRequest) { request.IsReturning = true }},
		"the highest ranks in time again": {isLate: func(rank float64) bool { return rank > 0.6 }, wantAtLeast: 0.12, wantAtMost: 0.4, isEasing: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			admission := caller.NewRankAdmission()
			observe(admission, 4_000, test.change, test.isLate)
			refused := refusedShare(t, admission, test.change)
			assert.Assert(t, refused >= test.wantAtLeast && refused <= test.wantAtMost, "%.2f refused", refused)
			if test.isEasing {
				observe(admission, 1_000, test.change, func(float64) bool { return false })
				assert.Equal(t, refusedShare(t, admission, test.change), 0.0)
			}
		})
	}
}

// newAdmissionRequest returns a query of a random rank, changed by change if it is set.
func newAdmissionRequest(change func(request *caller.AdmissionRequest)) caller.AdmissionRequest {
	now := time.Now()
	request := caller.AdmissionRequest{
		Scope:      api.Scope{Name: "s", Index: "i", Form: api.FormMerged},
		TargetTime: now.Add(100 * time.Millisecond),
		Deadline:   now.Add(time.Second),
		Rank:       rand.Uint32(),
	}
	if change != nil {
		change(&request)
	}
	return request
}

// observe offers count queries and observes the answers to those that are admitted.
func observe(admission *caller.RankAdmission, count int, change func(*caller.AdmissionRequest), isLate func(rank float64) bool) {
	for range count {
		request := newAdmissionRequest(change)
		if admission.Admit(request) == nil {
			admission.Observe(request, isLate(float64(request.Rank)/math.MaxUint32))
		}
	}
}

// refusedShare returns the share of refused queries. Each refusal must tell the caller
// to return within the time that it has left.
func refusedShare(t *testing.T, admission *caller.RankAdmission, change func(*caller.AdmissionRequest)) float64 {
	const count = 2_000
	refused := 0
	for range count {
		request := newAdmissionRequest(change)
		if refusal := admission.Admit(request); refusal != nil {
			refused++
			assert.Assert(t, refusal.RetryAfter > 0 && refusal.RetryAfter <= time.Second/3, "%s", refusal.RetryAfter)
		}
	}
	return float64(refused) / count
}

// TestRankAdmissionRecovers leaves an instance without queries after an overload. None
// of the few queries that come later may be refused for it.
func TestRankAdmissionRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view.MonotonicOrigin = time.Now().Add(-time.Hour)
		admission := caller.NewRankAdmission()
		observe(admission, 4_000, nil, func(rank float64) bool { return rank > 0.3 })
		assert.Assert(t, refusedShare(t, admission, nil) > 0.5)
		time.Sleep(6 * time.Second)
		assert.Equal(t, refusedShare(t, admission, nil), 0.0)
	})
}
