package control

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/schedule/peer"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
)

const (
	// meanMeterInterval is the mean time between two observations of an overloadMeter.
	// Each time is drawn anew, as a quota of processor time that is renewed periodically
	// stops the process at the same point of each period.
	meanMeterInterval = 100 * time.Millisecond
	// idleMeterInterval is the time between two checks whether to observe.
	idleMeterInterval = time.Second
)

// overloadMeter observes how late its goroutine runs and tells control when the
// instance becomes overloaded and when it no longer is.
type overloadMeter struct {
	control  *Control
	overload peer.Overload
}

// StartOverloadMeter starts to measure whether the instance is overloaded, until ctx
// ends. Only serving members, and those that were one until they became overloaded,
// measure it, as the statements of others have no effect.
func (control *Control) StartOverloadMeter(ctx context.Context) {
	overloadmeter := &overloadMeter{control: control}
	go overloadmeter.run(ctx)
}

func (overloadmeter *overloadMeter) run(ctx context.Context) {
	timer := time.NewTimer(idleMeterInterval)
	defer timer.Stop()
	for {
		isMeasuring := overloadmeter.isMeasuring()
		interval := idleMeterInterval
		if isMeasuring {
			interval = meanMeterInterval/2 + rand.N(meanMeterInterval)
		}
		due := time.Now().Add(interval)
		timer.Reset(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if isMeasuring {
			overloadmeter.observe(time.Now(), due)
		}
	}
}

// isMeasuring reports whether the instance's load matters to the choice of the serving
// members.
func (overloadmeter *overloadMeter) isMeasuring() bool {
	current := overloadmeter.control.CurrentView.Load()
	return current.Serving[current.Self.Instance.Name] || overloadmeter.overload.IsOverloaded
}

// observe records that the goroutine ran at now instead of at due.
func (overloadmeter *overloadMeter) observe(now, due time.Time) {
	overload := overloadmeter.overload.Observe(now.Sub(due), now)
	if overload.IsOverloaded != overloadmeter.overload.IsOverloaded {
		if !overloadmeter.control.Mailbox.TrySend(message.OverloadChanged{IsOverloaded: overload.IsOverloaded}) {
			return
		}
		overloadmeter.control.logger.Info("overload changed", zap.Bool("isOverloaded", overload.IsOverloaded), zap.Duration("meanLateness", overload.MeanLateness))
	}
	overloadmeter.overload = overload
}
