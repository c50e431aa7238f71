package entry

import "sync/atomic"

// Stats holds counters since the start of the server. It is safe for concurrent use.
type Stats struct {
	// Requests counts all requests. Refused counts requests that failed as not-run.
	// MayHaveRun counts requests that failed as may-have-run.
	Requests, Refused, MayHaveRun atomic.Int64
	// Tokens counts the output tokens written to responses.
	Tokens atomic.Int64
	// Retries counts repeated attempts of requests without output. Resumed counts
	// how often a started response continued on another endpoint.
	Retries, Resumed atomic.Int64
	// Truncated counts streams that ended with an error after they had started.
	Truncated atomic.Int64
	// Avoided counts attempts that went to another endpoint than one that had sent too
	// much.
	Avoided atomic.Int64
	// Split counts completed transfers of a KV cache from a prefill to a decode
	// endpoint. SplitFailed counts failed ones, after which one endpoint ran both
	// phases.
	Split, SplitFailed atomic.Int64
	// CallerDisconnects counts callers that disconnected before the end of their
	// response.
	CallerDisconnects atomic.Int64
	// Replayed counts responses replayed from an earlier run of the same call.
	Replayed atomic.Int64
}
