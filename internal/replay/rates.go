package replay

import (
	"cmp"
	"time"
)

// bucket is a workspace's token bucket as a caller may count it.
type bucket struct {
	rate   Rate
	tokens float64
	at     time.Duration
}

// withinRates says for each request whether its workspace was within its rate
// when it was due. A request past the rate takes nothing from the bucket. The
// bucket runs in the time of the replay, not of the trace.
func withinRates(t *Trace, o Options) []bool {
	buckets := make(map[string]*bucket, len(o.Rates))
	for name, r := range o.Rates {
		buckets[name] = &bucket{rate: r, tokens: float64(r.Burst)}
	}
	within := make([]bool, len(t.Requests))
	for i := range t.Requests {
		r := &t.Requests[i]
		b := buckets[cmp.Or(r.Workspace, o.Workspace)]
		within[i] = b == nil || r.Route != "" || b.take(float64(r.tokens()), scaled(r.At, o.Scale))
	}
	return within
}

func (b *bucket) take(n float64, at time.Duration) bool {
	b.tokens = min(float64(b.rate.Burst), b.tokens+(at-b.at).Seconds()*float64(b.rate.Tokens))
	b.at = at
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}

// scaled returns a moment of the trace in the time of the replay.
func scaled(at time.Duration, scale float64) time.Duration {
	return time.Duration(float64(at) / scale)
}
