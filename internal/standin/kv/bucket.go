package kv

import "time"

// tokenBucket is a token bucket whose capacity is one second at its rate. The
// store's mutex guards it.
type tokenBucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

func newTokenBucket(rate float64) tokenBucket {
	return tokenBucket{rate: rate, tokens: rate, last: time.Now()}
}

// allow takes a token and reports whether there was one. A bucket with a rate of
// zero always allows.
func (b *tokenBucket) allow(now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
