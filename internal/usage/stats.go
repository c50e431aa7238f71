package usage

import "sync/atomic"

// Stats counts what a host's keepers did.
type Stats struct {
	// Writes counts writes of shard records.
	Writes atomic.Int64
	// Sealed counts windows, Reported pages.
	Sealed, Reported atomic.Int64
	// ReportFailures counts pages that the report interface did not take.
	ReportFailures atomic.Int64
	// Full counts batches that did not fit into a shard's record yet; more
	// shards are needed when it grows.
	Full atomic.Int64
	// Failures counts steps that ended early.
	Failures atomic.Int64
}
