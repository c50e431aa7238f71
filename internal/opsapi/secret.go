package opsapi

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// secretBytes is the length of a key's random part.
const secretBytes = 32

// secretPrefix begins every key, so that one that leaks is recognised.
const secretPrefix = "ak_"

// newSecret returns a new bearer key.
func newSecret() string {
	var b [secretBytes]byte
	rand.Read(b[:]) // Never fails.
	return secretPrefix + hex.EncodeToString(b[:])
}

// hashSecret returns the form in which a key is held.
func hashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
