package cbor

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// packFrom is the length from which a value is compressed, in bytes.
const packFrom = 1 << 10

// CompressDocument compresses the value of a long document.
func CompressDocument(document api.Document) (api.Document, error) {
	if len(document.Value) < packFrom {
		return document, nil
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return document, errors.Wrap(err, "pack document "+document.Key)
	}
	if _, err := writer.Write(document.Value); err != nil {
		return document, errors.Wrap(err, "pack document "+document.Key)
	}
	if err := writer.Close(); err != nil {
		return document, errors.Wrap(err, "pack document "+document.Key)
	}
	document.Compressed, document.Value = packed.Bytes(), nil
	return document, nil
}

// DecompressDocument restores the value of a document that Pack compressed.
func DecompressDocument(document api.Document) (api.Document, error) {
	if len(document.Compressed) == 0 {
		return document, nil
	}
	reader := flate.NewReader(bytes.NewReader(document.Compressed))
	value, err := io.ReadAll(io.LimitReader(reader, api.MaxDocumentBytes+1))
	if err != nil {
		return document, errors.Wrap(err, "unpack document "+document.Key)
	}
	if len(value) > api.MaxDocumentBytes {
		return document, errors.Errorf("unpack document %s: over %d bytes", document.Key, api.MaxDocumentBytes)
	}
	document.Value, document.Compressed = value, nil
	return document, nil
}
