package quota

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
	// Owner returns the host that owns the shard, as far as this host knows.
	Owner(shard int) (host string, fence int64, ok bool)
	// Owned says whether this host owns the shard at this moment, with all
	// margins of its lease. A host that gains the shard later waits out
	// GrantTTL from the moment at which this turned false.
	Owned(shard int) (Tenure, bool)
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
