package lease

import "sync/atomic"

// Stats holds the counters of a host's leases.
type Stats struct {
	// Calls counts calls to the store.
	Calls atomic.Int64
	// Failures counts calls that the store did not respond to.
	Failures atomic.Int64
	// Expired counts leases that expired in the store.
	Expired atomic.Int64
	// Acquired counts acquired shards, Released released ones.
	Acquired, Released atomic.Int64
}
