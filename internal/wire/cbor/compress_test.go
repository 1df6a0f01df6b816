package cbor_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/wire/cbor"
)

// TestCompressDocumentRoundTrip checks that compressed documents of any length
// are restored unchanged.
func TestCompressDocumentRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "word")
		var value []byte
		for range rapid.IntRange(0, 200).Draw(t, "repeats") {
			value = append(value, word...)
		}
		document := api.Document{Key: "k", Revision: 7, Value: value}
		compressed, err := cbor.CompressDocument(document)
		assert.NilError(t, err)
		restored, err := cbor.DecompressDocument(compressed)
		assert.NilError(t, err)
		assert.DeepEqual(t, restored, document)
	})
}

// FuzzDecompressDocument checks that no input decompresses to more than the
// largest allowed document.
func FuzzDecompressDocument(f *testing.F) {
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, compressed []byte) {
		restored, err := cbor.DecompressDocument(api.Document{Key: "k", Compressed: compressed})
		assert.Assert(t, err != nil || len(restored.Value) <= api.MaxDocumentBytes)
	})
}
