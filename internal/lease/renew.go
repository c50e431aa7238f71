package lease

import (
	"context"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// renew renews the lease when it is due. A lease that the store no longer has
// is forgotten with all its pieces.
func (s *Set) renew(ctx context.Context) {
	s.mu.Lock()
	id, granted := s.lease, s.granted
	s.mu.Unlock()
	before := s.o.Clock.Now()
	if id == 0 || before.Since(granted) < s.o.Settings.Renew {
		return
	}
	if s.idle() {
		// It holds no keys, and ends by itself.
		s.forget(id)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.o.Settings.CallTimeout)
	defer cancel()
	s.stats.Calls.Add(1)
	answer, err := s.o.Store.KeepAlive(ctx, id)
	if errors.Is(err, backing.ErrLeaseExpired) || errors.Is(err, backing.ErrNotFound) {
		s.stats.Expired.Add(1)
		s.forget(id)
		return
	}
	if err != nil {
		// A store that is away may hold its leases meanwhile: this one is
		// renewed until the store says that it has ended. It is not used beyond
		// its time, see left.
		s.stats.Failures.Add(1)
		return
	}
	s.extend(id, before, answer)
}

// extend counts the lease from a moment before the call was sent.
func (s *Set) extend(id backing.LeaseID, before Instant, answer backing.Lease) {
	if s.flaws.countsFromAnswer {
		before = s.o.Clock.Now()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease != id {
		return
	}
	s.granted = before
	s.ttl = answer.TTL
}

func (s *Set) forget(id backing.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease != id {
		return
	}
	s.lease = 0
	clear(s.pieces)
	clear(s.unsure)
}

// idle says whether nothing is held or may be held under the lease.
func (s *Set) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pieces) == 0 && len(s.unsure) == 0
}

// current returns a lease that can be used, granting one when there is none.
func (s *Set) current(ctx context.Context) (backing.LeaseID, bool) {
	s.mu.Lock()
	id, left := s.lease, s.left(s.o.Clock.Now())
	s.mu.Unlock()
	if id != 0 {
		return id, left > 0
	}
	ctx, cancel := context.WithTimeout(ctx, s.o.Settings.CallTimeout)
	defer cancel()
	before := s.o.Clock.Now()
	s.stats.Calls.Add(1)
	granted, err := s.o.Store.Grant(ctx, s.o.Settings.TTL)
	if err != nil {
		// A lease whose grant was lost holds no keys and ends by itself.
		s.stats.Failures.Add(1)
		return 0, false
	}
	s.mu.Lock()
	s.lease = granted.ID
	s.mu.Unlock()
	s.extend(granted.ID, before, granted)
	return granted.ID, true
}
