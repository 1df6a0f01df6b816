package cbor

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// minCompressedBytes is the length of the shortest value that is compressed.
const minCompressedBytes = 1 << 10

// CompressDocument moves the value of a document to its field Compressed, as a
// DEFLATE stream. It returns a document whose value is shorter than
// minCompressedBytes unchanged.
func CompressDocument(document api.Document) (api.Document, error) {
	if len(document.Value) < minCompressedBytes {
		return document, nil
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return document, errors.Wrap(err, "compress document "+document.Key)
	}
	if _, err := writer.Write(document.Value); err != nil {
		return document, errors.Wrap(err, "compress document "+document.Key)
	}
	if err := writer.Close(); err != nil {
		return document, errors.Wrap(err, "compress document "+document.Key)
	}
	document.Compressed, document.Value = compressed.Bytes(), nil
	return document, nil
}

// DecompressDocument restores the value of a document that CompressDocument
// compressed, and returns any other document unchanged. A value of more than
// api.MaxDocumentBytes is an error.
func DecompressDocument(document api.Document) (api.Document, error) {
	if len(document.Compressed) == 0 {
		return document, nil
	}
	reader := flate.NewReader(bytes.NewReader(document.Compressed))
	value, err := io.ReadAll(io.LimitReader(reader, api.MaxDocumentBytes+1))
	if err != nil {
		return document, errors.Wrap(err, "decompress document "+document.Key)
	}
	if len(value) > api.MaxDocumentBytes {
		return document, errors.Errorf("decompress document %s: value exceeds %d bytes", document.Key, api.MaxDocumentBytes)
	}
	document.Value, document.Compressed = value, nil
	return document, nil
}
