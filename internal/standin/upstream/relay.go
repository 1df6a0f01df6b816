package upstream

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

const (
	// recordsPerPart is the number of records in the reply to a relayed request.
	recordsPerPart = 6
	recordBytes    = 16
)

// RelayedRequest is a relayed request that the replica ran.
type RelayedRequest struct {
	Method string `json:"method"`
	Target string `json:"target"`
	Body   string `json:"body"`
	// Runs is how often the request ran.
	Runs int `json:"runs"`
}

// handleRelayed serves a request that an instance relayed unchanged. The request
// counts as a command of epoch 1, the first epoch: a relayed request names neither
// an epoch nor a snapshot, and only commands are accepted without a snapshot.
func (replica *Replica) handleRelayed(writer http.ResponseWriter, request *http.Request) {
	headerNames := wire.DefaultHeaderNames
	identity := request.Header.Get(headerNames.Identity)
	writer.Header().Set(headerNames.Identity, identity)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if expectedReplica := request.Header.Get(headerNames.Replica); expectedReplica != "" && expectedReplica != replica.Name {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(replica.config.NetworkDelay)
	timeoutMillis, _ := strconv.Atoi(request.Header.Get(headerNames.Deadline))
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(timeoutMillis)*time.Millisecond)
	defer cancel()
	attempt := api.Attempt{Identity: identity, Shard: replica.onlyShard(), IsCommand: true, Epoch: 1, Body: body}
	status := replica.admit(attempt)
	if replica.setAcceptance(writer.Header()) || replica.refuseOffer(identity) {
		status = api.ReplyShed
	}
	if status == "" && !replica.acquireSlot(ctx) {
		status = api.ReplyShed
	}
	if status != "" {
		writer.Header().Set(headerNames.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	replica.recordRelayed(request, identity, string(body))
	status = replica.execute(ctx, attempt)
	replica.releaseSlot()
	replica.writeRelayed(writer, identity, status)
}

// setAcceptance sets the headers of the faults by which the replica asks for no
// further requests. It reports whether the replica refuses this one.
func (replica *Replica) setAcceptance(header http.Header) bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.faults.AnnounceLeaving {
		header.Set(wire.DefaultHeaderNames.Leaving, "1")
	}
	if replica.faults.RetryAfter <= 0 {
		return false
	}
	header.Set("Retry-After", strconv.FormatFloat(replica.faults.RetryAfter.Seconds(), 'f', -1, 64))
	return true
}

// refuseOffer reports whether the replica refuses this offer of the relayed request with
// the given identity because of Faults.RefusedOffers, and counts the offer if so.
func (replica *Replica) refuseOffer(identity string) bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.refusedOffers[identity] >= replica.faults.RefusedOffers {
		return false
	}
	replica.refusedOffers[identity]++
	return true
}

// cutHead writes the first line of an answer and a part of its second line, and
// closes the connection.
func cutHead(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Le")
	_ = conn.Close()
}

// onlyShard returns the shard that the replica serves. Replicas that take relayed
// requests serve one shard. It returns "" if the replica serves none.
func (replica *Replica) onlyShard() string {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	for shard := range replica.shards {
		return shard
	}
	return ""
}

// recordRelayed counts a run of a relayed request.
func (replica *Replica) recordRelayed(request *http.Request, identity, body string) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	relayedRequest := replica.counts.RelayedRequests[identity]
	relayedRequest.Method, relayedRequest.Target, relayedRequest.Body = request.Method, request.RequestURI, body
	relayedRequest.Runs++
	replica.counts.RelayedRequests[identity] = relayedRequest
}

// writeRelayed writes the reply to a relayed request, with the faults that apply to
// replies.
func (replica *Replica) writeRelayed(writer http.ResponseWriter, identity string, status api.ReplyStatus) {
	replica.mutex.Lock()
	faults := replica.faults
	replica.mutex.Unlock()
	if faults.ReplyDelay > 0 {
		time.Sleep(faults.ReplyDelay)
	}
	writer.Header().Set(wire.DefaultHeaderNames.Signature, RelayedSignature(replica.Name, identity))
	writer = &failureWriter{ResponseWriter: writer, status: faults.FailStatus}
	body := RelayedBody(replica.onlyShard(), identity)
	switch {
	case status != api.ReplyDone:
		writer.WriteHeader(http.StatusInternalServerError)
	case faults.CutHead:
		cutHead(writer)
	case faults.Truncate:
		writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = writer.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	default:
		_, _ = writer.Write(body)
	}
}

// RelayedSignature returns the signature by which a replica shows that it answered
// the relayed request of an identity.
func RelayedSignature(replica, identity string) string { return replica + "." + identity }

// RelayedBody returns the body with which every replica of shard replies to the
// relayed request of an identity: recordsPerPart records of recordBytes bytes and a
// shorter remainder.
func RelayedBody(shard, identity string) []byte {
	var records []byte
	for number := range recordsPerPart {
		sum := sha256.Sum256([]byte(shard + "/" + identity + "/" + strconv.Itoa(number)))
		records = append(records, sum[:recordBytes]...)
	}
	return append(records, "rest"...)
}
