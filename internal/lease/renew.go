package lease

import (
	"context"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// renew renews the lease if renewal is due. If the lease has expired in the
// store, renew drops it with all its shards.
func (s *Set) renew(ctx context.Context) {
	s.mu.Lock()
	id, grantedAt := s.lease, s.grantedAt
	s.mu.Unlock()
	sentAt := s.opts.Clock.Now()
	if id == 0 || sentAt.Since(grantedAt) < s.opts.Settings.RenewInterval {
		return
	}
	if s.idle() {
		// The lease has no keys and expires without a call.
		s.dropLease(id)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Settings.CallTimeout)
	defer cancel()
	s.stats.Calls.Add(1)
	response, err := s.opts.Store.KeepAlive(ctx, id)
	if errors.Is(err, backing.ErrLeaseExpired) || errors.Is(err, backing.ErrNotFound) {
		s.stats.Expired.Add(1)
		s.dropLease(id)
		return
	}
	if err != nil {
		// The store may retain its leases during an outage, so the lease is renewed
		// until the store reports that it has expired. It is not used after its
		// TTL in the meantime; see remaining.
		s.stats.Failures.Add(1)
		return
	}
	s.extend(id, sentAt, response)
}

// extend measures the lease from sentAt, a time before the call was sent.
func (s *Set) extend(id backing.LeaseID, sentAt Instant, response backing.Lease) {
	if s.faults.countsFromResponse {
		sentAt = s.opts.Clock.Now()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease != id {
		return
	}
	s.grantedAt = sentAt
	s.ttl = response.TTL
}

// dropLease drops the lease and its shards, unless another lease replaced it.
func (s *Set) dropLease(id backing.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease != id {
		return
	}
	s.lease = 0
	clear(s.shards)
	clear(s.pendingCreates)
}

// idle reports whether no key exists or may exist under the lease.
func (s *Set) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.shards) == 0 && len(s.pendingCreates) == 0
}

// usableLease returns the lease and whether it may be used. It obtains a lease if
// there is none.
func (s *Set) usableLease(ctx context.Context) (backing.LeaseID, bool) {
	s.mu.Lock()
	id, remaining := s.lease, s.remaining(s.opts.Clock.Now())
	s.mu.Unlock()
	if id != 0 {
		return id, remaining > 0
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Settings.CallTimeout)
	defer cancel()
	sentAt := s.opts.Clock.Now()
	s.stats.Calls.Add(1)
	granted, err := s.opts.Store.Grant(ctx, s.opts.Settings.TTL)
	if err != nil {
		// A lease whose grant response was lost has no keys and expires.
		s.stats.Failures.Add(1)
		return 0, false
	}
	s.mu.Lock()
	s.lease = granted.ID
	s.mu.Unlock()
	s.extend(granted.ID, sentAt, granted)
	return granted.ID, true
}
