package idempotency

import (
	"encoding/base64"

	"github.com/pkg/errors"
)

// errBadHash means that a stored hash has a wrong length or is not valid base64.
var errBadHash = errors.New("malformed hash in a claim record")

func encodeHash(b [16]byte) ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, b[:]), nil
}

func decodeHash(dst *[16]byte, text []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(raw) != len(dst) {
		return errBadHash
	}
	copy(dst[:], raw)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (h keyHash) MarshalText() ([]byte, error) { return encodeHash(h) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *keyHash) UnmarshalText(text []byte) error { return decodeHash((*[16]byte)(h), text) }

// MarshalText implements encoding.TextMarshaler.
func (h BodyHash) MarshalText() ([]byte, error) { return encodeHash(h) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *BodyHash) UnmarshalText(text []byte) error { return decodeHash((*[16]byte)(h), text) }

// MarshalText implements encoding.TextMarshaler.
func (id claimID) MarshalText() ([]byte, error) { return encodeHash(id) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *claimID) UnmarshalText(text []byte) error { return decodeHash((*[16]byte)(id), text) }
