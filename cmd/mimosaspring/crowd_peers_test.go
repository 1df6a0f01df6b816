package main

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/quic"
)

const (
	// peerCrowdStreams is the number of streams that each connection opens.
	peerCrowdStreams = 8
	// peerCrowdMessage is what each stream carries of a message that does not end.
	peerCrowdMessage = 256 << 10
	// peerCrowdTime is how long a crowd at the port for peers tries.
	peerCrowdTime = 8 * time.Second
)

// TestPeerCrowds lets crowds of clients connect to the port for peers of an instance
// with little memory, and checks the bounds of TestCrowds.
func TestPeerCrowds(t *testing.T) {
	tests := map[string]struct {
		size int
		// isDeaf is set if the clients drop what the instance sends, so that no
		// handshake ends.
		isDeaf bool
	}{
		"handshakes that never end": {size: 3_000, isDeaf: true},
		"messages that never end":   {size: 100},
	}
	program := buildProgram(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scriptSlot <- struct{}{}
			defer func() { <-scriptSlot }()
			crowdsite := newCrowdSite(t, program, defaultCrowdLimits)
			crowdsite.checkOrdinary(crowdCallerPort)
			ctx, cancel := context.WithTimeout(t.Context(), peerCrowdTime)
			defer cancel()
			transport := newPeerCrowdTransport(t, test.isDeaf)
			address, err := net.ResolveUDPAddr("udp", crowdsite.addresses[crowdPeerPort])
			assert.NilError(t, err)
			var clients sync.WaitGroup
			for range test.size {
				clients.Add(1)
				go (&peerCrowdClient{ctx: ctx, transport: transport, address: address, clients: &clients}).run()
			}
			time.Sleep(peerCrowdTime / 2)
			crowdsite.checkOrdinary(crowdCallerPort)
			clients.Wait()
			crowdsite.checkOrdinary(crowdCallerPort)
			crowdsite.checkBounds()
		})
	}
}

// newPeerCrowdTransport returns a transport that is closed at the end of the test.
func newPeerCrowdTransport(t *testing.T, isDeaf bool) *quic.Transport {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	transport := &quic.Transport{Conn: socket}
	if isDeaf {
		transport.Conn = &deafSocket{PacketConn: socket}
	}
	t.Cleanup(func() {
		_ = transport.Close()
		_ = socket.Close()
	})
	return transport
}

// deafSocket drops all datagrams that arrive.
type deafSocket struct{ net.PacketConn }

// ReadFrom returns only when the socket is closed.
func (deafsocket *deafSocket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for {
		if _, address, err := deafsocket.PacketConn.ReadFrom(buffer); err != nil {
			return 0, address, err
		}
	}
}

// peerCrowdClient opens one connection and stays until ctx ends.
type peerCrowdClient struct {
	ctx       context.Context
	transport *quic.Transport
	address   net.Addr
	clients   *sync.WaitGroup
}

// run sends messages that do not end on several streams. The instance may refuse the
// connection or the streams.
func (peercrowdclient *peerCrowdClient) run() {
	defer peercrowdclient.clients.Done()
	config, err := wire.TLSConfig(settings.TLS{})
	if err != nil {
		return
	}
	config.ServerName = "127.0.0.1"
	conn, err := peercrowdclient.transport.Dial(peercrowdclient.ctx, peercrowdclient.address, config, &quic.Config{EnableDatagrams: true, HandshakeIdleTimeout: peerCrowdTime})
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseWithError(0, "") }()
	message := []byte(strings.Repeat("x", peerCrowdMessage))
	for range peerCrowdStreams {
		stream, err := conn.OpenStreamSync(peercrowdclient.ctx)
		if err != nil {
			return
		}
		deadline, _ := peercrowdclient.ctx.Deadline()
		_ = stream.SetWriteDeadline(deadline)
		_, _ = stream.Write(message)
	}
	<-peercrowdclient.ctx.Done()
}
