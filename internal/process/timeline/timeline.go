// Package timeline reconstructs from the logs of one or more instances how a
// request was processed and why it ended as it did.
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

// maxLineBytes is the length of the longest log line that can be read.
const maxLineBytes = 1 << 20

// answeredMessage is the message of the line that an instance logs when it has
// answered a request.
const answeredMessage = "request answered"

// Line is one log line about a request.
type Line struct {
	Instance  string `json:"instance"`
	Message   string `json:"msg"`
	RequestID string `json:"request"`
	// Elapsed is the time since the request arrived, from ElapsedSeconds or
	// TotalSeconds.
	Elapsed time.Duration `json:"-"`
	Shard   string        `json:"shard"`
	// Peer names the replica or instance that the decision is about.
	Peer   string `json:"peer"`
	Detail string `json:"detail"`
	// Outcome and Reason are those of the answer; lines about decisions do not have
	// them.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	// IsLate is set if the answer took longer than the scope's target latency.
	IsLate bool `json:"isLate"`
	// IncludedShards and SelectedShards are the numbers of shards that the answer
	// contains and that the query selected.
	IncludedShards int `json:"included"`
	SelectedShards int `json:"selected"`
	// ElapsedSeconds is the time since the request arrived; lines about decisions
	// have it.
	ElapsedSeconds float64 `json:"after"`
	// TotalSeconds is the time from the request's arrival to its answer; the line
	// about the answer has it.
	TotalSeconds float64 `json:"took"`
}

// Timeline holds all that was logged about one request.
type Timeline struct {
	RequestID string
	// Decisions holds the lines about decisions, in the order in which they were
	// read; Write sorts them by Elapsed.
	Decisions []Line
	// Answer is the line about the request's answer; nil if none was logged.
	Answer *Line
}

// Read adds the lines of a log that are about the request. It ignores text before
// the JSON object of a line, and lines without a JSON object. It returns an error
// if the log cannot be read or has a line longer than maxLineBytes.
func (timeline *Timeline) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(timeline.RequestID)) {
			continue
		}
		var line Line
		if err := json.Unmarshal(text[start:], &line); err != nil || line.RequestID != timeline.RequestID {
			continue
		}
		timeline.add(line)
	}
	return errors.Wrap(scanner.Err(), "read log")
}

// add stores line as the answer or as a decision and sets its Elapsed.
func (timeline *Timeline) add(line Line) {
	line.Elapsed = time.Duration(line.ElapsedSeconds * float64(time.Second))
	if line.Message == answeredMessage {
		line.Elapsed = time.Duration(line.TotalSeconds * float64(time.Second))
		timeline.Answer = &line
		return
	}
	timeline.Decisions = append(timeline.Decisions, line)
}

// Cause explains in one sentence why the request ended as it did. It reads the
// decisions in their present order; Write sorts them first.
func (timeline *Timeline) Cause() string {
	if timeline.Answer == nil {
		return "no answer was logged: the request was answered in time, the log's rate limit was exceeded, or the process ended"
	}
	answer := timeline.Answer
	switch {
	case answer.Outcome == "done" && !answer.IsLate:
		return "answered in time"
	case answer.Outcome == "done":
		return "late: " + timeline.describeDelay()
	case answer.Reason != "":
		return answer.Reason + "; " + timeline.summarizeFailures()
	}
	return timeline.summarizeFailures()
}

// describeDelay describes the last decision that can have delayed a late answer.
func (timeline *Timeline) describeDelay() string {
	last := timeline.lastDecision(trace.AnswerIncomplete, trace.AttemptHedged, trace.AttemptRetried, trace.HomeFailed, trace.ShardOmitted)
	if last == nil {
		return "no attempt was hedged or retried; the replica itself was slow"
	}
	return fmt.Sprintf("%s at %s, %s", last.Message, last.Elapsed.Round(time.Microsecond), strings.TrimSpace(last.Shard+" "+last.Peer+" "+last.Detail))
}

// lastDecision returns the last decision of one of the given kinds, or nil.
func (timeline *Timeline) lastDecision(kinds ...trace.Kind) *Line {
	for index := len(timeline.Decisions) - 1; index >= 0; index-- {
		if slices.Contains(kinds, trace.Kind(timeline.Decisions[index].Message)) {
			return &timeline.Decisions[index]
		}
	}
	return nil
}

// summarizeFailures counts the failures and refusals of each kind and lists them.
func (timeline *Timeline) summarizeFailures() string {
	counts := make(map[string]int)
	for _, line := range timeline.Decisions {
		switch trace.Kind(line.Message) {
		case trace.AttemptFailed, trace.ShardOmitted, trace.HomeFailed, trace.RetryBudgetExhausted, trace.RequestRefused:
			counts[strings.TrimSpace(line.Message+" "+detailWithoutAddresses(line))]++
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

// detailWithoutAddresses returns the detail of line without the words that look
// like an address with a port, so that the same failure at several replicas is
// counted as one kind.
func detailWithoutAddresses(line Line) string {
	words := strings.Fields(line.Detail)
	words = slices.DeleteFunc(words, func(word string) bool { return strings.Contains(word, ":") && strings.Contains(word, ".") })
	return strings.Join(words, " ")
}

// Write sorts the decisions by Elapsed and prints the timeline and its cause.
func (timeline *Timeline) Write(writer io.Writer) {
	slices.SortStableFunc(timeline.Decisions, func(a, b Line) int { return cmp.Compare(a.Elapsed, b.Elapsed) })
	fmt.Fprintf(writer, "request %s\n", timeline.RequestID)
	for _, line := range timeline.Decisions {
		fmt.Fprintf(writer, "%12s  %-20s %s\n", line.Elapsed.Round(time.Microsecond), line.Instance, describe(line))
	}
	if answer := timeline.Answer; answer != nil {
		fmt.Fprintf(writer, "%12s  %-20s answered: %s, %d of %d shards\n", answer.Elapsed.Round(time.Microsecond), answer.Instance, answer.Outcome, answer.IncludedShards, answer.SelectedShards)
	}
	fmt.Fprintf(writer, "cause: %s\n", timeline.Cause())
}

// describe joins the message, shard, peer and detail of a decision with spaces, and
// leaves out those that are empty.
func describe(line Line) string {
	return strings.Join(slices.DeleteFunc([]string{line.Message, line.Shard, line.Peer, line.Detail}, func(text string) bool { return text == "" }), " ")
}
