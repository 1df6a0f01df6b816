package quic

import (
	"time"

	"github.com/quic-go/quic-go"
)

// Limits of connections between peers.
const (
	// idleTimeout is how long an unused connection is kept. Opening it again takes as
	// many bytes as dozens of probes. A connection to a process that has ended is
	// replaced sooner: when a call on it fails, or when the next process under that
	// address connects.
	idleTimeout      = time.Minute
	handshakeTimeout = 2 * time.Second
	// maxStreams is the number of calls that a peer may have open on one
	// connection.
	maxStreams = 4_096
	// MaxDatagramBytes is the size of the largest encoded datagram that Send
	// accepts.
	MaxDatagramBytes = 1_150
	// The windows bound what a peer may send that has not been read yet.
	initialStreamWindow     = 128 << 10
	initialConnectionWindow = 256 << 10
	maxStreamWindow         = 1 << 20
	maxConnectionWindow     = 2 << 20
)

// quicConfig returns the configuration for connections in both directions.
func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		EnableDatagrams:                true,
		InitialPacketSize:              1_200,
		DisablePathMTUDiscovery:        true,
	}
}
