package usage

import "sync/atomic"

// Stats contains the counters of a host's aggregator.
type Stats struct {
	// Writes counts successful writes of shard records.
	Writes atomic.Int64
	// Sealed counts sealed windows. Reported counts accepted report pages.
	Sealed, Reported atomic.Int64
	// ReportFailures counts report calls that failed or had an unknown outcome.
	ReportFailures atomic.Int64
	// DeferredBatches counts batches deferred because the shard's record was full. More shards
	// are needed if it keeps growing.
	DeferredBatches atomic.Int64
	// Failures counts shard steps that ended with an error.
	Failures atomic.Int64
}
