// Package cbor encodes the messages between peers.
package cbor

import (
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxMessageBytes is the largest message that Read accepts, in bytes.
const MaxMessageBytes = 16 << 20

var decoding = func() cbor.DecMode {
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

// Marshal encodes message.
func Marshal[M any](message M) ([]byte, error) {
	encoded, err := cbor.Marshal(message)
	return encoded, errors.Wrap(err, "encode peer message")
}

// Unmarshal decodes a message that fills encoded to its end.
func Unmarshal[M any](encoded []byte) (M, error) {
	var message M
	err := decoding.Unmarshal(encoded, &message)
	return message, errors.Wrap(err, "decode peer message")
}

// Read decodes the message that fills reader up to its end.
func Read[M any](reader io.Reader) (M, error) {
	encoded, err := io.ReadAll(io.LimitReader(reader, MaxMessageBytes+1))
	if err != nil {
		var none M
		return none, errors.Wrap(err, "read peer message")
	}
	if len(encoded) > MaxMessageBytes {
		var none M
		return none, errors.Errorf("peer message over %d bytes", MaxMessageBytes)
	}
	return Unmarshal[M](encoded)
}

// Sequence reads messages that follow one another.
type Sequence[M any] struct{ decoder *cbor.Decoder }

// NewSequence returns the messages of reader.
func NewSequence[M any](reader io.Reader) *Sequence[M] {
	return &Sequence[M]{decoder: decoding.NewDecoder(io.LimitReader(reader, MaxMessageBytes))}
}

// Next returns the next message, and io.EOF after the last.
func (sequence *Sequence[M]) Next() (M, error) {
	var message M
	err := sequence.decoder.Decode(&message)
	return message, errors.Wrap(err, "decode peer message")
}
