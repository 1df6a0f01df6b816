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
	// recordsPerPart is the number of records in the answer to a relayed request.
	recordsPerPart = 6
	recordBytes    = 16
)

// RelayedRequest is a relayed request that the replica ran, and how often.
type RelayedRequest struct {
	Method string `json:"method"`
	Target string `json:"target"`
	Body   string `json:"body"`
	Runs   int    `json:"runs"`
}

// handleRelayed serves a request that an instance relayed unchanged.
func (replica *Replica) handleRelayed(writer http.ResponseWriter, request *http.Request) {
	names := wire.DefaultHeaderNames
	identity := request.Header.Get(names.Identity)
	writer.Header().Set(names.Identity, identity)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if expected := request.Header.Get(names.Replica); expected != "" && expected != replica.Name {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(replica.config.NetworkDelay)
	millis, _ := strconv.Atoi(request.Header.Get(names.Deadline))
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(millis)*time.Millisecond)
	defer cancel()
	attempt := api.Attempt{Identity: identity, Shard: replica.onlyShard(), IsCommand: true, Epoch: 1, Body: body}
	status := replica.admit(attempt)
	if status == "" && !replica.acquireSlot(ctx) {
		status = api.ReplyShed
	}
	if status != "" {
		writer.Header().Set(names.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	replica.recordRelayed(request, identity, string(body))
	status = replica.execute(ctx, attempt)
	replica.releaseSlot()
	replica.writeRelayed(writer, identity, status)
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

func (replica *Replica) recordRelayed(request *http.Request, identity, body string) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	relayed := replica.counts.RelayedRequests[identity]
	relayed.Method, relayed.Target, relayed.Body = request.Method, request.RequestURI, body
	relayed.Runs++
	replica.counts.RelayedRequests[identity] = relayed
}

func (replica *Replica) writeRelayed(writer http.ResponseWriter, identity string, status api.ReplyStatus) {
	replica.mutex.Lock()
	faults := replica.faults
	replica.mutex.Unlock()
	if faults.ReplyDelay > 0 {
		time.Sleep(faults.ReplyDelay)
	}
	writer.Header().Set(wire.DefaultHeaderNames.Signature, RelayedSignature(replica.Name, identity))
	body := RelayedBody(replica.onlyShard(), identity)
	switch {
	case status != api.ReplyDone:
		writer.WriteHeader(http.StatusInternalServerError)
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

// RelayedBody returns the body with which every replica of shard answers the
// relayed request of an identity: fixed-size records and a shorter remainder.
func RelayedBody(shard, identity string) []byte {
	var records []byte
	for number := range recordsPerPart {
		sum := sha256.Sum256([]byte(shard + "/" + identity + "/" + strconv.Itoa(number)))
		records = append(records, sum[:recordBytes]...)
	}
	return append(records, "rest"...)
}
