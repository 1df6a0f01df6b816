package http

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// checkClass is the class with which a check of a replica's health waits for a
// connection. A check must not wait behind the requests that it is to bound.
const checkClass = math.MaxInt

// CheckCold asks the replica at the health path of its upstream how much longer it is
// cold, and records and returns that; 0 if the replica does not say that it is cold.
// The status of the answer does not matter, but it must be of this replica. The check
// waits for a connection of the link and counts as a request to a cold replica. Its
// errors are of type *SendError.
func (relaylink *RelayLink) CheckCold(ctx context.Context, healthPath string) (time.Duration, error) {
	attempt := api.Attempt{Priority: checkClass, RelayedRequest: &api.RelayedRequest{Method: http.MethodGet}}
	conn, err := relaylink.acquire(ctx, attempt)
	if err != nil {
		return 0, &SendError{Step: "connect to", Peer: relaylink.address, Cause: err}
	}
	defer relaylink.release(conn)
	if ctx.Err() != nil {
		return 0, &SendError{Step: "check", Peer: relaylink.address, Cause: context.Cause(ctx)}
	}
	if err := takeRequest(relaylink.stats); err != nil {
		return 0, &SendError{Step: "check", Peer: relaylink.address, Cause: err}
	}
	conn.hasCarriedCheck = true
	response, err := conn.exchange(ctx, encodeCheck(relaylink.names, relaylink.address, healthPath))
	if err != nil {
		relaylink.observeFailure(conn, err)
		return 0, &SendError{Step: "check", Peer: relaylink.address, MayHaveRun: true, Cause: err}
	}
	// A late copy of a failure could not be told from that of a request.
	conn.mustClose = conn.mustClose || !isSuccess(response.StatusCode)
	header := http.Header(response.Header)
	if responder := header.Get(relaylink.names.Responder); responder != relaylink.replica {
		return 0, &SendError{Step: "check", Peer: relaylink.address, MayHaveRun: true, Cause: errors.Errorf("answer of %q instead of %q", responder, relaylink.replica)}
	}
	coldTimeLeft := parseColdTime(header.Get(relaylink.names.Cold))
	if coldTimeLeft > 0 {
		relaylink.stats.ObserveCold(view.MonotonicNow(), coldTimeLeft)
	}
	return coldTimeLeft, nil
}

// encodeCheck encodes a check of the health of the replica at address.
func encodeCheck(names *HeaderNames, address, path string) encodedRequest {
	buffer := make([]byte, 0, typicalHeadBytes)
	buffer = append(buffer, http.MethodGet+" "...)
	buffer = append(buffer, path...)
	buffer = append(buffer, " HTTP/1.1\r\n"...)
	buffer = appendHeaderLine(buffer, "Host", address)
	buffer = append(buffer, "\r\n"...)
	return encodedRequest{method: http.MethodGet, identityHeader: names.Identity, isCheck: true, responderHeader: names.Responder, encoded: buffer}
}
