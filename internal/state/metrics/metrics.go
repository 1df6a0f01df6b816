// Package metrics counts requests and records latency histograms, by scope or by
// tenant and class. It exports them as expvar variables.
package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mimosaspring/mimosaspring/internal/state/recent"
)

// Range and precision of the latency histograms; the range is in microseconds. A further
// digit takes eight times the memory: a histogram then has 144 KB, and an instance has
// one for each tenant and class.
const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 2
)

// maxLabels is the number of labels of requests that have counters and a histogram of
// their own. The names of scopes change with the configuration, and may be ever new.
const maxLabels = 256

// otherLabel is the label of requests for which there is no label left.
const otherLabel = "other"

// labelRetention is for how long a label that is not used keeps its counters and its
// histogram although others need the place.
const labelRetention = time.Minute

// Metrics holds the counters and histograms of one instance.
type Metrics struct {
	// Vars holds all counters and histograms by name.
	Vars *expvar.Map
	// mutex guards labels, others and the values in them.
	mutex  sync.Mutex
	labels *recent.Latest[labelKey, *labelMetrics]
	// others holds what is kept under otherLabel, by kind.
	others map[string]*labelMetrics
}

// labelKey names what is counted and the label of what is counted.
type labelKey struct{ kind, label string }

// labelMetrics is what is kept under one label.
type labelMetrics struct {
	key labelKey
	// histogram holds the latencies; nil if none was recorded.
	histogram *Histogram
	// names holds the names of the counters and of the histogram.
	names  map[string]bool
	usedAt time.Time
}

// New returns metrics without counters and histograms.
func New() *Metrics {
	return &Metrics{Vars: new(expvar.Map).Init(), labels: recent.New[labelKey, *labelMetrics](maxLabels), others: make(map[string]*labelMetrics)}
}

// Add adds delta to the counter of the given name.
func (metrics *Metrics) Add(name string, delta int64) { metrics.Vars.Add(name, delta) }

// AddLabelled adds delta to the counter whose name is that of what is counted and the
// label. If maxLabels others are in use, the label is otherLabel.
func (metrics *Metrics) AddLabelled(name, label string, delta int64) {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	labelmetrics := metrics.label(labelKey{kind: name, label: label}, time.Now())
	metrics.add(labelmetrics, name+labelmetrics.key.label, delta)
}

// Gauge exports the current result of value under the given name.
func (metrics *Metrics) Gauge(name string, value func() int64) {
	metrics.Vars.Set(name, expvar.Func(func() any { return value() }))
}

// ObserveRequest counts one request by its outcome and records its latency. The
// kind is "query", "command" or "relayed". The label tells apart the requests of
// one kind: it is the scope's name for commands, and the tenant and the class of
// the scope, joined by a dot, for the others. If maxLabels others are in use, the label is
// otherLabel.
func (metrics *Metrics) ObserveRequest(label, kind, outcome string, latency time.Duration) {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	labelmetrics := metrics.label(labelKey{kind: kind, label: label}, time.Now())
	name := kind + "." + labelmetrics.key.label
	metrics.add(labelmetrics, "requests."+name+"."+outcome, 1)
	if labelmetrics.histogram == nil {
		labelmetrics.histogram = NewHistogram()
		labelmetrics.names["latency."+name] = true
		metrics.Vars.Set("latency."+name, expvar.Func(labelmetrics.histogram.summary))
	}
	labelmetrics.histogram.Record(latency)
}

// Labels returns the number of labels that are kept.
func (metrics *Metrics) Labels() int {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	return metrics.labels.Len()
}

// add adds delta to a counter of a label. The caller holds mutex.
func (metrics *Metrics) add(labelmetrics *labelMetrics, name string, delta int64) {
	labelmetrics.names[name] = true
	metrics.Vars.Add(name, delta)
}

// label returns what is kept under key, or under otherLabel if there is no place for it. The
// label that was used longest ago gives way. The caller holds mutex.
func (metrics *Metrics) label(key labelKey, now time.Time) *labelMetrics {
	if labelmetrics, isKnown := metrics.labels.Get(key); isKnown {
		labelmetrics.usedAt = now
		return labelmetrics
	}
	if oldest, _ := metrics.labels.Oldest(); metrics.labels.IsFull() && now.Sub(oldest.usedAt) < labelRetention {
		return metrics.other(key.kind)
	}
	labelmetrics := &labelMetrics{key: key, names: make(map[string]bool), usedAt: now}
	if dropped, isDropped := metrics.labels.Put(key, labelmetrics); isDropped {
		for name := range dropped.names {
			metrics.Vars.Delete(name)
		}
		metrics.Vars.Add("metrics.droppedLabels", 1)
	}
	return labelmetrics
}

// other returns what is kept under otherLabel. The caller holds mutex.
func (metrics *Metrics) other(kind string) *labelMetrics {
	labelmetrics, isKnown := metrics.others[kind]
	if !isKnown {
		labelmetrics = &labelMetrics{key: labelKey{kind: kind, label: otherLabel}, names: make(map[string]bool)}
		metrics.others[kind] = labelmetrics
	}
	return labelmetrics
}

// Histogram records latencies to within 1%. It is safe for concurrent use.
type Histogram struct {
	// mutex guards values.
	mutex  sync.Mutex
	values *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Record adds one latency. Latencies outside the histogram's range count as its
// nearest bound.
func (histogram *Histogram) Record(latency time.Duration) {
	micros := min(max(latency.Microseconds(), minMicros), maxMicros)
	histogram.mutex.Lock()
	defer histogram.mutex.Unlock()
	_ = histogram.values.RecordValue(micros)
}

// Quantile returns the latency at the given percentile, 0 to 100.
func (histogram *Histogram) Quantile(percentile float64) time.Duration {
	histogram.mutex.Lock()
	defer histogram.mutex.Unlock()
	return time.Duration(histogram.values.ValueAtPercentile(percentile)) * time.Microsecond
}

// Count returns the number of recorded latencies.
func (histogram *Histogram) Count() int64 {
	histogram.mutex.Lock()
	defer histogram.mutex.Unlock()
	return histogram.values.TotalCount()
}

// Summary is the exported form of a histogram. Latencies are in microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Micros"`
	P90   int64 `json:"p90Micros"`
	P99   int64 `json:"p99Micros"`
	P999  int64 `json:"p999Micros"`
	Max   int64 `json:"maxMicros"`
	Mean  int64 `json:"meanMicros"`
}

func (histogram *Histogram) summary() any {
	histogram.mutex.Lock()
	defer histogram.mutex.Unlock()
	values := histogram.values
	return Summary{
		Count: values.TotalCount(),
		P50:   values.ValueAtPercentile(50),
		P90:   values.ValueAtPercentile(90),
		P99:   values.ValueAtPercentile(99),
		P999:  values.ValueAtPercentile(99.9),
		Max:   values.Max(),
		Mean:  int64(values.Mean()),
	}
}
