package cmds

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/schedule/peer"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// collector sets how often the process collects garbage.
type collector[P peer.HeapGrowthPolicy] struct {
	policy      P
	currentView func() *view.View
	logger      *zap.Logger
	// growth is the growth in force, in percent.
	growth int
	// count is the number of collections until the last update.
	count uint64
}

// startCollector makes a process whose instance serves no callers collect garbage at a
// growth of idleGrowth percent, until ctx ends. The growth is otherwise what it is now.
func startCollector(ctx context.Context, idleGrowth int, currentView func() *view.View, logger *zap.Logger) {
	growth := debug.SetGCPercent(idleGrowth)
	debug.SetGCPercent(growth)
	collector := &collector[peer.IdleGrowth]{
		policy:      peer.IdleGrowth{Growth: growth, Idle: idleGrowth},
		currentView: currentView,
		logger:      logger,
		growth:      growth,
	}
	go collector.run(ctx)
}

func (collector *collector[P]) run(ctx context.Context) {
	ticker := time.NewTicker(peer.HeapGrowthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			collector.update()
		case <-ctx.Done():
			return
		}
	}
}

// update puts the growth in force that follows from the current View.
func (collector *collector[P]) update() {
	current := collector.currentView()
	samples := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(samples)
	count := samples[0].Value.Uint64()
	collected := peer.Collected{Growth: collector.growth, Count: int(count - collector.count)}
	collector.count = count
	growth := collector.policy.Percent(current.Self, current.Serving, collected)
	if growth == collector.growth {
		return
	}
	debug.SetGCPercent(growth)
	collector.logger.Info("heap growth changed", zap.Int("percent", growth), zap.Int("previousPercent", collector.growth), zap.Int("collections", collected.Count),
		zap.Int("serving", len(current.Serving)), zap.Int("members", len(current.Members)), zap.Uint64("view", current.Number))
	collector.growth = growth
}
