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

// Run serves until SIGTERM or SIGINT, and then stops gracefully. A second
// signal stops at once.
func (servecmd *serveCmd) Run(ctx context.Context) error {
	settings, err := toml.ReadSettings(servecmd.Settings)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	loggers, err := log.New(settings.Log, settings.Name)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	options, err := optionsOf(settings)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	applyProcess(settings.Process)
	started, err := instance.Start(settings, append(options, instance.WithLoggers(loggers))...)
	if err != nil {
		return err
	}
	awaitStop(loggers.Part(log.PartProcess))
	stop, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	started.Stop(stop)
	loggers.Flush()
	return nil
}

// awaitStop returns when the process is asked to end. A hangup says that the
// settings file changed; what it holds takes effect at the next start.
func awaitStop(logger *zap.Logger) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	for received := range signals {
		if received != syscall.SIGHUP {
			return
		}
		logger.Info("hangup received; changed settings take effect at the next start")
	}
}

// adapters holds the forms beside the own one that an instance can speak.
var adapters = map[string]func() instance.Adapter{
	"platform": platform.Adapter,
}

func optionsOf(settings settings.Settings) ([]instance.Option, error) {
	if settings.Interface == "" {
		return nil, nil
	}
	adapter, isKnown := adapters[settings.Interface]
	if !isKnown {
		return nil, errors.Errorf("interface = %q; allowed: platform, or empty for the own one", settings.Interface)
	}
	return []instance.Option{instance.WithAdapter(adapter())}, nil
}

const (
	// memoryShare is the part of the allowed memory that the collector works
	// within; the rest is for sockets and stacks.
	memoryShare = 0.7
	// collectPercent is how much the heap may grow between two collections. A
	// small process pays for memory and has processor time to spare.
	collectPercent = 50
)

func applyProcess(process settings.Process) {
	if process.Cores > 0 {
		runtime.GOMAXPROCS(process.Cores)
	}
	if process.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(process.MemoryBytes)))
		debug.SetGCPercent(collectPercent)
	}
}
