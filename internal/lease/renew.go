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
		s.stats.Failures.Add(1)
		s.forgetOverdue(id)
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

// forgetOverdue forgets a lease that the store has dropped by now, however
// slow its clock. It is not renewed any more: its keys are gone.
func (s *Set) forgetOverdue(id backing.LeaseID) {
	s.mu.Lock()
	overdue := s.o.Clock.Now().Since(s.granted) > s.ttl+s.o.Settings.Margin
	s.mu.Unlock()
	if overdue {
		s.forget(id)
	}
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
