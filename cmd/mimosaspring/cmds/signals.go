package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// signals receives the signals that the process handles.
type signals struct {
	// stop receives SIGTERM and SIGINT.
	stop chan os.Signal
	// hangups receives SIGHUP, which announces a changed settings file. It is only
	// logged, because the settings are read once at the start. With a channel of its
	// own it cannot take the room of SIGTERM.
	hangups chan os.Signal
	logger  *zap.Logger
}

// maxPendingSignals is the number of signals that may wait to be handled.
const maxPendingSignals = 4

// notifySignals returns the signals that arrive from now on.
func notifySignals() *signals {
	signals := &signals{stop: make(chan os.Signal, maxPendingSignals), hangups: make(chan os.Signal, 1), logger: zap.NewNop()}
	signal.Notify(signals.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(signals.hangups, syscall.SIGHUP)
	return signals
}

// awaitStop returns when the process receives SIGTERM or SIGINT.
func (signals *signals) awaitStop() {
	for {
		select {
		case <-signals.hangups:
			signals.logger.Info("hangup received; changed settings take effect at the next start")
		case <-signals.stop:
			return
		}
	}
}

// loop logs the signals that arrive during the stop, until ctx ends. Only SIGINT, the
// interrupt of a user at a terminal, calls interrupt: SIGTERM in series must not cut the
// requests that the stop waits for.
func (signals *signals) loop(ctx context.Context, interrupt context.CancelFunc) {
	for {
		select {
		case received := <-signals.stop:
			if received == os.Interrupt {
				signals.logger.Warn("interrupt received during the stop; it ends at once")
				interrupt()
				continue
			}
			signals.logger.Info("signal received during the stop; it goes on", zap.Stringer("signal", received))
		case <-signals.hangups:
			signals.logger.Info("hangup received during the stop; it goes on")
		case <-ctx.Done():
			return
		}
	}
}
