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
	// Most is the limit in bytes.
	Most int64
}

// Error names the limit.
func (toolargeerror *TooLargeError) Error() string {
	return "read request of caller: body over " + strconv.FormatInt(toolargeerror.Most, 10) + " bytes"
}

// DecodeRelayed reads a request of a caller's own form whole, with a body of
// at most so many bytes.
func DecodeRelayed(names *Names, request *http.Request, most int64) (*api.RelayedRequest, error) {
	identity := request.Header.Get(names.Identity)
	if identity == "" {
		return nil, &api.InvalidError{Field: names.Identity, Allowed: "the caller's own name of the request"}
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, most+1))
	if err != nil {
		return nil, errors.Wrap(err, "read request of caller")
	}
	if int64(len(body)) > most {
		return nil, &TooLargeError{Most: most}
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

// WriteRelayed writes the answer to a request of a caller's own form.
func WriteRelayed(names *Names, writer http.ResponseWriter, answer api.Answer) {
	isOwnFailure := answer.Response != nil && answer.Response.StatusCode >= http.StatusBadRequest
	switch {
	case answer.Outcome == api.OutcomeDone && answer.Response != nil, isOwnFailure:
		writeResponse(writer, answer.Response)
	case answer.Outcome == api.OutcomeDone:
		writeRecords(names, writer, answer)
	case answer.IsProvenNotRun:
		RefuseRelayed(writer, http.StatusServiceUnavailable, answer.Reason, answer.RetryAfter)
	case answer.IsDeadlineExceeded:
		RefuseRelayed(writer, http.StatusGatewayTimeout, answer.Reason, 0)
	default:
		RefuseRelayed(writer, http.StatusBadGateway, answer.Reason, 0)
	}
}

// writeResponse writes a replica's answer as it came.
func writeResponse(writer http.ResponseWriter, response *api.Response) {
	header := writer.Header()
	for name, values := range EndToEnd(response.Header) {
		header[name] = values
	}
	if _, isSet := header["Content-Type"]; !isSet {
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	writer.WriteHeader(response.StatusCode)
	_, _ = writer.Write(response.Body)
}

func writeRecords(names *Names, writer http.ResponseWriter, answer api.Answer) {
	header := writer.Header()
	header.Set(names.PartSignatures, strings.Join(answer.Signatures, ", "))
	header.Set(names.MissingParts, strconv.Itoa(answer.Coverage.Selected-answer.Coverage.Included))
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(answer.Records)))
	_, _ = writer.Write(answer.Records)
}

// RefuseRelayed writes an answer of the system's own, and when to come back.
func RefuseRelayed(writer http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	header := writer.Header()
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(reason)+1))
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, reason+"\n")
}
