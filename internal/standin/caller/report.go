package caller

import (
	"fmt"
	"sync"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
)

// Report is how a load went.
type Report struct {
	PlannedRequests int
	DoneRequests    int
	// InTimeRequests counts answers that were done within the deadline.
	InTimeRequests int
	// CompleteAnswersInTime counts answers in time that include every selected shard.
	CompleteAnswersInTime    int
	NotRunRequests  int
	UnknownRequests int
	// UnansweredRequests counts requests that got no answer of an instance.
	UnansweredRequests int
	// CompleteAnswers counts done answers that include every selected shard.
	CompleteAnswers     int
	SelectedShards int
	IncludedShards int
	// SentRequests counts the requests to replicas, Needed those that cover each
	// selected shard once.
	SentRequests   int
	NeededRequests int
	// Latencies holds the latency of done answers, Refusal that of refusals,
	// both from the planned time.
	Latencies *metrics.Histogram
	RefusalLatencies *metrics.Histogram
	// MinCoverage is the lowest share of selected shards in a done answer.
	MinCoverage float64
	FailedChecks        []string
	UnansweredCauses     map[string]int
	Reasons       map[string]int

	mutex sync.Mutex
}

func newReport() *Report {
	return &Report{
		Latencies:       metrics.NewHistogram(),
		RefusalLatencies:       metrics.NewHistogram(),
		MinCoverage: 1,
		UnansweredCauses:     make(map[string]int),
		Reasons:       make(map[string]int),
	}
}

func (report *Report) cut(err error) {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	report.UnansweredRequests++
	report.UnansweredCauses[err.Error()]++
}

func (report *Report) check(err error) {
	if err == nil {
		return
	}
	report.mutex.Lock()
	defer report.mutex.Unlock()
	report.FailedChecks = append(report.FailedChecks, err.Error())
}

func (report *Report) answer(answer api.Answer, latency, deadline time.Duration) {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	report.SentRequests += answer.SentRequests
	if answer.Reason != "" {
		report.Reasons[answer.Reason]++
	}
	switch answer.Outcome {
	case api.OutcomeDone:
		report.done(answer, latency, deadline)
	case api.OutcomeNotRun:
		report.NotRunRequests++
		report.RefusalLatencies.Record(latency)
	default:
		report.UnknownRequests++
	}
}

func (report *Report) done(answer api.Answer, latency, deadline time.Duration) {
	report.DoneRequests++
	report.Latencies.Record(latency)
	if latency <= deadline {
		report.InTimeRequests++
	}
	coverage := answer.Coverage
	for _, missing := range coverage.Missing {
		report.Reasons["missing: "+string(missing.Reason)]++
	}
	report.SelectedShards += coverage.Selected
	report.IncludedShards += coverage.Included
	report.NeededRequests += coverage.Selected
	if coverage.Included == coverage.Selected {
		report.CompleteAnswers++
		if latency <= deadline {
			report.CompleteAnswersInTime++
		}
	}
	if coverage.Selected > 0 {
		report.MinCoverage = min(report.MinCoverage, coverage.Ratio())
	}
}

// String sums the report up in one line.
func (report *Report) String() string {
	return fmt.Sprintf("planned %d done %d inTime %d good %d notRun %d unknown %d cut %d broken %d full %d coverage %.4f leastCoverage %.4f extra %.4f p50 %s p99 %s p999 %s refusalP99 %s",
		report.PlannedRequests, report.DoneRequests, report.InTimeRequests, report.CompleteAnswersInTime, report.NotRunRequests, report.UnknownRequests, report.UnansweredRequests, len(report.FailedChecks), report.CompleteAnswers,
		ratio(report.IncludedShards, report.SelectedShards), report.MinCoverage, report.ExtraRequestRatio(),
		rounded(report.Latencies.Quantile(50)), rounded(report.Latencies.Quantile(99)), rounded(report.Latencies.Quantile(99.9)), rounded(report.RefusalLatencies.Quantile(99)))
}

// ExtraRequestRatio returns the requests to replicas beyond those needed, as a share of
// the needed ones.
func (report *Report) ExtraRequestRatio() float64 { return ratio(report.SentRequests, report.NeededRequests) - 1 }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

func rounded(latency time.Duration) time.Duration { return latency.Round(100 * time.Microsecond) }
