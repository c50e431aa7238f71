package kv

import (
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// lease is a granted lease. The store's lock guards it.
type lease struct {
	id      backing.LeaseID
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
	keys    map[string]struct{}
}

// grant creates a lease. Called with mu held.
func (s *Store) grant(ttl time.Duration) *lease {
	s.lastLease++
	l := &lease{
		id:      s.lastLease,
		ttl:     ttl,
		expires: time.Now().Add(ttl),
		keys:    make(map[string]struct{}),
	}
	l.timer = time.AfterFunc(ttl, func() { s.expire(l) })
	s.leases[l.id] = l
	return l
}

// liveLease returns the lease if it has not run out. Called with mu held.
func (s *Store) liveLease(id backing.LeaseID) *lease {
	l := s.leases[id]
	if l == nil {
		return nil
	}
	if !time.Now().Before(l.expires) {
		s.endLease(l, true)
		return nil
	}
	return l
}

func (s *Store) renew(l *lease) {
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
}

// expire runs when a lease's timer fires.
func (s *Store) expire(l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[l.id] != l {
		return
	}
	if left := time.Until(l.expires); left > 0 {
		l.timer.Reset(left)
		return
	}
	s.endLease(l, true)
}

// endLease deletes the lease and its keys. Called with mu held.
func (s *Store) endLease(l *lease, expired bool) {
	l.timer.Stop()
	delete(s.leases, l.id)
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.remove("", key, expired)
	}
}
