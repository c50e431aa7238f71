package idempotency

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"sync/atomic"
)

// claimID identifies one attempt to claim a key. It is unique across all processes,
// so that a writer recognises its own entry in the store.
type claimID [16]byte

// String returns the ID in hexadecimal, as it is sent to agents.
func (m claimID) String() string { return hex.EncodeToString(m[:]) }

// claimIDSource generates claim IDs: eight random bytes per process and a counter.
type claimIDSource struct {
	prefix  [8]byte
	counter atomic.Uint64
}

func newClaimIDSource() *claimIDSource {
	m := &claimIDSource{}
	_, _ = rand.Read(m.prefix[:]) // never fails, see crypto/rand
	return m
}

func (m *claimIDSource) next() claimID {
	var out claimID
	copy(out[:8], m.prefix[:])
	binary.BigEndian.PutUint64(out[8:], m.counter.Add(1))
	return out
}
