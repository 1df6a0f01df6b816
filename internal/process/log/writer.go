package log

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow reader; more are
	// dropped. It holds about one second of logging at the highest rate.
	maxQueuedLines = 1_024
	// dropReportInterval is the minimum time between two lines that report the
	// number of dropped lines.
	dropReportInterval = time.Second
	// syncTimeout bounds how long Sync waits for the writer's goroutine, which may be
	// blocked by the output, when the process ends.
	syncTimeout = 200 * time.Millisecond
	// maxBatchBytes is the size from which no further lines are added to one write.
	// Some readers cut off writes above 8 KB.
	maxBatchBytes = 4 << 10
)

// Writer writes lines to an output from its own goroutine, so that logging never
// blocks. If the output is too slow and the queue is full, it drops lines and
// counts them. It is safe for concurrent use.
type Writer struct {
	lines chan []byte
	// flushRequests carries a channel to close once the queued lines are written.
	flushRequests chan chan struct{}
	// droppedLines counts the dropped lines that are not reported yet.
	droppedLines atomic.Int64
}

// NewWriter returns a writer to output and starts its goroutine, which runs until
// the process ends.
func NewWriter(output io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, maxQueuedLines), flushRequests: make(chan chan struct{})}
	go writer.run(output)
	return writer
}

// Write queues a copy of line, or drops it if the queue is full. It never returns
// an error.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.droppedLines.Add(1)
	}
	return len(line), nil
}

// Sync waits until the queued lines are written. It gives up if the goroutine does
// not begin to write them within syncTimeout; once begun, it waits without a limit.
// It never returns an error.
func (writer *Writer) Sync() error {
	done := make(chan struct{})
	timeout := time.After(syncTimeout)
	select {
	case writer.flushRequests <- done:
		<-done
	case <-timeout:
	}
	return nil
}

// DroppedLines returns the number of dropped lines that are not reported yet.
func (writer *Writer) DroppedLines() int64 { return writer.droppedLines.Load() }

// run writes the queued lines to output, several of them in one write. After a write
// it reports the dropped ones, if there are any and dropReportInterval has passed
// since the last report.
func (writer *Writer) run(output io.Writer) {
	var reportedAt time.Time
	var batch []byte
	for {
		select {
		case line := <-writer.lines:
			batch = writer.appendQueued(append(batch[:0], line...))
			_, _ = output.Write(batch)
			if writer.droppedLines.Load() > 0 && time.Since(reportedAt) >= dropReportInterval {
				reportedAt = time.Now()
				writer.reportDrops(output)
			}
		case done := <-writer.flushRequests:
			for len(writer.lines) > 0 {
				batch = writer.appendQueued(batch[:0])
				_, _ = output.Write(batch)
			}
			close(done)
		}
	}
}

// appendQueued appends the lines that are queued now to batch, until that has
// maxBatchBytes.
func (writer *Writer) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-writer.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// reportDrops writes one line with the number of lines dropped since the last
// report, and resets the number.
func (writer *Writer) reportDrops(output io.Writer) {
	count := writer.droppedLines.Swap(0)
	entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), LoggerName: PartProcess, Message: "log lines dropped; the reader of the log is too slow"}
	buffer, err := newEncoder().EncodeEntry(entry, []zapcore.Field{{Key: "count", Type: zapcore.Int64Type, Integer: count}})
	if err != nil {
		return
	}
	_, _ = output.Write(buffer.Bytes())
	buffer.Free()
}
