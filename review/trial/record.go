package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, and keeps what the judges
// need. It is safe for concurrent use.
type record struct {
	mutex  sync.Mutex
	file   *os.File
	writer *bufio.Writer
	start  time.Time
	// runs holds, by request id, the replicas that began to work on the request.
	runs map[string][]string
	// answers holds, by request id, the status that the caller received.
	answers map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), start: time.Now(), runs: make(map[string][]string), answers: make(map[string]int)}, nil
}

// line writes one line with the time since the start.
func (record *record) line(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.write(format, values...)
}

// write is line for callers that hold the mutex.
func (record *record) write(format string, values ...any) {
	fmt.Fprintf(record.writer, "%9.3f ", time.Since(record.start).Seconds())
	fmt.Fprintf(record.writer, format+"\n", values...)
}

// run records that a replica began to work on a request.
func (record *record) run(id, replica string) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.runs[id] = append(record.runs[id], replica)
	record.write("run %s at %s", id, replica)
}

// answer records what a caller received.
func (record *record) answer(id string, status int, detail string) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.answers[id] = status
	record.write("answered %s %d %s", id, status, detail)
}

// verdict writes a line to the file and to standard output.
func (record *record) verdict(format string, values ...any) {
	record.line(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (record *record) close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_ = record.writer.Flush()
	_ = record.file.Close()
}
