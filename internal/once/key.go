package once

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key names a claim. Keys of different workspaces or routes never meet.
type Key struct {
	Workspace string
	Route     string
	// IdempotencyKey is the caller's; empty means that the caller sent none.
	IdempotencyKey string
}

// keyHash identifies a key in the store; callers' keys are not stored.
type keyHash [16]byte

// hash maps the key to 128 bits. Lengths are hashed too, so that no two
// different keys share their input.
func (k Key) hash() keyHash {
	h := sha256.New()
	for _, part := range []string{k.Workspace, k.Route, k.IdempotencyKey} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	var out keyHash
	copy(out[:], h.Sum(nil))
	return out
}

// shard returns the shard of the hash among n.
func (h keyHash) shard(n int) int {
	return int(binary.BigEndian.Uint32(h[:4]) % uint32(n))
}

// BodyHash identifies a request's method, path and body.
type BodyHash [16]byte

// HashBody returns the hash of a request for comparison with a repeat of its key.
func HashBody(method, path string, body []byte) BodyHash {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	var out BodyHash
	copy(out[:], h.Sum(nil))
	return out
}
