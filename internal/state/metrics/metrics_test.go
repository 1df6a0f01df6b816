package metrics_test

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
)

// TestHistogramPrecision checks that latencies are read to within 1%, from a fast
// answer to the longest deadline.
func TestHistogramPrecision(t *testing.T) {
	tests := map[string]time.Duration{
		"a microsecond": time.Microsecond,
		"fast answer":   1_234 * time.Microsecond,
		"target":        98_765 * time.Microsecond,
		"late answer":   1_999 * time.Millisecond,
		"a minute":      59_999 * time.Millisecond,
		"longest":       2 * time.Minute,
	}
	for name, latency := range tests {
		t.Run(name, func(t *testing.T) {
			histogram := metrics.NewHistogram()
			histogram.Record(latency)
			off := math.Abs(float64(histogram.Quantile(50)-latency)) / float64(latency)
			assert.Assert(t, off <= 0.01, "%v: %.2f%% off", histogram.Quantile(50), 100*off)
			assert.Equal(t, histogram.Count(), int64(1))
		})
	}
}

// TestObserveRequestMemory checks the memory of an instance that was asked once by each
// of many tenants and classes, such as one that gets only the operators' trial requests.
func TestObserveRequestMemory(t *testing.T) {
	const labels, maxBytesPerLabel = 40, 32 << 10
	var before, after runtime.MemStats
	observed := metrics.New()
	runtime.ReadMemStats(&before)
	for number := range labels {
		observed.ObserveRequest(fmt.Sprintf("tenant.class%d", number), "relayed", "done", time.Millisecond)
	}
	runtime.ReadMemStats(&after)
	allocated := (after.TotalAlloc - before.TotalAlloc) / labels
	assert.Assert(t, allocated <= maxBytesPerLabel, "%d bytes a label", allocated)
}

// TestLabels checks which labels have counters and a histogram: those in use keep theirs, and
// further ones are counted together until another one was not used for a minute.
func TestLabels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		observed := metrics.New()
		observe := func(from, to int) {
			for number := from; number < to; number++ {
				observed.ObserveRequest(fmt.Sprint("host.route-", number), "relayed", "done", time.Millisecond)
			}
		}
		count := func(label string) string {
			if value := observed.Vars.Get("requests.relayed." + label + ".done"); value != nil {
				return value.String()
			}
			return ""
		}
		observe(0, 300)
		assert.Equal(t, count("host.route-0"), "1")
		assert.Equal(t, count("host.route-299"), "")
		assert.Equal(t, count("other"), "44")
		time.Sleep(2 * time.Minute)
		observe(0, 100)
		observe(299, 300)
		assert.Equal(t, count("host.route-0"), "2")
		assert.Equal(t, count("host.route-299"), "1")
		assert.Equal(t, count("host.route-100"), "", "the label that was used longest ago gives way")
		assert.Assert(t, observed.Vars.Get("latency.relayed.host.route-100") == nil)
		observed.AddLabelled("queries.refused.", "class", 1)
		assert.Equal(t, observed.Vars.Get("queries.refused.class").String(), "1")
		assert.Assert(t, observed.Labels() <= 257)
	})
}
