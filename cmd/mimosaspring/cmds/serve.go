package cmds

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/process/commandline"
	"github.com/mimosaspring/mimosaspring/internal/process/instance"
	"github.com/mimosaspring/mimosaspring/internal/process/log"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/wire/toml"
	"github.com/mimosaspring/mimosaspring/platform"
)

type serveCmd struct {
	Settings string `required:"" type:"path" env:"MIMOSASPRING_SETTINGS" help:"The settings file, in TOML."`
}

// Run serves until SIGTERM or SIGINT, and then shuts down gracefully. A second
// signal ends the shutdown at once.
func (servecmd *serveCmd) Run(ctx context.Context) error {
	settings, err := toml.ReadSettings(servecmd.Settings)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	loggers, err := log.New(settings.Log, settings.Name)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	options, err := adapterOptions(settings)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	applyProcessLimits(settings.Process)
	instance, err := instance.Start(settings, append(options, instance.WithLoggers(loggers))...)
	if err != nil {
		return err
	}
	awaitStopSignal(loggers.Part(log.PartProcess))
	stopCtx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	instance.Stop(stopCtx)
	loggers.Flush()
	return nil
}

// awaitStopSignal returns when the process receives SIGTERM or SIGINT. SIGHUP, which
// announces a changed settings file, is only logged, because the settings are read
// once at the start.
func awaitStopSignal(logger *zap.Logger) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	for signal := range signals {
		if signal != syscall.SIGHUP {
			return
		}
		logger.Info("hangup received; changed settings take effect at the next start")
	}
}

// adapters holds, by the value of the setting "interface", the functions that return
// the adapters which replace the system's own interface.
var adapters = map[string]func() instance.Adapter{
	"platform": platform.Adapter,
}

// adapterOptions returns the option for the adapter that the setting "interface"
// names, or no option if the setting is empty. It returns an error for any other
// value.
func adapterOptions(settings settings.Settings) ([]instance.Option, error) {
	if settings.Interface == "" {
		return nil, nil
	}
	adapter, isKnown := adapters[settings.Interface]
	if !isKnown {
		return nil, errors.Errorf("interface = %q; allowed: platform, or empty for the system's own interface", settings.Interface)
	}
	return []instance.Option{instance.WithAdapter(adapter())}, nil
}

// memoryLimitRatio is the part of the configured memory that the garbage collector's
// limit allows; the rest is for sockets and stacks.
const memoryLimitRatio = 0.7

// applyProcessLimits limits the cores and the memory that Go's runtime uses. A limit
// of 0 leaves Go's default.
func applyProcessLimits(process settings.Process) {
	if process.Cores > 0 {
		runtime.GOMAXPROCS(process.Cores)
	}
	if process.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(process.MemoryBytes)))
	}
}
