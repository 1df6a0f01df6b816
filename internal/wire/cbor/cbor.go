// Package cbor encodes the messages between peers and the signed keys of
// commands in CBOR, and compresses long documents that peers exchange.
package cbor

import (
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxMessageBytes is the size of the largest message that Read accepts, and of
// the longest sequence that a Sequence reads.
const MaxMessageBytes = 16 << 20

// decodingMode limits the number of elements and the nesting depth of a decoded
// message.
var decodingMode = func() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 16,
		MaxNestedLevels:  16,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Marshal encodes a message.
func Marshal[M any](message M) ([]byte, error) {
	encoded, err := cbor.Marshal(message)
	return encoded, errors.Wrap(err, "encode peer message")
}

// Unmarshal decodes a message. Bytes after the end of the message are an error.
func Unmarshal[M any](encoded []byte) (M, error) {
	var message M
	err := decodingMode.Unmarshal(encoded, &message)
	return message, errors.Wrap(err, "decode peer message")
}

// Read reads reader to its end and decodes the bytes as one message, which Marshal
// or MarshalLong encoded. More than MaxMessageBytes are an error.
func Read[M any](reader io.Reader) (M, error) {
	var zero M
	encoded, err := readMessage(reader)
	if err != nil {
		return zero, err
	}
	if encoded, err = inflateMessage(encoded); err != nil {
		return zero, err
	}
	return Unmarshal[M](encoded)
}

// readMessage reads reader to its end. More than MaxMessageBytes are an error.
func readMessage(reader io.Reader) ([]byte, error) {
	encoded, err := io.ReadAll(io.LimitReader(reader, MaxMessageBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read peer message")
	}
	if len(encoded) > MaxMessageBytes {
		return nil, errors.Errorf("peer message exceeds %d bytes", MaxMessageBytes)
	}
	return encoded, nil
}

// Sequence decodes a CBOR sequence: messages that directly follow one another.
type Sequence[M any] struct{ decoder *cbor.Decoder }

// NewSequence returns a Sequence that decodes the first MaxMessageBytes of reader.
func NewSequence[M any](reader io.Reader) *Sequence[M] {
	return &Sequence[M]{decoder: decodingMode.NewDecoder(io.LimitReader(reader, MaxMessageBytes))}
}

// Next returns the next message. After the last message the error wraps io.EOF.
func (sequence *Sequence[M]) Next() (M, error) {
	var message M
	err := sequence.decoder.Decode(&message)
	return message, errors.Wrap(err, "decode peer message")
}
