package cbor

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

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
	compressed, err := deflate(document.Value)
	if err != nil {
		return document, errors.Wrap(err, "compress document "+document.Key)
	}
	document.Compressed, document.Value = compressed, nil
	return document, nil
}

// compressors and decompressors hold *flate.Writer and readers for reuse. A writer takes
// more than a megabyte, and a burst of changes needs many.
var (
	compressors   = sync.Pool{New: newCompressor}
	decompressors = sync.Pool{New: newDecompressor}
)

func newCompressor() any {
	// Only an invalid level is an error.
	writer, _ := flate.NewWriter(nil, flate.BestSpeed)
	return writer
}

func newDecompressor() any { return flate.NewReader(bytes.NewReader(nil)) }

// deflate returns plain as a DEFLATE stream.
func deflate(plain []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer := compressors.Get().(*flate.Writer)
	defer compressors.Put(writer)
	writer.Reset(&compressed)
	// The pool must not keep the buffer.
	defer writer.Reset(nil)
	if _, err := writer.Write(plain); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// inflate calls read with a reader of the plain form of a DEFLATE stream.
func inflate(compressed []byte, read func(plain io.Reader) ([]byte, error)) ([]byte, error) {
	reader := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(reader)
	resetter := reader.(flate.Resetter)
	if err := resetter.Reset(bytes.NewReader(compressed), nil); err != nil {
		return nil, err
	}
	// The pool must not keep compressed.
	defer func() { _ = resetter.Reset(bytes.NewReader(nil), nil) }()
	return read(reader)
}

// DecompressDocument restores the value of a document that CompressDocument
// compressed, and returns any other document unchanged. A value of more than
// api.MaxDocumentBytes is an error.
func DecompressDocument(document api.Document) (api.Document, error) {
	if len(document.Compressed) == 0 {
		return document, nil
	}
	value, err := inflate(document.Compressed, func(plain io.Reader) ([]byte, error) {
		return io.ReadAll(io.LimitReader(plain, api.MaxDocumentBytes+1))
	})
	if err != nil {
		return document, errors.Wrap(err, "decompress document "+document.Key)
	}
	if len(value) > api.MaxDocumentBytes {
		return document, errors.Errorf("decompress document %s: value exceeds %d bytes", document.Key, api.MaxDocumentBytes)
	}
	document.Value, document.Compressed = value, nil
	return document, nil
}

// minCompressedMessageBytes is the length of the shortest message that MarshalLong
// compresses. The lists of members and documents are longer, queries are shorter.
const minCompressedMessageBytes = 4 << 10

// byteStringType is the major type of a CBOR byte string in the first three bits of
// its first byte. Messages are maps.
const byteStringType = 2 << 5

// MarshalLong encodes a message that may be long, for Read. A long one is encoded as
// a byte string that holds the message as a DEFLATE stream.
func MarshalLong[M any](message M) ([]byte, error) {
	encoded, err := Marshal(message)
	if err != nil || len(encoded) < minCompressedMessageBytes {
		return encoded, err
	}
	compressed, err := deflate(encoded)
	if err != nil {
		return nil, errors.Wrap(err, "compress peer message")
	}
	return Marshal(compressed)
}

// inflateMessage returns the encoded message that MarshalLong compressed, and any
// other one unchanged. A message of more than MaxMessageBytes is an error.
func inflateMessage(encoded []byte) ([]byte, error) {
	if len(encoded) == 0 || encoded[0]&(7<<5) != byteStringType {
		return encoded, nil
	}
	compressed, err := Unmarshal[[]byte](encoded)
	if err != nil {
		return nil, err
	}
	return inflate(compressed, readMessage)
}
