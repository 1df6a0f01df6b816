package cbor

import (
	"encoding/base64"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// maxKeyBytes is the length of the longest text that DecodeKey accepts.
const maxKeyBytes = 512

// EncodeKey returns a signed key as the text that callers receive and send back:
// CBOR in unpadded URL-safe base64.
func EncodeKey(signed api.SignedKey) (string, error) {
	encoded, err := Marshal(signed)
	return base64.RawURLEncoding.EncodeToString(encoded), err
}

// DecodeKey decodes the text that EncodeKey returned. It does not verify the
// signature. A text of more than maxKeyBytes is an error.
func DecodeKey(text string) (api.SignedKey, error) {
	if len(text) > maxKeyBytes {
		return api.SignedKey{}, errors.Errorf("key of %d bytes; allowed: %d", len(text), maxKeyBytes)
	}
	encoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return api.SignedKey{}, errors.Wrap(err, "decode key")
	}
	return Unmarshal[api.SignedKey](encoded)
}
