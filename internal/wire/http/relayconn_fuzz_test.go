package http

import (
	"net"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzRelayAnswer reads arbitrary bytes as a replica's answer: what is taken
// belongs to the request, is whole, and leaves nothing behind on a connection
// that is used again.
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
		near, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer near.Close()
		far, err := listener.Accept()
		assert.NilError(t, err)
		writer := &requestWriter{conn: far, bytes: answer, done: make(chan error, 1)}
		go func() {
			writer.run()
			_ = far.Close()
		}()
		relayconn := newRelayConn(near.(*net.TCPConn))
		response, err := relayconn.read(relayRequest{method: "GET", identity: "a", identityName: DefaultHeaderNames.Identity})
		if err != nil {
			return
		}
		if identity := response.Header[DefaultHeaderNames.Identity]; len(identity) > 0 {
			assert.Equal(t, identity[0], "a")
		}
		if length := response.Header["Content-Length"]; len(length) == 1 {
			if stated, err := strconv.Atoi(length[0]); err == nil {
				assert.Equal(t, len(response.Body), stated)
			}
		}
		assert.Assert(t, relayconn.isSpent || relayconn.reader.Buffered() == 0)
	})
}
