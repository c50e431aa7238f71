package replay

import (
	"cmp"
	"time"
)

// tokenBucket models the token bucket of a workspace from the caller's side.
type tokenBucket struct {
	rate      Rate
	tokens    float64
	updatedAt time.Duration
}

// withinRates reports for each request whether its workspace is within its rate
// at the scheduled time. A request over the rate consumes nothing from the
// bucket. The buckets refill in replay time, not in trace time. Calls of plain
// services and requests of workspaces without a known rate are always within it.
func withinRates(t *Trace, o Options) []bool {
	buckets := make(map[string]*tokenBucket, len(o.Rates))
	for name, r := range o.Rates {
		buckets[name] = &tokenBucket{rate: r, tokens: float64(r.Burst)}
	}
	within := make([]bool, len(t.Requests))
	for i := range t.Requests {
		r := &t.Requests[i]
		b := buckets[cmp.Or(r.Workspace, o.Workspace)]
		within[i] = b == nil || r.Route != "" || b.take(float64(r.totalTokens()), replayTime(r.Offset, o.Speed))
	}
	return within
}

// take consumes n tokens at time at and reports whether the bucket had enough.
func (b *tokenBucket) take(n float64, at time.Duration) bool {
	b.tokens = min(float64(b.rate.Burst), b.tokens+(at-b.updatedAt).Seconds()*float64(b.rate.Tokens))
	b.updatedAt = at
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}

// replayTime converts a time in the trace to a time in the replay.
func replayTime(offset time.Duration, speed float64) time.Duration {
	return time.Duration(float64(offset) / speed)
}
