package peer

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/wire/quic"
)

// listen returns an instance that answers peers, but neither probes nor joins others.
func listen(t *testing.T, name string) (*Peers, *control.Control) {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	tlsConfig, err := quic.TLSConfig(settings.TLS{})
	assert.NilError(t, err)
	state := control.NewState(api.Member{Instance: api.Instance{Name: name}}, time.Second, time.Now())
	controlPart := control.New(state, zap.NewNop())
	config := Config{Settings: settings.Default(), InFlight: func() int { return 0 }, TLS: tlsConfig, Control: controlPart, Logger: zap.NewNop()}
	config.Settings.PeerAddress = "127.0.0.1:0"
	config.ParseDocument = func(document api.Document) api.DecodedDocument { return api.DecodedDocument{Document: document} }
	peers, err := Listen(config)
	assert.NilError(t, err)
	t.Cleanup(peers.Close)
	state.SetPeerAddress(peers.Address(), time.Now())
	controlPart.Start(ctx, control.PeerCalls{SendGossip: func(api.Gossip) {}, Refresh: func() {}})
	peers.ctx = ctx
	peers.endpoint.Start()
	return peers, controlPart
}

// TestRestartedSeed guards against a seed that is started again and serves by an outdated
// store, because it does not know the instances that stayed up. One that reaches it only on
// a new connection must make it read what it holds; nothing else does so here.
func TestRestartedSeed(t *testing.T) {
	survivor, survivorControl := listen(t, "survivor")
	for _, received := range []message.Message{
		message.DocumentReceived{Decoded: api.DecodedDocument{Document: api.Document{Key: "config", Revision: 7}}},
		message.ConfigurationReceived{Version: api.Version{Revision: 7}},
	} {
		assert.NilError(t, survivorControl.Mailbox.Send(t.Context(), received))
	}
	restarted, restartedControl := listen(t, "seed")
	await(t, func() bool { return survivorControl.CurrentView.Load().IsConfigured })
	member := api.Member{Instance: api.Instance{Name: "seed", PeerAddress: restarted.Address()}}
	assert.Assert(t, (&probe{peers: survivor, member: member}).callOnNewConnection())
	await(t, func() bool { return restartedControl.CurrentView.Load().IsConfigured })
	current := restartedControl.CurrentView.Load()
	assert.Equal(t, current.KnownVersion("config"), api.Version{Revision: 7})
	_, isKnown := current.Members["survivor"]
	assert.Assert(t, isKnown)
}

// await waits until isDone returns true.
func await(t *testing.T, isDone func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !isDone(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
}
