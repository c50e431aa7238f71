package idempotency

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// countedStore wraps a store; it applies a timeout to each call and counts the
// calls.
type countedStore struct {
	store   backing.Store
	timeout time.Duration
	stats   *Stats
}

// Get reads a key.
func (s *countedStore) Get(ctx context.Context, key string) (backing.KeyValue, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	s.stats.Reads.Add(1)
	return s.store.Get(ctx, key)
}

// CompareAndSwap writes a key if it has the expected revision.
func (s *countedStore) CompareAndSwap(ctx context.Context, key string, expect backing.Revision, value []byte, lease backing.LeaseID) (backing.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	s.stats.Writes.Add(1)
	return s.store.CompareAndSwap(ctx, key, expect, value, lease)
}

// Grant creates a lease.
func (s *countedStore) Grant(ctx context.Context, ttl time.Duration) (backing.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	s.stats.Writes.Add(1)
	return s.store.Grant(ctx, ttl)
}
