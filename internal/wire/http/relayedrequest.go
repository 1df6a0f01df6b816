package http

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/wire/tcp"
)

// TooLargeError reports a request body that exceeds the limit.
type TooLargeError struct {
	// MaxBytes is the largest size that is accepted.
	MaxBytes int64
}

// Error returns a message with the limit.
func (toolargeerror *TooLargeError) Error() string {
	return "read request of caller: body over " + strconv.FormatInt(toolargeerror.MaxBytes, 10) + " bytes"
}

// DecodeRelayedRequest reads a request that is relayed to replicas. It returns an
// *api.InvalidError if the header names.Identity is missing, and a *TooLargeError
// if the body has more than maxBytes bytes. The deadline is 0 if the caller states
// none or an invalid one.
func DecodeRelayedRequest(names *HeaderNames, request *http.Request, maxBytes int64) (*api.RelayedRequest, error) {
	identity := request.Header.Get(names.Identity)
	if identity == "" {
		return nil, &api.InvalidError{Field: names.Identity, Allowed: "the caller's own name of the request"}
	}
	body, err := readRequestBody(request, maxBytes)
	if err != nil {
		return nil, err
	}
	path, _, _ := strings.Cut(request.RequestURI, "?")
	millis, err := strconv.ParseInt(request.Header.Get(names.Deadline), 10, 64)
	if err != nil || millis < 0 {
		millis = 0
	}
	return &api.RelayedRequest{
		Identity:      identity,
		Method:        request.Method,
		Host:          request.Host,
		Path:          path,
		RequestTarget: request.RequestURI,
		Header:        encodeHeaderLines(names, request.Header),
		Body:          body,
		Deadline:      min(time.Duration(millis)*time.Millisecond, api.MaxDeadline),
	}, nil
}

// readRequestBody reads the body of a request of at most maxBytes.
func readRequestBody(request *http.Request, maxBytes int64) ([]byte, error) {
	if request.ContentLength > maxBytes {
		return nil, &TooLargeError{MaxBytes: maxBytes}
	}
	body, err := readGrowing(request.Body, request.ContentLength, maxBytes)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read request of caller")
	case int64(len(body)) > maxBytes:
		return nil, &TooLargeError{MaxBytes: maxBytes}
	}
	return body, nil
}

// refuseUnread returns the status with which a request is refused because of err, an error
// of reading it, and whether there is one: 408 if the caller took too long, and 503 if there
// is no memory for the request. Both promise that the request was not run.
func refuseUnread(err error) (int, bool) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, true
	case errors.Is(err, caller.ErrNoMemory):
		return http.StatusServiceUnavailable, true
	}
	return 0, false
}

// Reasons and the wait of refusals of requests that were not read to their end.
const (
	reasonUnread     = "the request was not read to its end"
	unreadRetryAfter = time.Second
)

// WriteRelayedInvalid answers a relayed request that could not be decoded because of err,
// and closes the connection if the request was not read to its end. It writes nothing if
// the caller has closed the connection.
func WriteRelayedInvalid(writer http.ResponseWriter, request *http.Request, err error) {
	var tooLarge *TooLargeError
	var invalid *api.InvalidError
	status, isUnread := refuseUnread(err)
	switch {
	case isUnread:
		writer.Header().Set("Connection", "close")
		WriteRelayedRefusal(writer, status, reasonUnread, unreadRetryAfter)
	case errors.As(err, &tooLarge):
		tcp.FromContext(request.Context()).Discard()
		writer.Header().Set("Connection", "close")
		WriteRelayedRefusal(writer, http.StatusRequestEntityTooLarge, err.Error(), 0)
	case errors.As(err, &invalid):
		WriteRelayedRefusal(writer, http.StatusBadRequest, err.Error(), 0)
	case request.Context().Err() == nil:
		WriteRelayedRefusal(writer, http.StatusBadRequest, "the body could not be read", 0)
	}
}

// WriteRelayedAnswer writes the answer to a relayed request. It writes a replica's
// response if the request is done or the response has an error status, and the
// merged records if the request is done without a single response. Otherwise it
// writes a refusal: status 503 if it is proven that no replica ran the request, 504
// if the deadline passed, and 502 in all other cases.
func WriteRelayedAnswer(names *HeaderNames, writer http.ResponseWriter, answer api.Answer) {
	isReplicaError := answer.Response != nil && answer.Response.StatusCode >= http.StatusBadRequest
	switch {
	case answer.Outcome == api.OutcomeDone && answer.Response != nil, isReplicaError:
		writeResponse(writer, answer.Response)
	case answer.Outcome == api.OutcomeDone:
		writeRecords(names, writer, answer)
	case answer.IsProvenNotRun:
		WriteRelayedRefusal(writer, http.StatusServiceUnavailable, answer.Reason, answer.RetryAfter)
	case answer.IsDeadlineExceeded:
		WriteRelayedRefusal(writer, http.StatusGatewayTimeout, answer.Reason, 0)
	default:
		WriteRelayedRefusal(writer, http.StatusBadGateway, answer.Reason, 0)
	}
}

// writeResponse writes a replica's response with its end-to-end headers. It adds
// no Content-Type if the replica sent none.
func writeResponse(writer http.ResponseWriter, response *api.Response) {
	header := writer.Header()
	for name, values := range EndToEndHeaders(response.Header) {
		header[name] = values
	}
	if _, isSet := header["Content-Type"]; !isSet {
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	writer.WriteHeader(response.StatusCode)
	_, _ = writer.Write(response.Body)
}

// writeRecords writes the merged records of several replicas, with the signatures
// of their parts and the number of missing shards.
func writeRecords(names *HeaderNames, writer http.ResponseWriter, answer api.Answer) {
	header := writer.Header()
	header.Set(names.PartSignatures, strings.Join(answer.Signatures, ", "))
	header.Set(names.MissingParts, strconv.Itoa(answer.Coverage.SelectedCount-answer.Coverage.IncludedCount))
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(answer.Records)))
	_, _ = writer.Write(answer.Records)
}

// WriteRelayedRefusal writes reason as a plain text response. If retryAfter is
// positive, it also sets the Retry-After header, in seconds with three decimals.
func WriteRelayedRefusal(writer http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	header := writer.Header()
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(reason)+1))
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, reason+"\n")
}
