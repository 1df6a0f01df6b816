package http

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// TooLargeError reports a body over the limit.
type TooLargeError struct {
	// MaxBytes is the limit in bytes.
	MaxBytes int64
}

// Error names the limit.
func (toolargeerror *TooLargeError) Error() string {
	return "read request of caller: body over " + strconv.FormatInt(toolargeerror.MaxBytes, 10) + " bytes"
}

// DecodeRelayedRequest reads a request of a caller's own form whole, with a body of
// at most so many bytes.
func DecodeRelayedRequest(names *HeaderNames, request *http.Request, most int64) (*api.RelayedRequest, error) {
	identity := request.Header.Get(names.Identity)
	if identity == "" {
		return nil, &api.InvalidError{Field: names.Identity, Allowed: "the caller's own name of the request"}
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, most+1))
	if err != nil {
		return nil, errors.Wrap(err, "read request of caller")
	}
	if int64(len(body)) > most {
		return nil, &TooLargeError{MaxBytes: most}
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
		Header:        encodeHeader(names, request.Header),
		Body:          body,
		Deadline:      min(time.Duration(millis)*time.Millisecond, api.MaxDeadline),
	}, nil
}

// WriteRelayedAnswer writes the answer to a request of a caller's own form.
func WriteRelayedAnswer(names *HeaderNames, writer http.ResponseWriter, answer api.Answer) {
	isOwnFailure := answer.Response != nil && answer.Response.StatusCode >= http.StatusBadRequest
	switch {
	case answer.Outcome == api.OutcomeDone && answer.Response != nil, isOwnFailure:
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

// writeResponse writes a replica's answer as it came.
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

func writeRecords(names *HeaderNames, writer http.ResponseWriter, answer api.Answer) {
	header := writer.Header()
	header.Set(names.PartSignatures, strings.Join(answer.Signatures, ", "))
	header.Set(names.MissingParts, strconv.Itoa(answer.Coverage.SelectedShards-answer.Coverage.IncludedShards))
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(answer.Records)))
	_, _ = writer.Write(answer.Records)
}

// WriteRelayedRefusal writes an answer of the system's own, and when to come back.
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
