package cmds

import (
	"context"
	"runtime"
	"runtime/debug"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/process/commandline"
	"github.com/mimosaspring/mimosaspring/internal/process/instance"
	"github.com/mimosaspring/mimosaspring/internal/process/log"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/wire/toml"
	"github.com/mimosaspring/mimosaspring/platform"
)

type serveCmd struct {
	Settings string   `required:"" type:"path" env:"MIMOSASPRING_SETTINGS" help:"The settings file, in TOML."`
	Set      []string `sep:"none" placeholder:"KEY=VALUE" help:"Replaces a key of the settings file, as process.cores=2. Without a value it is ignored."`
}

// Run serves until SIGTERM or SIGINT, and then shuts down gracefully. A further SIGINT
// ends the shutdown at once; other signals do not shorten it.
func (servecmd *serveCmd) Run(ctx context.Context) error {
	signals := notifySignals()
	settings, err := toml.ReadSettings(servecmd.Settings, servecmd.Set...)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	loggers, err := log.New(settings.Log, settings.Name)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	signals.logger = loggers.Part(log.PartProcess)
	adapter, err := findAdapter(settings.Interface)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	applyProcessLimits(settings.Process)
	instance, err := instance.Start(settings, instance.WithAdapter(adapter), instance.WithLoggers(loggers))
	if err != nil {
		return err
	}
	if growth := settings.Schedule.IdleHeapGrowth; growth > 0 {
		startCollector(ctx, growth, instance.View, loggers.Part(log.PartProcess))
	}
	signals.awaitStop()
	stopCtx, interrupt := context.WithCancel(ctx)
	defer interrupt()
	go signals.loop(ctx, interrupt)
	instance.Stop(stopCtx)
	loggers.Flush()
	return nil
}

// adapters holds, by the value of the setting "interface", the functions that return
// the adapters which replace the system's own interface.
var adapters = map[string]func() instance.Adapter{
	"platform": platform.Adapter,
}

// findAdapter returns the adapter that a value of the setting "interface" names, which
// is that of the system's own interface if the value is empty.
func findAdapter(name string) (instance.Adapter, error) {
	if name == "" {
		return instance.NativeAdapter(), nil
	}
	adapter, isKnown := adapters[name]
	if !isKnown {
		return instance.Adapter{}, errors.Errorf("interface = %q; allowed: platform, or empty for the system's own interface", name)
	}
	return adapter(), nil
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
