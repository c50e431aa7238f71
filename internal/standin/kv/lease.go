package kv

import (
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// lease is a granted lease. The store's mutex guards it.
type lease struct {
	id      backing.LeaseID
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
	keys    map[string]struct{}
}

// grant creates a lease. The caller must hold mu.
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

// liveLease returns the lease, or nil if it does not exist or has expired. It
// ends an expired lease. The caller must hold mu.
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

// renew restarts the TTL of the lease. The caller must hold mu.
func (s *Store) renew(l *lease) {
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
}

// expire runs when the timer of a lease fires. It rearms the timer if the lease
// was renewed in the meantime.
func (s *Store) expire(l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[l.id] != l {
		return
	}
	if remaining := time.Until(l.expires); remaining > 0 {
		l.timer.Reset(remaining)
		return
	}
	s.endLease(l, true)
}

// endLease deletes a lease and its keys, in key order. The caller must hold mu.
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
