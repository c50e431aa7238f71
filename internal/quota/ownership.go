package quota

import "time"

// Tenure is the right to grant the tokens of a shard.
type Tenure struct {
	// Fence is the fencing token. It increases with each change of owner.
	Fence int64
	// FirstOwner reports whether the shard has never had another owner. Its
	// buckets then start full.
	FirstOwner bool
}

// Ownership determines which host owns the shards of one part. Its methods do
// not block and are safe for concurrent use.
type Ownership interface {
	// Owner returns the host that owns the shard, as far as this host knows,
	// and its fencing token, or zero if that is unknown.
	Owner(shard int) (host string, fence int64, ok bool)
	// Owned reports whether this host owns the shard at present, including all
	// safety margins of its lease. The next owner waits GrantTTL from the
	// moment at which Owned starts to return false.
	Owned(shard int) (Tenure, bool)
}

// Leased is the Ownership of a part whose shards are assigned by leases.
type Leased struct {
	// LeaseHolder returns the host that holds the shard's lease.
	LeaseHolder func(shard int) (host string, ok bool)
	// OwnLease returns this host's lease of the shard: the fencing token and the
	// deadline by which all work under the lease must have ended.
	OwnLease func(shard int) (fence int64, deadline time.Time, ok bool)
	// Now is the clock for the deadline; nil means time.Now.
	Now func() time.Time
}

// Owner implements Ownership.
func (l Leased) Owner(shard int) (string, int64, bool) {
	host, ok := l.LeaseHolder(shard)
	return host, 0, ok
}

// Owned implements Ownership. FirstOwner is always false, because a lease does
// not show whether the shard was owned before.
func (l Leased) Owned(shard int) (Tenure, bool) {
	fence, deadline, ok := l.OwnLease(shard)
	now := time.Now
	if l.Now != nil {
		now = l.Now
	}
	return Tenure{Fence: fence}, ok && now().Before(deadline)
}

// SingleHost is the Ownership of the only host of a deployment, which is never
// restarted. Its buckets are full when it starts.
type SingleHost struct {
	Host string
}

// Owner implements Ownership.
func (s SingleHost) Owner(int) (string, int64, bool) { return s.Host, 1, true }

// Owned implements Ownership.
func (s SingleHost) Owned(int) (Tenure, bool) { return Tenure{Fence: 1, FirstOwner: true}, true }

// NoOwner is the Ownership of a part without owners.
type NoOwner struct{}

// Owner implements Ownership.
func (NoOwner) Owner(int) (string, int64, bool) { return "", 0, false }

// Owned implements Ownership.
func (NoOwner) Owned(int) (Tenure, bool) { return Tenure{}, false }
