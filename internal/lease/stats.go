package lease

import "sync/atomic"

// Stats counts what a host's leases cost and did.
type Stats struct {
	// Calls counts calls of the store.
	Calls atomic.Int64
	// Failures counts calls that the store did not answer.
	Failures atomic.Int64
	// Expired counts leases that the store dropped.
	Expired atomic.Int64
	// Taken and Released count pieces.
	Taken, Released atomic.Int64
}
