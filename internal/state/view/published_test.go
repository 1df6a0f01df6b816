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
		// refreshDelay is how long after the pause control ticks again; 0 for
		// never.
		refreshDelay time.Duration
		wantWait     time.Duration
	}{
		"no pause":              {pause: 500 * time.Millisecond, wantWait: 0},
		"pause with refresh":    {pause: 5 * time.Second, refreshDelay: 50 * time.Millisecond, wantWait: 50 * time.Millisecond},
		"pause without refresh": {pause: 5 * time.Second, wantWait: view.MaxRefreshWait},
		"pause with refresh after the maximum wait": {pause: 5 * time.Second, refreshDelay: time.Second, wantWait: view.MaxRefreshWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				publishedview := view.NewPublishedView()
				time.Sleep(test.pause)
				if test.refreshDelay > 0 {
					time.AfterFunc(test.refreshDelay, publishedview.Tick)
				}
				start := time.Now()
				publishedview.Current(context.Background())
				waited := time.Since(start)
				assert.Assert(t, waited >= test.wantWait && waited <= test.wantWait+10*time.Millisecond, "waited %s", waited)
			})
		})
	}
}
