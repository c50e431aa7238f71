package suspect

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// survivorsPerGeneration bounds the segments remembered as answered in one
	// generation; two are kept.
	survivorsPerGeneration = 32 << 10
	// survivorsTTL is the longest duration of a generation.
	survivorsTTL = 5 * time.Minute
)

// survivors remembers when an answer with each segment last began. It forgets segments
// that have not been used for a generation, and the least recent ones when there are too
// many. It is not safe for concurrent use.
type survivors struct {
	startedAt time.Time
	// current and previous hold the times since startedAt, by key.
	current, previous map[uint64]time.Duration
	rotatedAt         time.Time
}

func newSurvivors(now time.Time) *survivors {
	return &survivors{startedAt: now, current: make(map[uint64]time.Duration), rotatedAt: now}
}

// key returns a hash of the segment and its service.
func (s Segment) key() uint64 { return s.Hash ^ xxhash.Sum64String(s.Service) }

// add records an answer with the segment that began at the given time.
func (s *survivors) add(now time.Time, segment Segment, begunAt time.Time) {
	if len(s.current) >= survivorsPerGeneration || now.Sub(s.rotatedAt) > survivorsTTL {
		s.previous, s.current, s.rotatedAt = s.current, make(map[uint64]time.Duration), now
	}
	key, at := segment.key(), begunAt.Sub(s.startedAt)
	if known, ok := s.last(key); !ok || at > known {
		s.current[key] = at
	} else {
		s.current[key] = known
	}
}

// remove forgets an answer with the segment that began at the given time, if no later one
// is known.
func (s *survivors) remove(segment Segment, begunAt time.Time) {
	key, at := segment.key(), begunAt.Sub(s.startedAt)
	if known, ok := s.last(key); ok && known <= at {
		delete(s.current, key)
		delete(s.previous, key)
	}
}

// answered returns when the last answer with the segment began; false if none is
// remembered.
func (s *survivors) answered(segment Segment) (time.Time, bool) {
	at, ok := s.last(segment.key())
	return s.startedAt.Add(at), ok
}

func (s *survivors) last(key uint64) (time.Duration, bool) {
	if at, ok := s.current[key]; ok {
		return at, true
	}
	at, ok := s.previous[key]
	return at, ok
}
