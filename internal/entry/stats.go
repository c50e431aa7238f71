package entry

import "sync/atomic"

// Stats counts the requests of callers.
type Stats struct {
	// Requests counts all, Refused those that ended not-run, Unknown those
	// that may have run without a known outcome.
	Requests, Refused, Unknown atomic.Int64
	// Tokens counts tokens streamed to callers.
	Tokens atomic.Int64
	// Retries counts attempts after the first, Resumed the streams that went
	// on at another endpoint.
	Retries, Resumed atomic.Int64
	// Truncated counts streams that ended visibly broken.
	Truncated atomic.Int64
	// Split counts answers whose prompt ran at another endpoint, SplitFailed
	// those where that failed and one endpoint did both.
	Split, SplitFailed atomic.Int64
	// Gone counts callers that left before the end of their answer.
	Gone atomic.Int64
	// Replayed counts answers given from an earlier run of the same call.
	Replayed atomic.Int64
}
