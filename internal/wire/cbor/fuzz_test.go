package cbor_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/wire/cbor"
)

// FuzzPeerRequest checks that every request that can be decoded can be encoded
// and decoded again.
func FuzzPeerRequest(f *testing.F) {
	seed, err := cbor.Marshal(api.PeerRequest{Command: &api.Command{Scope: "a", Kind: "b", Body: []byte("{}")}})
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0xa1, 0x01, 0x9f})
	long, err := cbor.MarshalLong(api.PeerRequest{Command: &api.Command{Scope: "a", Body: make([]byte, 8<<10)}})
	assert.NilError(f, err)
	f.Add(long)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		request, err := cbor.Read[api.PeerRequest](bytes.NewReader(encoded))
		if err != nil {
			return
		}
		reencoded, err := cbor.Marshal(request)
		assert.NilError(t, err)
		_, err = cbor.Unmarshal[api.PeerRequest](reencoded)
		assert.NilError(t, err)
	})
}

// FuzzDatagram checks that no input makes the decoder panic.
func FuzzDatagram(f *testing.F) {
	seed, err := cbor.Marshal(api.Datagram{Probe: &api.Probe{From: "e1", Sequence: 3}})
	assert.NilError(f, err)
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, encoded []byte) { _, _ = cbor.Unmarshal[api.Datagram](encoded) })
}

// FuzzKey checks that a key keeps its fields when it is encoded and decoded again.
func FuzzKey(f *testing.F) {
	seed, err := cbor.EncodeKey(api.SignedKey{Key: api.IdempotencyKey{Home: "e1"}, Signature: []byte("0123456789abcdef")})
	assert.NilError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, text string) {
		signed, err := cbor.DecodeKey(text)
		if err != nil {
			return
		}
		reencoded, err := cbor.EncodeKey(signed)
		assert.NilError(t, err)
		decoded, err := cbor.DecodeKey(reencoded)
		assert.NilError(t, err)
		assert.Equal(t, decoded.Key, signed.Key)
	})
}
