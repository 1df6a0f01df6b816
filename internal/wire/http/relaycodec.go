package http

import (
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// EndToEnd returns the headers that are passed on.
func EndToEnd(header http.Header) http.Header {
	passed := make(http.Header, len(header))
	named := connectionHeaders(header)
	for name, values := range header {
		if !slices.Contains(hopHeaders, name) && !slices.Contains(named, name) {
			passed[name] = values
		}
	}
	return passed
}

// connectionHeaders returns the headers that the Connection header names.
func connectionHeaders(header http.Header) []string {
	var named []string
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named = append(named, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return named
}

// headRoom holds the request line and the headers that an attempt adds, in
// bytes, for a usual request.
const headRoom = 320

// encodeRelayed writes the caller's request as it goes to one replica.
func encodeRelayed(names *Names, attempt api.Attempt) relayRequest {
	relayed := attempt.RelayedRequest
	buffer := make([]byte, 0, headRoom+len(relayed.Header)+len(relayed.Body))
	buffer = append(buffer, relayed.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, relayed.RequestTarget...)
	buffer = append(buffer, " HTTP/1.1\r\n"...)
	buffer = appendHeader(buffer, "Host", relayed.Host)
	buffer = append(buffer, relayed.Header...)
	buffer = appendHeader(buffer, names.Deadline, timeLeft(attempt))
	if attempt.Replica != "" {
		buffer = appendHeader(buffer, names.Replica, attempt.Replica)
	}
	if len(relayed.Body) > 0 || mayHaveBody(relayed.Method) {
		buffer = appendHeader(buffer, "Content-Length", strconv.Itoa(len(relayed.Body)))
	}
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, relayed.Body...)
	return relayRequest{method: relayed.Method, identity: relayed.Identity, identityName: names.Identity, bytes: buffer}
}

// encodeHeader writes the end-to-end headers of a caller's request but for
// those that each attempt sets anew.
func encodeHeader(names *Names, header http.Header) []byte {
	passed := EndToEnd(header)
	delete(passed, names.Deadline)
	delete(passed, names.Replica)
	var lines []byte
	for _, name := range slices.Sorted(maps.Keys(passed)) {
		for _, value := range passed[name] {
			lines = appendHeader(lines, name, value)
		}
	}
	return lines
}

func appendHeader(buffer []byte, name, value string) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = append(buffer, value...)
	return append(buffer, "\r\n"...)
}

func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// decodeRelayed reads what a replica's answer says of the attempt. A success
// needs the replica's signature and an unchanged body.
func decodeRelayed(names *Names, attempt api.Attempt, response *api.Response) api.Reply {
	header := http.Header(response.Header)
	reply := api.Reply{
		Identity:  attempt.Identity,
		Snapshot:  attempt.Snapshot,
		Epoch:     attempt.Epoch,
		Signature: header.Get(names.Signature),
		Body:      response.Body,
		Response:  response,
		Status:    api.ReplyFailed,
	}
	decodeLoad(header.Get(names.Load), &reply)
	isSuccess := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		reply.Status = api.ReplyWrongReplica
	case header.Get(names.NotRun) != "":
		reply.Status = api.ReplyShed
	case isSuccess && reply.Signature != "" && header.Get("Content-Encoding") == "":
		reply.Status = api.ReplyDone
	}
	return reply
}

// Figures of the load header, by position.
const (
	figureRunning = iota
	figureQueued
	figureSlots
	// figurePace is a percentage: 100 is the usual.
	figurePace
	loadFigures
)

// decodeLoad reads what a replica says of its load into reply. A header that
// cannot be read says nothing.
func decodeLoad(text string, reply *api.Reply) {
	var figures [loadFigures]int
	count := 0
	for item := range strings.SplitSeq(text, ",") {
		figure, err := strconv.Atoi(strings.TrimSpace(item))
		if err != nil || count == loadFigures {
			return
		}
		figures[count] = figure
		count++
	}
	if count < figureSlots {
		return
	}
	reply.IsLoadKnown = true
	reply.Load = figures[figureRunning] + figures[figureQueued]
	if figures[figurePace] > 0 {
		reply.Slowdown = float64(figures[figurePace]) / 100
	}
}
