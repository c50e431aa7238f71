package kv

import "time"

// bucket is a token bucket with one second of burst. The store's lock guards it.
type bucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

func newBucket(rate float64) bucket {
	return bucket{rate: rate, tokens: rate, last: time.Now()}
}

func (b *bucket) take(now time.Time) bool {
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
