package backing

import (
	"context"
	"time"
)

// Revision orders all changes of the store; it only grows. Zero means "absent".
type Revision int64

// LeaseID names a lease of the store. Zero means "no lease".
type LeaseID int64

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// KeyValue is one key with its value.
type KeyValue struct {
	Key   string
	Value []byte
	// Revision is the store revision of the last write of this key.
	Revision Revision
	// Lease is the lease that deletes the key when it ends; zero for none.
	Lease LeaseID
}

// Event is one change that a watch reports.
type Event struct {
	KeyValue
	// Deleted is true when the key went away; Value is then empty.
	Deleted bool
}

// Lease is what a grant or a renewal answers.
type Lease struct {
	ID  LeaseID
	TTL time.Duration
}

// Store is the platform's key-value service. All calls are linearizable.
// A call that returns ErrUnknown may have taken effect; one that returns
// ErrUnavailable has not.
type Store interface {
	// Get returns the key, or ErrNotFound.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns all keys with the prefix in key order, and the store's
	// revision at that moment.
	List(ctx context.Context, prefix string) ([]KeyValue, Revision, error)
	// CompareAndSwap writes value if the key's revision equals expect (zero:
	// the key must be absent), or returns ErrConflict. The key goes away with
	// the lease when lease is not zero.
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes the key if its revision equals expect, or returns ErrConflict.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch waits at most wait for changes of keys with the prefix that are
	// later than after. It returns them with the revision to go on from; no
	// events when the time is over. ErrCompacted asks the caller to List.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews the lease to its full TTL, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, id LeaseID) (Lease, error)
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
