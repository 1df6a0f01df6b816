// Package log builds one named logger for each part of the program.
package log

import (
	"os"
	"slices"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/mimosaspring/mimosaspring/internal/state/settings"
)

// The parts that log; each name is the prefix of the part's lines.
const (
	PartControl  = "control"
	PartPlatform = "platform"
	PartPeer     = "peer"
	PartUpstream = "upstream"
	PartCaller   = "caller"
	PartOperator = "operator"
	PartProcess  = "process"
)

// Loggers builds the logger of each part.
type Loggers struct {
	// core is nil where nothing is logged.
	core  zapcore.Core
	level zapcore.Level
	debug []string
}

// newEncoder returns the encoding of a line: one JSON object.
func newEncoder() zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	return zapcore.NewJSONEncoder(config)
}

// New returns the loggers that settings ask for. They write to standard output
// and name the instance in each line.
func New(settings settings.Log, instance string) (*Loggers, error) {
	level, err := zapcore.ParseLevel(settings.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log.level")
	}
	core := zapcore.NewCore(newEncoder(), NewWriter(os.Stdout), zapcore.DebugLevel).With([]zapcore.Field{zap.String("instance", instance)})
	return &Loggers{core: core, level: level, debug: settings.Components}, nil
}

// Flush waits a moment until the lines so far are written.
func (loggers *Loggers) Flush() {
	if loggers.core != nil {
		_ = loggers.core.Sync()
	}
}

// Discard returns loggers that write nothing.
func Discard() *Loggers { return &Loggers{} }

// Part returns the logger of one part.
func (loggers *Loggers) Part(part string) *zap.Logger {
	if loggers.core == nil {
		return zap.NewNop()
	}
	level := loggers.level
	if slices.Contains(loggers.debug, part) {
		level = zapcore.DebugLevel
	}
	return zap.New(loggers.core, zap.IncreaseLevel(level)).Named(part)
}
