package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key identifies a claim. Equal idempotency keys of different workspaces or
// routes are different keys.
type Key struct {
	Workspace string
	Route     string
	// IdempotencyKey is chosen by the caller; empty if the caller sent none.
	IdempotencyKey string
}

// keyHash identifies a key in the store. The callers' keys are not stored.
type keyHash [16]byte

// hash returns a 128-bit hash of the key. The length of each part is hashed
// too, so that different keys have different hash inputs.
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

// shard returns the index of the key's shard, from 0 to n-1.
func (h keyHash) shard(n int) int {
	return int(binary.BigEndian.Uint32(h[:4]) % uint32(n))
}

// BodyHash identifies a request's method, path and body.
type BodyHash [16]byte

// HashBody returns the hash by which a repeat of a key is compared with the
// first request.
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
