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
	Planned int
	Done    int
	// InTime counts answers that were done within the deadline.
	InTime int
	// Good counts answers in time that include every selected shard.
	Good    int
	NotRun  int
	Unknown int
	// Cut counts requests that got no answer of an instance.
	Cut int
	// Full counts done answers that include every selected shard.
	Full     int
	Selected int
	Included int
	// Sent counts the requests to replicas, Needed those that cover each
	// selected shard once.
	Sent   int
	Needed int
	// Latency holds the latency of done answers, Refusal that of refusals,
	// both from the planned time.
	Latency *metrics.Histogram
	Refusal *metrics.Histogram
	// LeastCoverage is the lowest share of selected shards in a done answer.
	LeastCoverage float64
	Broken        []string
	CutCauses     map[string]int
	Reasons       map[string]int

	mutex sync.Mutex
}

func newReport() *Report {
	return &Report{
		Latency:       metrics.NewHistogram(),
		Refusal:       metrics.NewHistogram(),
		LeastCoverage: 1,
		CutCauses:     make(map[string]int),
		Reasons:       make(map[string]int),
	}
}

func (report *Report) cut(err error) {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	report.Cut++
	report.CutCauses[err.Error()]++
}

func (report *Report) check(err error) {
	if err == nil {
		return
	}
	report.mutex.Lock()
	defer report.mutex.Unlock()
	report.Broken = append(report.Broken, err.Error())
}

func (report *Report) answer(answer api.Answer, latency, deadline time.Duration) {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	report.Sent += answer.SentRequests
	if answer.Reason != "" {
		report.Reasons[answer.Reason]++
	}
	switch answer.Outcome {
	case api.OutcomeDone:
		report.done(answer, latency, deadline)
	case api.OutcomeNotRun:
		report.NotRun++
		report.Refusal.Record(latency)
	default:
		report.Unknown++
	}
}

func (report *Report) done(answer api.Answer, latency, deadline time.Duration) {
	report.Done++
	report.Latency.Record(latency)
	if latency <= deadline {
		report.InTime++
	}
	coverage := answer.Coverage
	for _, missing := range coverage.MissingShards {
		report.Reasons["missing: "+string(missing.Reason)]++
	}
	report.Selected += coverage.SelectedCount
	report.Included += coverage.IncludedCount
	report.Needed += coverage.SelectedCount
	if coverage.IncludedCount == coverage.SelectedCount {
		report.Full++
		if latency <= deadline {
			report.Good++
		}
	}
	if coverage.SelectedCount > 0 {
		report.LeastCoverage = min(report.LeastCoverage, coverage.Ratio())
	}
}

// String sums the report up in one line.
func (report *Report) String() string {
	return fmt.Sprintf("planned %d done %d inTime %d good %d notRun %d unknown %d cut %d broken %d full %d coverage %.4f leastCoverage %.4f extra %.4f p50 %s p99 %s p999 %s refusalP99 %s",
		report.Planned, report.Done, report.InTime, report.Good, report.NotRun, report.Unknown, report.Cut, len(report.Broken), report.Full,
		ratio(report.Included, report.Selected), report.LeastCoverage, report.Extra(),
		rounded(report.Latency.Quantile(50)), rounded(report.Latency.Quantile(99)), rounded(report.Latency.Quantile(99.9)), rounded(report.Refusal.Quantile(99)))
}

// Extra returns the requests to replicas beyond those needed, as a share of
// the needed ones.
func (report *Report) Extra() float64 { return ratio(report.Sent, report.Needed) - 1 }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

func rounded(latency time.Duration) time.Duration { return latency.Round(100 * time.Microsecond) }
