package api

import "time"

// IdempotencyKey is the content of an idempotency key.
type IdempotencyKey struct {
	// Home names the instance that issued the key and executes its command.
	Home string `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the home that issued the key.
	Incarnation uint64 `cbor:"2,keyasint"`
	// ExpiresMillis is the expiry time, in milliseconds since the Unix epoch.
	ExpiresMillis int64  `cbor:"3,keyasint"`
	Nonce         uint64 `cbor:"4,keyasint"`
}

// ExpiresAt returns the time at which the key expires.
func (idempotencykey IdempotencyKey) ExpiresAt() time.Time {
	return time.UnixMilli(idempotencykey.ExpiresMillis)
}

// SignedKey is a key with the signature of the home that issued it.
type SignedKey struct {
	Key       IdempotencyKey `cbor:"1,keyasint"`
	Signature []byte         `cbor:"2,keyasint"`
}
