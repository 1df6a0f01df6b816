// Package log builds a named logger for each component of the program.
package log

import (
	"os"
	"slices"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/mimosaspring/mimosaspring/internal/state/settings"
)

// The names of the components that log. Each is the logger name of the
// component's lines, and a value that the setting log.parts allows.
const (
	PartControl  = "control"
	PartPlatform = "platform"
	PartPeer     = "peer"
	PartUpstream = "upstream"
	PartCaller   = "caller"
	PartOperator = "operator"
	PartProcess  = "process"
)

// Loggers builds the logger of each component.
type Loggers struct {
	// core encodes and writes the lines; nil if nothing is logged.
	core zapcore.Core
	// level is the least severe level that is logged.
	level zapcore.Level
	// debugParts lists the components that log at debug level regardless of
	// level.
	debugParts []string
}

// newEncoder returns an encoder that writes each line as one JSON object.
func newEncoder() zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	return zapcore.NewJSONEncoder(config)
}

// New returns the loggers that settings configure. They write to standard output
// and add the instance's name to each line. It returns an error if settings.Level
// is not a known level.
func New(settings settings.Log, instance string) (*Loggers, error) {
	level, err := zapcore.ParseLevel(settings.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log.level")
	}
	core := zapcore.NewCore(newEncoder(), NewWriter(os.Stdout), zapcore.DebugLevel).With([]zapcore.Field{zap.String("instance", instance)})
	return &Loggers{core: core, level: level, debugParts: settings.Components}, nil
}

// Flush waits until the lines logged so far are written; see Writer.Sync.
func (loggers *Loggers) Flush() {
	if loggers.core != nil {
		_ = loggers.core.Sync()
	}
}

// Discard returns loggers that write nothing.
func Discard() *Loggers { return &Loggers{} }

// Part returns the logger of the component named part.
func (loggers *Loggers) Part(part string) *zap.Logger {
	if loggers.core == nil {
		return zap.NewNop()
	}
	level := loggers.level
	if slices.Contains(loggers.debugParts, part) {
		level = zapcore.DebugLevel
	}
	return zap.New(loggers.core, zap.IncreaseLevel(level)).Named(part)
}
