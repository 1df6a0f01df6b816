package http

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// Headers of the requests to upstreams and of their replies.
const (
	headerAttempt       = "Mimosa-Attempt"
	headerKind          = "Mimosa-Kind"
	headerSnapshot      = "Mimosa-Snapshot"
	headerEpoch         = "Mimosa-Shard-Epoch"
	headerDeadline      = "Mimosa-Deadline-Millis"
	headerStatus        = "Mimosa-Status"
	headerHeldSnapshots = "Mimosa-Held-Snapshots"
	headerLeaving       = "Mimosa-Leaving"
	headerLoad          = "Mimosa-Load"
	headerCold          = "Mimosa-Cold-Millis"
)

// MaxReplyBytes is the maximum size of a reply body.
const MaxReplyBytes = 4 << 20

// HealthPath is the path of a replica's health endpoint.
const HealthPath = "/v1/health"

// newUpstreamRequest encodes attempt as an HTTP request to the replica at address.
func newUpstreamRequest(ctx context.Context, address string, attempt api.Attempt) (*http.Request, error) {
	action := "query"
	if attempt.IsCommand {
		action = "command"
	}
	url := "http://" + address + "/v1/shards/" + attempt.Shard + "/" + action
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(attempt.Body))
	if err != nil {
		return nil, err
	}
	header := request.Header
	header.Set(headerAttempt, attempt.Identity)
	header.Set(headerKind, attempt.Kind)
	header.Set(headerSnapshot, strconv.FormatUint(attempt.Snapshot, 10))
	header.Set(headerEpoch, strconv.FormatUint(attempt.Epoch, 10))
	header.Set(headerDeadline, remainingMillis(attempt))
	return request, nil
}

// remainingMillis formats the time until the attempt's deadline in milliseconds.
// It is at least 1.
func remainingMillis(attempt api.Attempt) string {
	return strconv.FormatInt(max(time.Until(attempt.Deadline).Milliseconds(), 1), 10)
}

// DecodeAttempt decodes an attempt that a replica received. It sets Timeout to the
// time that the sender waits. A body beyond MaxReplyBytes is truncated.
func DecodeAttempt(shard string, isCommand bool, request *http.Request) (api.Attempt, error) {
	header := request.Header
	snapshot, err := strconv.ParseUint(header.Get(headerSnapshot), 10, 64)
	if err != nil {
		return api.Attempt{}, errors.Wrap(err, headerSnapshot)
	}
	epoch, err := strconv.ParseUint(header.Get(headerEpoch), 10, 64)
	if err != nil {
		return api.Attempt{}, errors.Wrap(err, headerEpoch)
	}
	millis, err := strconv.ParseInt(header.Get(headerDeadline), 10, 64)
	if err != nil {
		return api.Attempt{}, errors.Wrap(err, headerDeadline)
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, MaxReplyBytes))
	if err != nil {
		return api.Attempt{}, errors.Wrap(err, "read attempt")
	}
	return api.Attempt{
		Identity:  header.Get(headerAttempt),
		Shard:     shard,
		Kind:      header.Get(headerKind),
		IsCommand: isCommand,
		Snapshot:  snapshot,
		Epoch:     epoch,
		Timeout:   time.Duration(millis) * time.Millisecond,
		Body:      body,
	}, nil
}

// replyStatusCodes holds the HTTP status with which each reply status is sent.
var replyStatusCodes = map[api.ReplyStatus]int{
	api.ReplyDone:         http.StatusOK,
	api.ReplyShed:         http.StatusServiceUnavailable,
	api.ReplyLeaving:      http.StatusServiceUnavailable,
	api.ReplyCold:         http.StatusServiceUnavailable,
	api.ReplySnapshotGone: http.StatusConflict,
	api.ReplyMoved:        http.StatusMisdirectedRequest,
	api.ReplyFailed:       http.StatusInternalServerError,
}

// WriteReply writes a replica's reply to an attempt.
func WriteReply(writer http.ResponseWriter, reply api.Reply) {
	header := writer.Header()
	header.Set(headerAttempt, reply.Identity)
	header.Set(headerStatus, string(reply.Status))
	header.Set(headerSnapshot, strconv.FormatUint(reply.Snapshot, 10))
	header.Set(headerEpoch, strconv.FormatUint(reply.Epoch, 10))
	header.Set(headerHeldSnapshots, encodeSnapshots(reply.HeldSnapshots))
	header.Set(headerLoad, strconv.Itoa(reply.Load))
	if reply.IsLeaving {
		header.Set(headerLeaving, "true")
	}
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	writer.WriteHeader(replyStatusCodes[reply.Status])
	_, _ = writer.Write(reply.Body)
}

// encodeSnapshots formats snapshots as a comma-separated list.
func encodeSnapshots(snapshots []uint64) string {
	texts := make([]string, len(snapshots))
	for i, snapshot := range snapshots {
		texts[i] = strconv.FormatUint(snapshot, 10)
	}
	return strings.Join(texts, ",")
}

// decodeReply reads a replica's complete reply, which account counts. A truncated
// body and one beyond MaxReplyBytes are errors.
func decodeReply(response *http.Response, account *caller.ReplyAccount) (api.Reply, error) {
	body, err := readGrowing(account.Reader(response.Body, replyBodyBytesFactor), response.ContentLength, MaxReplyBytes)
	if err != nil {
		return api.Reply{}, err
	}
	if len(body) > MaxReplyBytes {
		return api.Reply{}, errors.Errorf("reply over %d bytes", MaxReplyBytes)
	}
	return decodeReplyFields(response.Header, response.StatusCode, body)
}

// decodeReplyFields decodes a reply from its headers and body. The HTTP status has
// to match the status header. Snapshot and epoch are decoded only if the reply
// status is done.
func decodeReplyFields(header http.Header, code int, body []byte) (api.Reply, error) {
	status := api.ReplyStatus(header.Get(headerStatus))
	expectedCode, isKnown := replyStatusCodes[status]
	if !isKnown || expectedCode != code {
		return api.Reply{}, errors.Errorf("status %d with %s %q", code, headerStatus, status)
	}
	reply := api.Reply{
		Status:        status,
		Identity:      header.Get(headerAttempt),
		HeldSnapshots: decodeSnapshots(header.Get(headerHeldSnapshots)),
		IsLeaving:     header.Get(headerLeaving) != "",
		RetryAfter:    retryAfterOf(code, header),
		ColdTimeLeft:  parseColdTime(header.Get(headerCold)),
		Body:          body,
	}
	load, err := strconv.Atoi(header.Get(headerLoad))
	reply.Load, reply.IsLoadKnown = load, err == nil
	if status != api.ReplyDone {
		return reply, nil
	}
	if reply.Snapshot, err = strconv.ParseUint(header.Get(headerSnapshot), 10, 64); err != nil {
		return reply, errors.Wrap(err, headerSnapshot)
	}
	if reply.Epoch, err = strconv.ParseUint(header.Get(headerEpoch), 10, 64); err != nil {
		return reply, errors.Wrap(err, headerEpoch)
	}
	return reply, nil
}

// decodeSnapshots parses a comma-separated list and skips invalid items.
func decodeSnapshots(text string) []uint64 {
	var snapshots []uint64
	for item := range strings.SplitSeq(text, ",") {
		if snapshot, err := strconv.ParseUint(item, 10, 64); err == nil {
			snapshots = append(snapshots, snapshot)
		}
	}
	return snapshots
}
