package upstream

import "time"

// optionalTimer is a timer that costs nothing until it is started. The zero value
// is a timer that was not started. It is not safe for concurrent use.
type optionalTimer struct{ timer *time.Timer }

// start makes the timer fire once after delay, instead of at an earlier set time.
func (optionaltimer *optionalTimer) start(delay time.Duration) {
	if optionaltimer.timer == nil {
		optionaltimer.timer = time.NewTimer(delay)
		return
	}
	optionaltimer.timer.Reset(delay)
}

// stop prevents the timer from firing.
func (optionaltimer *optionalTimer) stop() {
	if optionaltimer.timer != nil {
		optionaltimer.timer.Stop()
	}
}

// channel returns the channel on which the timer fires; nil before start.
func (optionaltimer *optionalTimer) channel() <-chan time.Time {
	if optionaltimer.timer == nil {
		return nil
	}
	return optionaltimer.timer.C
}
