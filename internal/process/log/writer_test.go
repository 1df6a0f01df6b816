package log_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/process/log"
)

// blockedOutput blocks every write until released is closed.
type blockedOutput struct {
	released chan struct{}
	mutex    sync.Mutex
	text     strings.Builder
}

func (blockedoutput *blockedOutput) Write(line []byte) (int, error) {
	<-blockedoutput.released
	blockedoutput.mutex.Lock()
	defer blockedoutput.mutex.Unlock()
	return blockedoutput.text.Write(line)
}

func (blockedoutput *blockedOutput) String() string {
	blockedoutput.mutex.Lock()
	defer blockedoutput.mutex.Unlock()
	return blockedoutput.text.String()
}

// TestWriterNeverBlocks logs to an output that blocks. It checks that logging
// does not wait for the output, and that the log reports afterwards how many lines
// were dropped.
func TestWriterNeverBlocks(t *testing.T) {
	output := &blockedOutput{released: make(chan struct{})}
	writer := log.NewWriter(output)
	const lineCount = 5_000
	start := time.Now()
	for number := range lineCount {
		_, err := fmt.Fprintf(writer, "line %d\n", number)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < time.Second)
	dropped := writer.DroppedLines()
	assert.Assert(t, dropped > 0)
	close(output.released)
	assert.NilError(t, writer.Sync())
	written := output.String()
	assert.Equal(t, strings.Count(written, "line "), lineCount-int(dropped))
	assert.Assert(t, strings.Contains(written, fmt.Sprintf(`"count":%d`, dropped)))
}
