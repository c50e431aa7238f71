package quota

import "time"

// Tenure is the right to grant tokens of a shard.
type Tenure struct {
	// Fence is the fencing number; it grows with each change of the owner.
	Fence int64
	// Fresh means that the shard never had another owner: its buckets are full.
	Fresh bool
}

// Ownership says which host owns the shards of one part. Its methods do not
// block and are safe for concurrent use.
type Ownership interface {
	// Owner returns the host that owns the shard, as far as this host knows,
	// and its fencing number, or zero where that is not known.
	Owner(shard int) (host string, fence int64, ok bool)
	// Owned says whether this host owns the shard at this moment, with all
	// margins of its lease. A host that gains the shard later waits out
	// GrantTTL from the moment at which this turned false.
	Owned(shard int) (Tenure, bool)
}

// Leased is the Ownership of a part whose shards are held under leases.
type Leased struct {
	// Holder returns the host that holds the shard's lease.
	Holder func(shard int) (host string, ok bool)
	// Held returns this host's right to the shard: the fencing number, and
	// the time by which everything done under it must have ended.
	Held func(shard int) (fence int64, deadline time.Time, ok bool)
	// Now is the clock of the deadline; nil means time.Now.
	Now func() time.Time
}

// Owner implements Ownership.
func (l Leased) Owner(shard int) (string, int64, bool) {
	host, ok := l.Holder(shard)
	return host, 0, ok
}

// Owned implements Ownership. No tenure is fresh: a lease does not tell
// whether somebody held the shard before.
func (l Leased) Owned(shard int) (Tenure, bool) {
	fence, deadline, ok := l.Held(shard)
	now := time.Now
	if l.Now != nil {
		now = l.Now
	}
	return Tenure{Fence: fence}, ok && now().Before(deadline)
}

// Sole is the Ownership of a host that is the only one of its deployment and
// is not restarted: its buckets are full when it starts.
type Sole struct {
	Host string
}

// Owner implements Ownership.
func (s Sole) Owner(int) (string, int64, bool) { return s.Host, 1, true }

// Owned implements Ownership.
func (s Sole) Owned(int) (Tenure, bool) { return Tenure{Fence: 1, Fresh: true}, true }

// None is the Ownership of a part without owners.
type None struct{}

// Owner implements Ownership.
func (None) Owner(int) (string, int64, bool) { return "", 0, false }

// Owned implements Ownership.
func (None) Owned(int) (Tenure, bool) { return Tenure{}, false }
