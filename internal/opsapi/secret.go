package opsapi

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// secretBytes is the length of the random part of a secret.
const secretBytes = 32

// secretPrefix starts every secret, so that leaked secrets can be recognised.
const secretPrefix = "ak_"

// newSecret generates the secret of a key, which callers send as bearer token.
func newSecret() string {
	var b [secretBytes]byte
	rand.Read(b[:]) // Never fails.
	return secretPrefix + hex.EncodeToString(b[:])
}

// hashSecret returns the lower-case hex SHA-256 of a secret, the only form in
// which a secret is stored.
func hashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
