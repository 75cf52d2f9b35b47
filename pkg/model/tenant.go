package model

import (
	"crypto/sha256"
	"encoding/hex"
)

// Tenant is a customer of the mesh. Its callers authenticate with keys, and the rate of
// their requests is bounded over all nodes together.
type Tenant struct {
	// Keys are the digests of the keys of its callers. The keys themselves are not stored.
	Keys []KeyDigest `json:"keys"`
	// Rank takes precedence over the ranks of routes where requests wait for a slot: the
	// lowest goes first.
	Rank int `json:"rank,omitempty"`
	// Rate is how many requests per second all nodes together admit; zero sets no bound.
	Rate float64 `json:"rate,omitempty"`
	// Burst is how many requests beyond the rate are admitted at once.
	Burst float64 `json:"burst,omitempty"`
}

// KeyDigest is the SHA-256 of a key. Nothing else of the key is stored.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String hides the digest, because a short key can be guessed from it.
func (KeyDigest) String() string { return "[redacted]" }

// GoString hides the digest from the %#v verb.
func (KeyDigest) GoString() string { return "model.KeyDigest{[redacted]}" }

// MarshalText implements encoding.TextMarshaler: lower-case hexadecimal.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return ErrMalformed.New("the digest of a key has the wrong length")
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return ErrMalformed.New("the digest of a key is not hexadecimal")
	}
	return nil
}
