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
		// refresh is how long after the pause control ticks again; 0 for never.
		refresh time.Duration
		want    time.Duration
	}{
		"no pause":              {pause: 500 * time.Millisecond, want: 0},
		"pause with refresh":    {pause: 5 * time.Second, refresh: 50 * time.Millisecond, want: 50 * time.Millisecond},
		"pause without refresh": {pause: 5 * time.Second, want: view.MaxRefreshWait},
		"pause with refresh after the maximum wait": {pause: 5 * time.Second, refresh: time.Second, want: view.MaxRefreshWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				publishedview := view.NewPublishedView()
				time.Sleep(test.pause)
				if test.refresh > 0 {
					time.AfterFunc(test.refresh, publishedview.Tick)
				}
				start := time.Now()
				publishedview.Current(context.Background())
				waited := time.Since(start)
				assert.Assert(t, waited >= test.want && waited <= test.want+10*time.Millisecond, "waited %s", waited)
			})
		})
	}
}
