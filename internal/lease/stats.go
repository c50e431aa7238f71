package lease

import "sync/atomic"

// Stats holds the counters of a host's leases.
type Stats struct {
	// Calls counts calls to the store.
	Calls atomic.Int64
	// Failures counts calls that failed, except creates that lost to another host.
	Failures atomic.Int64
	// Expired counts leases that expired in the store.
	Expired atomic.Int64
	// Acquired and Released count the shards that were acquired and released.
	Acquired, Released atomic.Int64
}
