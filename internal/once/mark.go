package once

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"sync/atomic"
)

// mark is a writer mark: it is unique for each claim that any process ever
// tries to write, so that a writer recognises its own line in the store.
type mark [16]byte

// String returns the mark as it is sent to agents.
func (m mark) String() string { return hex.EncodeToString(m[:]) }

// markMaker makes marks: eight random bytes of the process and a counter.
type markMaker struct {
	process [8]byte
	last    atomic.Uint64
}

func newMarkMaker() *markMaker {
	m := &markMaker{}
	_, _ = rand.Read(m.process[:]) // never fails, see crypto/rand
	return m
}

func (m *markMaker) next() mark {
	var out mark
	copy(out[:8], m.process[:])
	binary.BigEndian.PutUint64(out[8:], m.last.Add(1))
	return out
}
