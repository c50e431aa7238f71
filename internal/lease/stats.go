package lease

import "sync/atomic"

// Stats holds the counters of a host's leases.
type Stats struct {
	// Calls counts calls to the store, except the revocation in Close.
	Calls atomic.Int64
	// Failures counts failed grants, renewals and reads, and creates that failed
	// with ErrUnavailable.
	Failures atomic.Int64
	// Expired counts leases that expired in the store.
	Expired atomic.Int64
	// Acquired and Released count the shards that were acquired and released.
	Acquired, Released atomic.Int64
}
