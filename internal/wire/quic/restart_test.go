package quic

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
)

// startEndpoint starts an endpoint on address that answers every call.
func startEndpoint(t *testing.T, address string) *Endpoint {
	t.Helper()
	config, err := TLSConfig(settings.TLS{})
	assert.NilError(t, err)
	answer := func(context.Context, api.PeerRequest) api.PeerReply { return api.PeerReply{IsAlive: true} }
	endpoint, err := Listen(address, config, Handler{AnswerCall: answer}, nil)
	assert.NilError(t, err)
	endpoint.Start()
	t.Cleanup(endpoint.Close)
	return endpoint
}

// TestCallAfterRestartOfPeer checks that a call reaches a peer that was killed and
// started again under the same address, although the connection to its predecessor
// does not time out for long: at once if the new process has connected, and otherwise
// after Reset.
func TestCallAfterRestartOfPeer(t *testing.T) {
	tests := map[string]struct{ connects, resets bool }{
		"the peer connects":      {connects: true},
		"the caller starts anew": {resets: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			caller := startEndpoint(t, "127.0.0.1:0")
			peer := startEndpoint(t, "127.0.0.1:0")
			call := func() error {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := caller.Call(ctx, peer.Address(), api.PeerRequest{IsPing: true})
				return err
			}
			assert.NilError(t, call())
			assert.NilError(t, peer.transport.Conn.Close())
			restarted := startEndpoint(t, peer.Address())
			if test.connects {
				assert.NilError(t, restarted.Preconnect(t.Context(), caller.Address()))
				time.Sleep(50 * time.Millisecond)
			}
			if test.resets {
				caller.Reset(peer.Address())
			}
			assert.NilError(t, call())
		})
	}
}
