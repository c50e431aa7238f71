package kv

import (
	"maps"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Copy is the state of a store at one moment.
type Copy struct {
	keys      map[string]backing.KeyValue
	revision  backing.Revision
	leases    map[backing.LeaseID]time.Duration
	lastLease backing.LeaseID
}

// Copy returns the current state. Restore goes back to it.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{keys: maps.Clone(s.keys), revision: s.revision, lastLease: s.lastLease, leases: make(map[backing.LeaseID]time.Duration)}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// Restore makes the store what it was at the copy: what was written since is gone, leases of
// the copy run anew, and revisions and leases are given out again. Watches from a revision
// that it does not have fail with backing.ErrCompacted.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.keys, s.revision, s.lastLease = maps.Clone(c.keys), c.revision, c.lastLease
	s.history, s.compacted = nil, c.revision
	s.leases = make(map[backing.LeaseID]*lease)
	for id, ttl := range c.leases {
		l := &lease{id: id, ttl: ttl, expires: time.Now().Add(ttl), keys: make(map[string]struct{})}
		l.timer = time.AfterFunc(ttl, func() { s.expire(l) })
		s.leases[id] = l
	}
	for key, item := range s.keys {
		if l := s.leases[item.Lease]; l != nil {
			l.keys[key] = struct{}{}
		}
	}
	for w := range s.watchers {
		w.wake()
	}
}
