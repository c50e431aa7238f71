package backing

import (
	"context"
	"time"
)

// Revision orders the changes of the store, also across its restorations: it increases with
// every change. Zero means that a key is absent. See NewRevision.
type Revision int64

// LeaseID identifies a lease of the store. Zero means no lease. It is one within an era of the
// store; see EraLeases.
type LeaseID int64

// MaxValueBytes is the maximum size of a value in the store, in bytes.
const MaxValueBytes = 1 << 20

// KeyValue is a key with its value and metadata.
type KeyValue struct {
	Key   string
	Value []byte
	// Revision is the store revision of the last write of this key.
	Revision Revision
	// Lease is the lease to which the key is attached; the key is deleted when
	// the lease ends. Zero means none.
	Lease LeaseID
}

// Event is one change that a watch reports.
type Event struct {
	KeyValue
	// Deleted is true if the key was deleted; Value is then empty.
	Deleted bool
}

// Lease is the result of a grant or a renewal.
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
	// revision at the time of the read.
	List(ctx context.Context, prefix string) ([]KeyValue, Revision, error)
	// CompareAndSwap writes value if the key's revision equals expect (zero:
	// the key must be absent), or returns ErrConflict. If lease is not zero,
	// the key is deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes the key if its revision equals expect, or returns ErrConflict.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch blocks until a key with the prefix has changed since the revision
	// after, for at most the duration wait. It returns the events and the
	// revision to continue from, or no events if wait elapses. On ErrCompacted
	// the caller must call List.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews the lease to its full TTL, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, id LeaseID) (Lease, error)
	// Revoke ends the lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
}
