package replay

import (
	"strings"
	"sync"
	"time"
)

// avoidFor is how long an entry host that could not be reached is left out.
const avoidFor = time.Second

// entrySet spreads requests over the entry hosts in turn, as the platform's
// balancer does, and leaves out those that could not be reached of late. It is
// safe for concurrent use.
type entrySet struct {
	bases []string

	mu    sync.Mutex // guards all below
	next  int
	avoid []time.Time
}

func newEntrySet(entries []string) *entrySet {
	s := &entrySet{avoid: make([]time.Time, len(entries))}
	for _, e := range entries {
		s.bases = append(s.bases, strings.TrimRight(e, "/"))
	}
	return s
}

// pick returns the next entry host, by its index.
func (s *entrySet) pick() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for range s.bases {
		s.next = (s.next + 1) % len(s.bases)
		if now.After(s.avoid[s.next]) {
			return s.next
		}
	}
	s.next = (s.next + 1) % len(s.bases)
	return s.next
}

// unreachable leaves an entry host out for a while.
func (s *entrySet) unreachable(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoid[i] = time.Now().Add(avoidFor)
}
