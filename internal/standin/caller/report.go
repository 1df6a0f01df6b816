package caller

import (
	"fmt"
	"sync"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
)

// Report holds the outcomes of the requests of a load.
type Report struct {
	// PlannedRequests counts the requests of the load. Each is also counted as one
	// of DoneRequests, NotRunRequests and UnknownRequests, by the outcome of its
	// answer, or of UnansweredRequests.
	PlannedRequests int
	DoneRequests    int
	// InTimeRequests counts the done requests that were answered within the
	// deadline.
	InTimeRequests int
	// CompleteAnswersInTime counts the answers within the deadline that include
	// every selected shard.
	CompleteAnswersInTime int
	NotRunRequests        int
	UnknownRequests       int
	// UnansweredRequests counts the requests that no instance answered.
	UnansweredRequests int
	// CompleteAnswers counts the done answers that include every selected shard.
	CompleteAnswers int
	// SelectedShards and IncludedShards are sums over the done answers.
	SelectedShards int
	IncludedShards int
	// SentRequests counts the requests that instances sent to replicas, and
	// NeededRequests one request for each selected shard of the done answers.
	SentRequests   int
	NeededRequests int
	// Latencies holds the latencies of done answers, and RefusalLatencies those
	// of refusals, both measured from the planned time.
	Latencies        *metrics.Histogram
	RefusalLatencies *metrics.Histogram
	// MinCoverage is the lowest share of the selected shards in a done answer.
	MinCoverage float64
	// FailedChecks holds the errors of Load.CheckAnswer.
	FailedChecks []string
	// UnansweredCauses counts the unanswered requests by error text.
	UnansweredCauses map[string]int
	// Reasons counts the reasons that answers gave for their outcome or for
	// missing shards.
	Reasons map[string]int

	// mutex guards the fields above while the load runs, except PlannedRequests,
	// which only Load.Run changes.
	mutex sync.Mutex
}

func newReport() *Report {
	return &Report{
		Latencies:        metrics.NewHistogram(),
		RefusalLatencies: metrics.NewHistogram(),
		MinCoverage:      1,
		UnansweredCauses: make(map[string]int),
		Reasons:          make(map[string]int),
	}
}

func (report *Report) recordUnanswered(err error) {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	report.UnansweredRequests++
	report.UnansweredCauses[err.Error()]++
}

// recordCheck records the error of a check. It does nothing if err is nil.
func (report *Report) recordCheck(err error) {
	if err == nil {
		return
	}
	report.mutex.Lock()
	defer report.mutex.Unlock()
	report.FailedChecks = append(report.FailedChecks, err.Error())
}

// recordAnswer counts an answer. Both durations are measured from the planned time
// of its request.
func (report *Report) recordAnswer(answer api.Answer, latency, deadline time.Duration) {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	report.SentRequests += answer.SentRequests
	if answer.Reason != "" {
		report.Reasons[answer.Reason]++
	}
	switch answer.Outcome {
	case api.OutcomeDone:
		report.recordDone(answer, latency, deadline)
	case api.OutcomeNotRun:
		report.NotRunRequests++
		report.RefusalLatencies.Record(latency)
	default:
		report.UnknownRequests++
	}
}

// recordDone records an answer whose outcome is done. The caller holds mutex.
func (report *Report) recordDone(answer api.Answer, latency, deadline time.Duration) {
	report.DoneRequests++
	report.Latencies.Record(latency)
	if latency <= deadline {
		report.InTimeRequests++
	}
	coverage := answer.Coverage
	for _, missingShard := range coverage.MissingShards {
		report.Reasons["missing: "+string(missingShard.Reason)]++
	}
	report.SelectedShards += coverage.SelectedCount
	report.IncludedShards += coverage.IncludedCount
	report.NeededRequests += coverage.SelectedCount
	if coverage.IncludedCount == coverage.SelectedCount {
		report.CompleteAnswers++
		if latency <= deadline {
			report.CompleteAnswersInTime++
		}
	}
	if coverage.SelectedCount > 0 {
		report.MinCoverage = min(report.MinCoverage, coverage.Ratio())
	}
}

// String returns the figures of the report in one line. In it "full" stands for
// CompleteAnswers, "good" for CompleteAnswersInTime, "cut" for UnansweredRequests
// and "broken" for the number of FailedChecks.
func (report *Report) String() string {
	return fmt.Sprintf("planned %d done %d inTime %d good %d notRun %d unknown %d cut %d broken %d full %d coverage %.4f leastCoverage %.4f extra %.4f p50 %s p99 %s p999 %s refusalP99 %s",
		report.PlannedRequests, report.DoneRequests, report.InTimeRequests, report.CompleteAnswersInTime, report.NotRunRequests, report.UnknownRequests, report.UnansweredRequests, len(report.FailedChecks), report.CompleteAnswers,
		ratio(report.IncludedShards, report.SelectedShards), report.MinCoverage, report.ExtraRequestRatio(),
		roundLatency(report.Latencies.Quantile(50)), roundLatency(report.Latencies.Quantile(99)), roundLatency(report.Latencies.Quantile(99.9)), roundLatency(report.RefusalLatencies.Quantile(99)))
}

// ExtraRequestRatio returns the requests to replicas beyond the needed ones, as a
// share of the needed ones.
func (report *Report) ExtraRequestRatio() float64 {
	return ratio(report.SentRequests, report.NeededRequests) - 1
}

// ratio returns part as a share of whole, or 1 if whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// roundLatency rounds latency to 0.1 ms.
func roundLatency(latency time.Duration) time.Duration {
	return latency.Round(100 * time.Microsecond)
}
