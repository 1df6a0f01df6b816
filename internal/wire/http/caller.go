// Package http encodes what callers, operators, upstreams and the platform
// exchange with the system over HTTP.
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

// refusalBody is the JSON body of every answer that refuses a request.
type refusalBody struct {
	Outcome          api.Outcome `json:"outcome"`
	Reason           string      `json:"reason"`
	Field            string      `json:"field,omitempty"`
	RetryAfterMillis int64       `json:"retryAfterMillis,omitempty"`
}

// DecodeQuery reads a query for scope from the body of request.
func DecodeQuery(scope string, request *http.Request) (api.Query, error) {
	body, err := decode[queryBody](request.Body)
	if err != nil {
		return api.Query{}, err
	}
	deadline, err := decodeDeadline(body.DeadlineMillis)
	if err != nil {
		return api.Query{}, err
	}
	return api.Query{Scope: scope, Kind: body.Kind, Text: body.Text, Deadline: deadline}, nil
}

// DecodeCommand reads a command for scope from the body of request.
func DecodeCommand(scope string, request *http.Request) (api.Command, error) {
	body, err := decode[commandBody](request.Body)
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

// EncodeQuery writes query as a caller sends it.
func EncodeQuery(query api.Query) ([]byte, error) {
	millis := query.Deadline.Milliseconds()
	return json.Marshal(queryBody{Kind: query.Kind, Text: query.Text, DeadlineMillis: &millis})
}

// EncodeCommand writes command as a caller sends it.
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

func decode[B any](reader io.Reader) (B, error) {
	var body B
	text, err := io.ReadAll(io.LimitReader(reader, api.MaxRequestBytes+1))
	if err != nil {
		return body, errors.Wrap(err, "read request of caller")
	}
	if len(text) > api.MaxRequestBytes {
		return body, &api.InvalidError{Field: "body", Value: "too large", Allowed: strconv.Itoa(api.MaxRequestBytes) + " bytes"}
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return body, &api.InvalidError{Field: "body", Value: err.Error(), Allowed: "a JSON object of the documented fields"}
	}
	return body, nil
}

func decodeDeadline(millis *int64) (time.Duration, error) {
	most := api.MaxDeadline.Milliseconds()
	if millis == nil || *millis <= 0 || *millis > most {
		value := ""
		if millis != nil {
			value = strconv.FormatInt(*millis, 10)
		}
		return 0, &api.InvalidError{Field: "deadlineMillis", Value: value, Allowed: "1 to " + strconv.FormatInt(most, 10)}
	}
	return time.Duration(*millis) * time.Millisecond, nil
}

// WriteAnswer writes the answer to a query.
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

// WriteResult writes the reply to a command.
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

// WriteRefusal refuses a request that ran nowhere.
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

// WriteInvalid refuses a request whose input is at fault.
func WriteInvalid(writer http.ResponseWriter, err error) {
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

// WriteJSON writes value with its length, so that a cut body is noticed.
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
