// Package timeline finds what the logs of one or more instances say of a
// request, and what became of it.
package timeline

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/trace"
)

// mostLineBytes is the longest line that is read.
const mostLineBytes = 1 << 20

// answeredMessage is the message of the line that ends a request.
const answeredMessage = "request answered"

// Line is one log line about a request.
type Line struct {
	Instance string        `json:"instance"`
	Message  string        `json:"msg"`
	Request  string        `json:"request"`
	After    time.Duration `json:"-"`
	Shard    string        `json:"shard"`
	Peer     string        `json:"peer"`
	Detail   string        `json:"detail"`
	Outcome  string        `json:"outcome"`
	Reason   string        `json:"reason"`
	IsLate   bool          `json:"isLate"`
	Included int           `json:"included"`
	Selected int           `json:"selected"`
	// AfterSeconds and TookSeconds are as the log writes them.
	AfterSeconds float64 `json:"after"`
	TookSeconds  float64 `json:"took"`
}

// Timeline is all that was logged of one request.
type Timeline struct {
	RequestID string
	// Decisions holds the lines in the order of the request's own time.
	Decisions []Line
	// Answer is the line that ended the request; nil where none was logged.
	Answer *Line
}

// Read adds the lines about request that a log holds. What stands before a
// line's JSON object is passed over, as are lines without one.
func (timeline *Timeline) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, mostLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(timeline.RequestID)) {
			continue
		}
		var line Line
		if err := json.Unmarshal(text[start:], &line); err != nil || line.Request != timeline.RequestID {
			continue
		}
		timeline.add(line)
	}
	return errors.Wrap(scanner.Err(), "read log")
}

func (timeline *Timeline) add(line Line) {
	line.After = time.Duration(line.AfterSeconds * float64(time.Second))
	if line.Message == answeredMessage {
		line.After = time.Duration(line.TookSeconds * float64(time.Second))
		timeline.Answer = &line
		return
	}
	timeline.Decisions = append(timeline.Decisions, line)
}

// Cause says in one sentence why the request ended as it did.
func (timeline *Timeline) Cause() string {
	if timeline.Answer == nil {
		return "no answer was logged: it was answered in time, beyond the bound of the log, or the process ended"
	}
	answer := timeline.Answer
	switch {
	case answer.Outcome == "done" && !answer.IsLate:
		return "answered in time"
	case answer.Outcome == "done":
		return "late: " + timeline.slowest()
	case answer.Reason != "":
		return answer.Reason + "; " + timeline.losses()
	}
	return timeline.losses()
}

// slowest names the last decision before the answer.
func (timeline *Timeline) slowest() string {
	last := timeline.last(trace.AnswerIncomplete, trace.AttemptHedged, trace.AttemptRetried, trace.HomeFailed, trace.ShardOmitted)
	if last == nil {
		return "no attempt was repeated; the replica itself took the time"
	}
	return fmt.Sprintf("%s at %s, %s", last.Message, last.After.Round(time.Microsecond), strings.TrimSpace(last.Shard+" "+last.Peer+" "+last.Detail))
}

func (timeline *Timeline) last(kinds ...trace.Kind) *Line {
	for index := len(timeline.Decisions) - 1; index >= 0; index-- {
		if slices.Contains(kinds, trace.Kind(timeline.Decisions[index].Message)) {
			return &timeline.Decisions[index]
		}
	}
	return nil
}

// losses counts why attempts failed and shards were given up.
func (timeline *Timeline) losses() string {
	counts := make(map[string]int)
	for _, line := range timeline.Decisions {
		switch trace.Kind(line.Message) {
		case trace.AttemptFailed, trace.ShardOmitted, trace.HomeFailed, trace.RetryBudgetExhausted, trace.RequestRefused:
			counts[strings.TrimSpace(line.Message+" "+generalize(line))]++
		}
	}
	var texts []string
	for _, text := range slices.Sorted(maps.Keys(counts)) {
		texts = append(texts, fmt.Sprintf("%d × %s", counts[text], text))
	}
	if len(texts) == 0 {
		return "no attempt failed"
	}
	return strings.Join(texts, ", ")
}

// generalize drops the addresses from a line's detail, so that like ones are
// counted together.
func generalize(line Line) string {
	words := strings.Fields(line.Detail)
	words = slices.DeleteFunc(words, func(word string) bool { return strings.Contains(word, ":") && strings.Contains(word, ".") })
	return strings.Join(words, " ")
}

// Write prints the timeline.
func (timeline *Timeline) Write(writer io.Writer) {
	slices.SortStableFunc(timeline.Decisions, func(a, b Line) int { return cmp.Compare(a.After, b.After) })
	fmt.Fprintf(writer, "request %s\n", timeline.RequestID)
	for _, line := range timeline.Decisions {
		fmt.Fprintf(writer, "%12s  %-20s %s\n", line.After.Round(time.Microsecond), line.Instance, describe(line))
	}
	if answer := timeline.Answer; answer != nil {
		fmt.Fprintf(writer, "%12s  %-20s answered: %s, %d of %d shards\n", answer.After.Round(time.Microsecond), answer.Instance, answer.Outcome, answer.Included, answer.Selected)
	}
	fmt.Fprintf(writer, "cause: %s\n", timeline.Cause())
}

func describe(line Line) string {
	return strings.Join(slices.DeleteFunc([]string{line.Message, line.Shard, line.Peer, line.Detail}, func(text string) bool { return text == "" }), " ")
}
