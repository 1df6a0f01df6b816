package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// The crowd of TestEndlessReplicas and the memory of its instance. By hand it is played at
// the size of a deployment: -endless.callers 1200 -endless.memory 284000000.
var (
	endlessCallers = flag.Int("endless.callers", 300, "callers of TestEndlessReplicas")
	endlessMemory  = flag.Int64("endless.memory", 64_000_000, "memory of the instance of TestEndlessReplicas, in bytes")
)

const (
	// endlessShards is the number of shards over which a query is merged, each with
	// endlessReplicasPerShard replicas.
	endlessShards           = 20
	endlessReplicasPerShard = 2
	// endlessTime is how long the callers of a case send queries.
	endlessTime = 4 * time.Second
	// endlessServiceTime is how long a replica takes for an answer.
	endlessServiceTime = 11 * time.Millisecond
	// endlessDeadlineMillis is the deadline of a query.
	endlessDeadlineMillis = 1500
	endlessPartBytes      = 1000
)

// endlessAnswer is what a replica sends in place of an answer: start once, then repeated
// until the connection is closed. Without repeated it sends nothing more.
type endlessAnswer struct {
	start, repeated string
	// isSound makes the replica answer as it should instead.
	isSound bool
}

// TestEndlessReplicas lets a crowd of callers send queries that are merged over many
// shards, whose replicas are sound or send bytes without end. The process must live within
// its memory, and must answer an ordinary request meanwhile and afterwards. It guards
// against what running queries and replicas' answers hold being bounded one by one only.
func TestEndlessReplicas(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nMimosa-Signature: s\r\n"
	block := strings.Repeat("x", 32<<10)
	lines := strings.Builder{}
	for number := range 3_000 {
		fmt.Fprintf(&lines, "x%x:\r\n", number)
	}
	tests := map[string]endlessAnswer{
		"sound replicas":                   {isSound: true},
		"bodies without length":            {start: ok + "\r\n", repeated: block},
		"chunked bodies":                   {start: ok + "Transfer-Encoding: chunked\r\n\r\n", repeated: "8000\r\n" + block + "\r\n"},
		"chunks of one byte":               {start: ok + "Transfer-Encoding: chunked\r\n\r\n", repeated: strings.Repeat("1\r\nx\r\n", 1000)},
		"lengths that never fill":          {start: ok + "Content-Length: 4194304\r\n\r\nx"},
		"lengths that stop short":          {start: ok + "Content-Length: 4194304\r\n\r\n" + strings.Repeat("x", 4194304-10)},
		"heads":                            {start: ok, repeated: lines.String()},
		"heads that stop short":            {start: ok + strings.Repeat("x:\r\n", 16_000)},
		"heads without a line end":         {repeated: block},
		"interim answers":                  {repeated: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000)},
		"interim answers with many fields": {repeated: "HTTP/1.1 103 Early Hints\r\n" + lines.String() + "\r\n"},
		"trailers":                         {start: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeated: lines.String()},
	}
	program := buildProgram(t)
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			scriptSlot <- struct{}{}
			defer func() { <-scriptSlot }()
			crowdsite := newCrowdSite(t, program, crowdLimits{memoryBytes: *endlessMemory, maxDescriptors: 4**endlessCallers + 600})
			crowdsite.publishMerged(answer)
			crowdsite.awaitMerged(answer)
			callers := &endlessCrowd{site: crowdsite, until: time.Now().Add(endlessTime), statuses: make(map[int]int)}
			callers.start()
			time.Sleep(endlessTime / 2)
			crowdsite.checkOrdinary(crowdCallerPort)
			callers.wait()
			t.Logf("answers by status: %v", callers.statuses)
			crowdsite.checkOrdinary(crowdCallerPort)
			crowdsite.checkBounds()
		})
	}
}

// publishMerged starts the replicas of endlessShards shards and publishes the scope "burn",
// whose queries are merged over them.
func (crowdsite *crowdSite) publishMerged(answer endlessAnswer) {
	index, upstreams, list := api.Index{Name: "desks", Snapshot: 7}, api.Upstreams{}, api.InstanceList{}
	for number := range endlessShards {
		shard, labels := fmt.Sprintf("desk%d", number), map[string]string{"group": "desk"}
		index.Shards = append(index.Shards, api.Shard{Name: shard, Upstream: shard, Epoch: 1, Labels: labels})
		upstreams.Upstreams = append(upstreams.Upstreams, api.Upstream{Name: shard, Labels: labels, Slots: 2, ConnectionLimit: 26})
		for replicaNumber := range endlessReplicasPerShard {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(crowdsite.t, err)
			replica := &endlessServer{listener: listener, answer: answer}
			crowdsite.t.Cleanup(replica.close)
			go replica.run()
			list.Instances = append(list.Instances, api.Instance{
				Name: fmt.Sprintf("%s-%d", shard, replicaNumber), Upstream: shard, Address: listener.Addr().String(),
				FailureDomain: "muscat-a", State: api.InstanceLive, Incarnation: 1,
			})
		}
	}
	crowdsite.publish(api.UpstreamsPrefix+"desks", upstreams)
	crowdsite.publish(api.IndexPrefix+"desks", index)
	crowdsite.publish(api.InstancesPrefix+"desks", list)
	crowdsite.publish(api.ScopePrefix+"burn", api.Scope{
		Name: "burn", Tenant: "batinah", Class: "lookup", Index: "desks", Aim: api.AimCoverage, Form: api.FormMerged, TopK: 50, MinCoverage: 0.89,
		MaxAttempts: 2, Timeout: api.Duration{Duration: 1500 * time.Millisecond}, Routes: []api.Route{{Host: soakHost, Prefix: "/burn/", Kind: "all"}},
		Selectors: []api.Selector{{Kind: "all", Shards: map[string][]string{"group": {"desk"}}}},
	})
}

// awaitMerged waits until the instance has the scope, and, if the replicas are sound,
// answers a query.
func (crowdsite *crowdSite) awaitMerged(answer endlessAnswer) {
	for range 200 {
		conn, err := net.Dial("tcp", crowdsite.addresses[crowdCallerPort])
		if err == nil {
			status := exchangeMerged(conn, "first")
			_ = conn.Close()
			if status == http.StatusOK || !answer.isSound && status != http.StatusNotFound && status != 0 {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	crowdsite.t.Fatal("the instance does not know the scope")
}

// exchangeMerged sends one query and returns the status of the whole answer, or 0.
func exchangeMerged(conn net.Conn, identity string) int {
	_ = conn.SetDeadline(time.Now().Add(crowdAnswerTimeout))
	_, err := fmt.Fprintf(conn, "GET /burn/x HTTP/1.1\r\nHost: %s\r\nMimosa-Request: %s\r\nMimosa-Deadline-Millis: %d\r\n\r\n", soakHost, identity, endlessDeadlineMillis)
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// endlessCrowd is a crowd of callers, each of which sends one query after the other.
type endlessCrowd struct {
	site    *crowdSite
	until   time.Time
	callers sync.WaitGroup

	// mutex guards statuses, which counts the answers.
	mutex    sync.Mutex
	statuses map[int]int
}

func (endlesscrowd *endlessCrowd) start() {
	for number := range *endlessCallers {
		endlesscrowd.callers.Add(1)
		go (&endlessCaller{crowd: endlesscrowd, number: number}).run()
	}
}

func (endlesscrowd *endlessCrowd) wait() { endlesscrowd.callers.Wait() }

// endlessCaller is one caller of a crowd.
type endlessCaller struct {
	crowd  *endlessCrowd
	number int
}

// run sends queries until the end of the crowd, on a new connection after one that failed.
func (endlesscaller *endlessCaller) run() {
	crowd := endlesscaller.crowd
	defer crowd.callers.Done()
	var conn net.Conn
	for count := 0; time.Now().Before(crowd.until); count++ {
		var err error
		if conn == nil {
			if conn, err = net.DialTimeout("tcp", crowd.site.addresses[crowdCallerPort], time.Second); err != nil {
				conn = nil
				continue
			}
		}
		status := exchangeMerged(conn, fmt.Sprintf("c%d-%d", endlesscaller.number, count))
		crowd.mutex.Lock()
		crowd.statuses[status]++
		crowd.mutex.Unlock()
		if status != http.StatusOK {
			// A caller that is refused returns a little later.
			_ = conn.Close()
			conn = nil
			time.Sleep(100 * time.Millisecond)
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// endlessServer is a replica of the relay protocol.
type endlessServer struct {
	listener net.Listener
	answer   endlessAnswer

	// mutex guards conns, which close closes.
	mutex sync.Mutex
	conns []net.Conn
}

func (endlessserver *endlessServer) run() {
	for {
		conn, err := endlessserver.listener.Accept()
		if err != nil {
			return
		}
		endlessserver.mutex.Lock()
		endlessserver.conns = append(endlessserver.conns, conn)
		endlessserver.mutex.Unlock()
		go (&endlessServerConn{answer: endlessserver.answer, conn: conn}).run()
	}
}

func (endlessserver *endlessServer) close() {
	_ = endlessserver.listener.Close()
	endlessserver.mutex.Lock()
	defer endlessserver.mutex.Unlock()
	for _, conn := range endlessserver.conns {
		_ = conn.Close()
	}
}

// endlessServerConn is a connection to an endlessServer.
type endlessServerConn struct {
	answer endlessAnswer
	conn   net.Conn
}

// run answers requests until the connection is closed.
func (endlessserverconn *endlessServerConn) run() {
	conn, answer := endlessserverconn.conn, endlessserverconn.answer
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		time.Sleep(endlessServiceTime)
		if answer.isSound {
			identity := request.Header.Get(wire.DefaultHeaderNames.Identity)
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nMimosa-Request: %s\r\nMimosa-Signature: s-%p\r\nContent-Length: %d\r\n\r\n%s", identity, conn, endlessPartBytes, strings.Repeat("p", endlessPartBytes))
			if err != nil {
				return
			}
			continue
		}
		_, err = io.WriteString(conn, answer.start)
		for err == nil && answer.repeated != "" {
			_, err = io.WriteString(conn, answer.repeated)
		}
		if err == nil {
			// Stays silent until the instance closes the connection.
			_, _ = io.Copy(io.Discard, reader)
		}
		return
	}
}
