// Package http encodes and decodes the HTTP messages that the system exchanges
// with callers, operators, upstreams and the platform, and holds the clients
// that send them.
package http

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// queryBody is the JSON body of a query.
type queryBody struct {
	Kind           string `json:"kind"`
	Text           string `json:"text"`
	DeadlineMillis *int64 `json:"deadlineMillis"`
}

// commandBody is the JSON body of a command.
type commandBody struct {
	Kind           string          `json:"kind"`
	Shard          string          `json:"shard"`
	Key            string          `json:"key"`
	Body           json.RawMessage `json:"body"`
	DeadlineMillis *int64          `json:"deadlineMillis"`
}

// refusalBody is the JSON body of a response that refuses a request.
type refusalBody struct {
	Outcome          api.Outcome `json:"outcome"`
	Reason           string      `json:"reason"`
	Field            string      `json:"field,omitempty"`
	RetryAfterMillis int64       `json:"retryAfterMillis,omitempty"`
}

// DecodeQuery decodes a query for scope from the body of request. It returns an
// *api.InvalidError if the body or the deadline is invalid.
func DecodeQuery(scope string, request *http.Request) (api.Query, error) {
	body, err := decodeBody[queryBody](request.Body)
	if err != nil {
		return api.Query{}, err
	}
	deadline, err := decodeDeadline(body.DeadlineMillis)
	if err != nil {
		return api.Query{}, err
	}
	return api.Query{Scope: scope, Kind: body.Kind, Text: body.Text, Deadline: deadline}, nil
}

// DecodeCommand decodes a command for scope from the body of request. It returns
// an *api.InvalidError if the body or the deadline is invalid.
func DecodeCommand(scope string, request *http.Request) (api.Command, error) {
	body, err := decodeBody[commandBody](request.Body)
	if err != nil {
		return api.Command{}, err
	}
	deadline, err := decodeDeadline(body.DeadlineMillis)
	if err != nil {
		return api.Command{}, err
	}
	return api.Command{
		Scope:    scope,
		Kind:     body.Kind,
		Shard:    body.Shard,
		Key:      body.Key,
		Body:     body.Body,
		Deadline: deadline,
	}, nil
}

// EncodeQuery returns the JSON body with which a caller sends query.
func EncodeQuery(query api.Query) ([]byte, error) {
	millis := query.Deadline.Milliseconds()
	return json.Marshal(queryBody{Kind: query.Kind, Text: query.Text, DeadlineMillis: &millis})
}

// EncodeCommand returns the JSON body with which a caller sends command.
func EncodeCommand(command api.Command) ([]byte, error) {
	millis := command.Deadline.Milliseconds()
	return json.Marshal(commandBody{
		Kind:           command.Kind,
		Shard:          command.Shard,
		Key:            command.Key,
		Body:           command.Body,
		DeadlineMillis: &millis,
	})
}

// decodeBody decodes a JSON body of at most api.MaxRequestBytes.
func decodeBody[B any](reader io.Reader) (B, error) {
	var body B
	encoded, err := io.ReadAll(io.LimitReader(reader, api.MaxRequestBytes+1))
	if err != nil {
		return body, errors.Wrap(err, "read request of caller")
	}
	if len(encoded) > api.MaxRequestBytes {
		return body, &api.InvalidError{Field: "body", Value: "too large", Allowed: strconv.Itoa(api.MaxRequestBytes) + " bytes"}
	}
	if err := json.Unmarshal(encoded, &body); err != nil {
		return body, &api.InvalidError{Field: "body", Value: err.Error(), Allowed: "a JSON object of the documented fields"}
	}
	return body, nil
}

// decodeDeadline converts a deadline in milliseconds. The deadline is required;
// it must be at least 1 ms and at most api.MaxDeadline.
func decodeDeadline(millis *int64) (time.Duration, error) {
	maxMillis := api.MaxDeadline.Milliseconds()
	if millis == nil || *millis <= 0 || *millis > maxMillis {
		value := ""
		if millis != nil {
			value = strconv.FormatInt(*millis, 10)
		}
		return 0, &api.InvalidError{Field: "deadlineMillis", Value: value, Allowed: "1 to " + strconv.FormatInt(maxMillis, 10)}
	}
	return time.Duration(*millis) * time.Millisecond, nil
}

// WriteAnswer writes the answer to a query: status 200 if it is done, 429 if the
// query was not run, and 504 otherwise.
func WriteAnswer(writer http.ResponseWriter, answer api.Answer) {
	switch answer.Outcome {
	case api.OutcomeDone:
		WriteJSON(writer, http.StatusOK, answer)
	case api.OutcomeNotRun:
		WriteRefusal(writer, http.StatusTooManyRequests, answer.Reason, answer.RetryAfter)
	default:
		WriteJSON(writer, http.StatusGatewayTimeout, answer)
	}
}

// WriteResult writes the result of a command: status 200 if it is done, 400 if
// the command is invalid, 503 if it was not run, and 504 otherwise.
func WriteResult(writer http.ResponseWriter, result api.Result) {
	switch {
	case result.Outcome == api.OutcomeDone:
		WriteJSON(writer, http.StatusOK, result)
	case result.IsInvalid:
		writeInvalid(writer, result.Field, result.Reason)
	case result.Outcome == api.OutcomeNotRun:
		WriteRefusal(writer, http.StatusServiceUnavailable, result.Reason, result.RetryAfter)
	default:
		WriteJSON(writer, http.StatusGatewayTimeout, result)
	}
}

// WriteRefusal writes the refusal of a request that no replica ran. If
// retryAfter is positive, it also sets the Retry-After header, rounded up to
// whole seconds.
func WriteRefusal(writer http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	if retryAfter > 0 {
		seconds := int(math.Ceil(retryAfter.Seconds()))
		writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	WriteJSON(writer, status, refusalBody{
		Outcome:          api.OutcomeNotRun,
		Reason:           reason,
		RetryAfterMillis: retryAfter.Milliseconds(),
	})
}

// WriteInvalid writes status 400 with the cause. The response names the invalid
// field if err is an *api.InvalidError, and the body otherwise. A request that was not
// read to its end because of a limit of the instance is refused with status 408 or 503.
func WriteInvalid(writer http.ResponseWriter, err error) {
	if status, isUnread := refuseUnread(err); isUnread {
		writer.Header().Set("Connection", "close")
		WriteRefusal(writer, status, reasonUnread, unreadRetryAfter)
		return
	}
	var invalid *api.InvalidError
	if errors.As(err, &invalid) {
		writeInvalid(writer, invalid.Field, invalid.Error())
		return
	}
	writeInvalid(writer, "body", err.Error())
}

func writeInvalid(writer http.ResponseWriter, field, reason string) {
	WriteJSON(writer, http.StatusBadRequest, refusalBody{Outcome: api.OutcomeNotRun, Reason: reason, Field: field})
}

// WriteJSON writes value as JSON. It sets Content-Length so that the receiver
// detects a truncated body.
func WriteJSON(writer http.ResponseWriter, status int, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded)
}
