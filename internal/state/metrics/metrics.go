// Package metrics counts requests and keeps latency histograms for each scope
// in expvar's form.
package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds.
const (
	leastMicros       = 1
	mostMicros        = 120_000_000
	significantDigits = 3
)

// Metrics holds the counters and histograms of one instance.
type Metrics struct {
	Vars       *expvar.Map
	mutex      sync.Mutex
	histograms map[string]*Histogram
}

// New returns metrics that hold nothing.
func New() *Metrics {
	return &Metrics{Vars: new(expvar.Map).Init(), histograms: make(map[string]*Histogram)}
}

// Add adds delta to the counter of name.
func (metrics *Metrics) Add(name string, delta int64) { metrics.Vars.Add(name, delta) }

// ObserveRequest counts one request of scope and records its latency.
func (metrics *Metrics) ObserveRequest(scope, kind, outcome string, latency time.Duration) {
	metrics.Vars.Add("requests."+kind+"."+scope+"."+outcome, 1)
	metrics.histogram("latency." + kind + "." + scope).Record(latency)
}

func (metrics *Metrics) histogram(name string) *Histogram {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	histogram := metrics.histograms[name]
	if histogram == nil {
		histogram = NewHistogram()
		metrics.histograms[name] = histogram
		metrics.Vars.Set(name, expvar.Func(histogram.export))
	}
	return histogram
}

// Histogram records latencies. It is safe for concurrent use.
type Histogram struct {
	mutex  sync.Mutex
	values *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(leastMicros, mostMicros, significantDigits)}
}

// Record adds one latency.
func (histogram *Histogram) Record(latency time.Duration) {
	micros := min(max(latency.Microseconds(), leastMicros), mostMicros)
	histogram.mutex.Lock()
	defer histogram.mutex.Unlock()
	_ = histogram.values.RecordValue(micros)
}

// Quantile returns the latency at a percentile, 0 to 100.
func (histogram *Histogram) Quantile(percentile float64) time.Duration {
	histogram.mutex.Lock()
	defer histogram.mutex.Unlock()
	return time.Duration(histogram.values.ValueAtPercentile(percentile)) * time.Microsecond
}

// Count returns how many latencies were recorded.
func (histogram *Histogram) Count() int64 {
	histogram.mutex.Lock()
	defer histogram.mutex.Unlock()
	return histogram.values.TotalCount()
}

// Summary is a histogram as operators read it, in microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Micros"`
	P90   int64 `json:"p90Micros"`
	P99   int64 `json:"p99Micros"`
	P999  int64 `json:"p999Micros"`
	Max   int64 `json:"maxMicros"`
	Mean  int64 `json:"meanMicros"`
}

func (histogram *Histogram) export() any {
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
