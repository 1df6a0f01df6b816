package view_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

func TestCurrentWaitsAfterPause(t *testing.T) {
	tests := map[string]struct {
		pause time.Duration
		// refresh is when control ticks again; 0 for never.
		refresh time.Duration
		want    time.Duration
	}{
		"no pause":           {pause: 500 * time.Millisecond, want: 0},
		"pause and refresh":  {pause: 5 * time.Second, refresh: 50 * time.Millisecond, want: 50 * time.Millisecond},
		"pause, no refresh":  {pause: 5 * time.Second, want: view.MaxRefreshWait},
		"pause, late answer": {pause: 5 * time.Second, refresh: time.Second, want: view.MaxRefreshWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				published := view.NewPublishedView()
				time.Sleep(test.pause)
				if test.refresh > 0 {
					time.AfterFunc(test.refresh, published.Tick)
				}
				start := time.Now()
				published.Current(context.Background())
				waited := time.Since(start)
				assert.Assert(t, waited >= test.want && waited <= test.want+10*time.Millisecond, "waited %s", waited)
			})
		})
	}
}
