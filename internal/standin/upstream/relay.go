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
	// recordsPerPart is how many records a relayed answer holds.
	recordsPerPart = 6
	recordBytes    = 16
)

// RelayedRun is one run of a relayed request.
type RelayedRun struct {
	Method string `json:"method"`
	Target string `json:"target"`
	Body   string `json:"body"`
	Runs   int    `json:"runs"`
}

// relay serves a request that an instance passed whole.
func (replica *Replica) relay(writer http.ResponseWriter, request *http.Request) {
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
	time.Sleep(replica.shape.NetworkDelay)
	millis, _ := strconv.Atoi(request.Header.Get(names.Deadline))
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(millis)*time.Millisecond)
	defer cancel()
	attempt := api.Attempt{Identity: identity, Shard: replica.anyShard(), IsCommand: true, Epoch: 1, Body: body}
	status := replica.judge(attempt)
	if status == "" && !replica.enter(ctx) {
		status = api.ReplyShed
	}
	if status != "" {
		writer.Header().Set(names.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	replica.noteRelayed(request, identity, string(body))
	status = replica.execute(ctx, attempt)
	replica.leave()
	replica.answerRelayed(writer, identity, status)
}

// anyShard returns the one shard that the replica serves.
func (replica *Replica) anyShard() string {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	for shard := range replica.shards {
		return shard
	}
	return ""
}

func (replica *Replica) noteRelayed(request *http.Request, identity, body string) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	run := replica.counts.Relayed[identity]
	run.Method, run.Target, run.Body = request.Method, request.RequestURI, body
	run.Runs++
	replica.counts.Relayed[identity] = run
}

func (replica *Replica) answerRelayed(writer http.ResponseWriter, identity string, status api.ReplyStatus) {
	replica.mutex.Lock()
	faults := replica.faults
	replica.mutex.Unlock()
	if faults.Late > 0 {
		time.Sleep(faults.Late)
	}
	writer.Header().Set(wire.DefaultHeaderNames.Signature, Signature(replica.Name, identity))
	records := Records(replica.anyShard(), identity)
	switch {
	case status != api.ReplyDone:
		writer.WriteHeader(http.StatusInternalServerError)
	case faults.Truncate:
		writer.Header().Set("Content-Length", strconv.Itoa(len(records)))
		_, _ = writer.Write(records[:len(records)/2])
		panic(http.ErrAbortHandler)
	default:
		_, _ = writer.Write(records)
	}
}

// Signature returns what proves that a replica answered a request.
func Signature(replica, identity string) string { return replica + "." + identity }

// Records returns the records that any replica of shard answers a request
// with.
func Records(shard, identity string) []byte {
	var records []byte
	for number := range recordsPerPart {
		sum := sha256.Sum256([]byte(shard + "/" + identity + "/" + strconv.Itoa(number)))
		records = append(records, sum[:recordBytes]...)
	}
	return append(records, "rest"...)
}
