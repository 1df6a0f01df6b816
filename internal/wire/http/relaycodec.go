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

// hopByHopHeaders lists the headers that are not forwarded: those that apply to one
// connection only, and Content-Length and Host, which are written separately.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// EndToEndHeaders returns the headers of header that are forwarded. It shares the
// values with header.
func EndToEndHeaders(header http.Header) http.Header {
	endToEnd := make(http.Header, len(header))
	listed := connectionHeaders(header)
	for name, values := range header {
		if !slices.Contains(hopByHopHeaders, name) && !slices.Contains(listed, name) {
			endToEnd[name] = values
		}
	}
	return endToEnd
}

// connectionHeaders returns the canonical names of the headers that the
// Connection header lists.
func connectionHeaders(header http.Header) []string {
	var listed []string
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			listed = append(listed, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return listed
}

// typicalHeadBytes is the space reserved for the request line and for the headers
// that an attempt adds. It suffices for a typical request.
const typicalHeadBytes = 320

// encodeRelayedRequest encodes the caller's request as it is sent to one replica. A long
// body is not copied: all attempts of a request share it.
func encodeRelayedRequest(names *HeaderNames, attempt api.Attempt) encodedRequest {
	relayed := attempt.RelayedRequest
	isLong := len(relayed.Body) > maxInlineWriteBytes
	size := typicalHeadBytes + len(relayed.Header)
	if !isLong {
		size += len(relayed.Body)
	}
	buffer := make([]byte, 0, size)
	buffer = append(buffer, relayed.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, relayed.RequestTarget...)
	buffer = append(buffer, " HTTP/1.1\r\n"...)
	buffer = appendHeaderLine(buffer, "Host", relayed.Host)
	buffer = append(buffer, relayed.Header...)
	buffer = appendHeaderLine(buffer, names.Deadline, remainingMillis(attempt))
	if attempt.Replica != "" {
		buffer = appendHeaderLine(buffer, names.Replica, attempt.Replica)
	}
	if len(relayed.Body) > 0 || mayHaveBody(relayed.Method) {
		buffer = appendHeaderLine(buffer, "Content-Length", strconv.Itoa(len(relayed.Body)))
	}
	buffer = append(buffer, "\r\n"...)
	request := encodedRequest{method: relayed.Method, identity: relayed.Identity, identityHeader: names.Identity, responderHeader: names.Responder}
	if isLong {
		request.encoded, request.longBody = buffer, relayed.Body
		return request
	}
	request.encoded = append(buffer, relayed.Body...)
	return request
}

// encodeHeaderLines encodes the end-to-end headers of a caller's request, sorted
// by name, except those that each attempt sets itself.
func encodeHeaderLines(names *HeaderNames, header http.Header) []byte {
	endToEnd := EndToEndHeaders(header)
	delete(endToEnd, names.Deadline)
	delete(endToEnd, names.Replica)
	var lines []byte
	for _, name := range slices.Sorted(maps.Keys(endToEnd)) {
		for _, value := range endToEnd[name] {
			lines = appendHeaderLine(lines, name, value)
		}
	}
	return lines
}

func appendHeaderLine(buffer []byte, name, value string) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = append(buffer, value...)
	return append(buffer, "\r\n"...)
}

func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// decodeRelayedResponse derives the reply to an attempt from a replica's response.
// A response counts as done only if its status is 2xx, it has the replica's
// signature and its body has no content encoding.
func decodeRelayedResponse(names *HeaderNames, attempt api.Attempt, response *api.Response) api.Reply {
	header := http.Header(response.Header)
	reply := api.Reply{
		Identity:     attempt.Identity,
		Snapshot:     attempt.Snapshot,
		Epoch:        attempt.Epoch,
		IsLeaving:    header.Get(names.Leaving) != "",
		RetryAfter:   retryAfterOf(response.StatusCode, header),
		ColdTimeLeft: parseColdTime(header.Get(names.Cold)),
		Signature:    header.Get(names.Signature),
		Body:         response.Body,
		Response:     response,
		Status:       api.ReplyFailed,
	}
	decodeLoad(header.Get(names.Load), &reply)
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		reply.Status = api.ReplyWrongReplica
	case header.Get(names.NotRun) != "":
		reply.Status = api.ReplyShed
	case isSuccess(response.StatusCode) && reply.Signature != "" && header.Get("Content-Encoding") == "":
		reply.Status = api.ReplyDone
	}
	return reply
}

// isSuccess reports whether status is 2xx.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// Positions of the comma-separated integers in the load header.
const (
	loadRunning = iota
	loadQueued
	loadSlots
	// loadSlowdownPercent is the position of the current processing time as a
	// percentage of the usual one.
	loadSlowdownPercent
	loadFieldCount
)

// decodeLoad parses the load header into reply. The numbers of running and queued
// requests are required, the slots and the slowdown are optional. A header that
// is invalid leaves reply unchanged.
func decodeLoad(text string, reply *api.Reply) {
	var fields [loadFieldCount]int
	count := 0
	for item := range strings.SplitSeq(text, ",") {
		field, err := strconv.Atoi(strings.TrimSpace(item))
		if err != nil || count == loadFieldCount {
			return
		}
		fields[count] = field
		count++
	}
	if count < loadSlots {
		return
	}
	reply.IsLoadKnown = true
	reply.Load = fields[loadRunning] + fields[loadQueued]
	if fields[loadSlowdownPercent] > 0 {
		reply.Slowdown = float64(fields[loadSlowdownPercent]) / 100
	}
}
