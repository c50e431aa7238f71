package idempotency

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"sync/atomic"
)

// claimID identifies one attempt to claim a key. It is unique across all
// processes, so that a writer recognises its own entry in the store.
type claimID [16]byte

// String returns the ID in hexadecimal, as it is sent to agents.
func (id claimID) String() string { return hex.EncodeToString(id[:]) }

// claimIDSource generates claim IDs: eight random bytes per process and a counter.
type claimIDSource struct {
	prefix  [8]byte
	counter atomic.Uint64
}

func newClaimIDSource() *claimIDSource {
	s := &claimIDSource{}
	_, _ = rand.Read(s.prefix[:]) // never fails, see crypto/rand
	return s
}

func (s *claimIDSource) next() claimID {
	var out claimID
	copy(out[:8], s.prefix[:])
	binary.BigEndian.PutUint64(out[8:], s.counter.Add(1))
	return out
}
