package log

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// queuedLines is how many lines wait for a slow reader before more are
	// dropped, about a second of the most that is logged.
	queuedLines = 1_024
	// dropsInterval is the least time between two lines that count the drops.
	dropsInterval = time.Second
	// syncTimeout bounds the wait for the queued lines when the process ends.
	syncTimeout = 200 * time.Millisecond
)

// Writer passes lines on without ever blocking the one that logs: it drops
// and counts those that the reader is too slow for.
type Writer struct {
	lines   chan []byte
	flushed chan chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a writer to output. Its goroutine lives as long as the
// process.
func NewWriter(output io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, queuedLines), flushed: make(chan chan struct{})}
	go writer.run(output)
	return writer
}

// Write queues a copy of line.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until the queued lines are written, for syncTimeout at most.
func (writer *Writer) Sync() error {
	done := make(chan struct{})
	timeout := time.After(syncTimeout)
	select {
	case writer.flushed <- done:
		<-done
	case <-timeout:
	}
	return nil
}

// Dropped returns how many lines were dropped and not yet told.
func (writer *Writer) Dropped() int64 { return writer.dropped.Load() }

func (writer *Writer) run(output io.Writer) {
	var told time.Time
	for {
		select {
		case line := <-writer.lines:
			_, _ = output.Write(line)
			if writer.dropped.Load() > 0 && time.Since(told) >= dropsInterval {
				told = time.Now()
				writer.tellDrops(output)
			}
		case done := <-writer.flushed:
			for len(writer.lines) > 0 {
				_, _ = output.Write(<-writer.lines)
			}
			close(done)
		}
	}
}

func (writer *Writer) tellDrops(output io.Writer) {
	count := writer.dropped.Swap(0)
	entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), LoggerName: PartProcess, Message: "log lines dropped; the reader of the log is too slow"}
	buffer, err := newEncoder().EncodeEntry(entry, []zapcore.Field{{Key: "count", Type: zapcore.Int64Type, Integer: count}})
	if err != nil {
		return
	}
	_, _ = output.Write(buffer.Bytes())
	buffer.Free()
}
