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

// stuckOutput takes nothing until it is released.
type stuckOutput struct {
	released chan struct{}
	mutex    sync.Mutex
	text     strings.Builder
}

func (stuckoutput *stuckOutput) Write(line []byte) (int, error) {
	<-stuckoutput.released
	stuckoutput.mutex.Lock()
	defer stuckoutput.mutex.Unlock()
	return stuckoutput.text.Write(line)
}

func (stuckoutput *stuckOutput) String() string {
	stuckoutput.mutex.Lock()
	defer stuckoutput.mutex.Unlock()
	return stuckoutput.text.String()
}

// TestWriterNeverBlocks logs to a reader that stands still: the one that logs
// goes on at once, and the log says afterwards how many lines it lacks.
func TestWriterNeverBlocks(t *testing.T) {
	output := &stuckOutput{released: make(chan struct{})}
	writer := log.NewWriter(output)
	const lines = 5_000
	start := time.Now()
	for number := range lines {
		_, err := fmt.Fprintf(writer, "line %d\n", number)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < time.Second)
	dropped := writer.Dropped()
	assert.Assert(t, dropped > 0)
	close(output.released)
	assert.NilError(t, writer.Sync())
	written := output.String()
	assert.Equal(t, strings.Count(written, "line "), lines-int(dropped))
	assert.Assert(t, strings.Contains(written, fmt.Sprintf(`"count":%d`, dropped)))
}
