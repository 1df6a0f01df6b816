package http

import (
	"net"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzRelayAnswer reads arbitrary bytes as a replica's answer. It checks that an
// accepted answer belongs to the request and has the stated length, and that a
// connection which may be reused holds no unread bytes.
func FuzzRelayAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nMimosa-Request: a\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nMimosa-Request: b\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 0\r\nMimosa-Request: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nunframed",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"garbage",
	} {
		f.Add([]byte(seed))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	f.Cleanup(func() { _ = listener.Close() })
	f.Fuzz(func(t *testing.T, answer []byte) {
		clientConn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer clientConn.Close()
		replicaConn, err := listener.Accept()
		assert.NilError(t, err)
		writer := &requestWriter{conn: replicaConn, encoded: answer, result: make(chan error, 1)}
		go func() {
			writer.run()
			_ = replicaConn.Close()
		}()
		relayconn := newRelayConn(clientConn.(*net.TCPConn))
		response, err := relayconn.readAnswer(encodedRequest{method: "GET", identity: "a", identityHeader: DefaultHeaderNames.Identity})
		if err != nil {
			return
		}
		if identity := response.Header[DefaultHeaderNames.Identity]; len(identity) > 0 {
			assert.Equal(t, identity[0], "a")
		}
		if lengths := response.Header["Content-Length"]; len(lengths) == 1 {
			if statedLength, err := strconv.Atoi(lengths[0]); err == nil {
				assert.Equal(t, len(response.Body), statedLength)
			}
		}
		assert.Assert(t, relayconn.mustClose || relayconn.reader.Buffered() == 0)
	})
}
