package quic_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/wire/quic"
)

// BenchmarkQueryHome sends home queries for five shards between two endpoints on
// loopback. The figures include the work of both endpoints.
func BenchmarkQueryHome(b *testing.B) {
	config, err := quic.TLSConfig(settings.TLS{})
	assert.NilError(b, err)
	answer := api.PartialAnswer{IsFinal: true, Records: make([]byte, 800), Shards: []string{"a", "b", "c", "d", "e"}, Signatures: []string{"a", "b", "c", "d", "e"}}
	handler := quic.Handler{AnswerHomeQuery: func(_ context.Context, _ api.HomeQuery, send func(api.PartialAnswer) error) { _ = send(answer) }}
	server, err := quic.Listen("127.0.0.1:0", config, handler, nil)
	assert.NilError(b, err)
	defer server.Close()
	server.Start()
	client, err := quic.Listen("127.0.0.1:0", config, quic.Handler{}, nil)
	assert.NilError(b, err)
	defer client.Close()
	query := api.HomeQuery{Index: "fleet", Shards: []string{"a", "b", "c", "d", "e"}, RelayedRequest: api.RelayedRequest{Identity: "0123456789abcdef", Method: "GET", Host: "h.example", RequestTarget: "/a/2f", Header: []byte("Accept: */*\r\nUser-Agent: sdk-client/1.9.3\r\n")}}
	b.ReportAllocs()
	for b.Loop() {
		err := client.QueryHome(b.Context(), server.Address(), query, func(api.PartialAnswer) {})
		assert.NilError(b, err)
	}
}
