package quota

import (
	"slices"
	"time"
)

// Consumption is the number of tokens that a workspace consumed at a point in
// time.
type Consumption struct {
	At        time.Time
	Workspace string
	Tokens    int64
}

// Excess is a consumption that exceeds the level of its workspace's bucket.
type Excess struct {
	Consumption
	// Over is the number of tokens above the bucket's level.
	Over int64
}

// Audit replays consumptions against one exact token bucket per workspace, full
// at the first consumption, and returns those that exceed it. After an excess
// the bucket continues empty. The log is sorted by time in a copy.
func Audit(limits map[string]Limit, log []Consumption) []Excess {
	log = slices.Clone(log)
	slices.SortStableFunc(log, func(a, b Consumption) int { return a.At.Compare(b.At) })
	buckets := make(map[string]*auditBucket)
	var found []Excess
	for _, c := range log {
		b := buckets[c.Workspace]
		if b == nil {
			l := limits[c.Workspace]
			b = &auditBucket{limit: l, level: l.Burst * auditUnitsPerToken, at: c.At}
			buckets[c.Workspace] = b
		}
		if over := b.consume(c); over > 0 {
			found = append(found, Excess{Consumption: c, Over: over})
		}
	}
	return found
}

// auditUnitsPerToken is the resolution of an auditBucket's level: a rate of one
// token per second adds one unit per nanosecond.
const auditUnitsPerToken = int64(time.Second)

type auditBucket struct {
	limit Limit
	level int64
	at    time.Time
}

// consume returns the number of tokens by which c exceeds the bucket, rounded
// up.
func (b *auditBucket) consume(c Consumption) int64 {
	elapsed := int64(c.At.Sub(b.at))
	b.at = c.At
	headroom := b.limit.Burst*auditUnitsPerToken - b.level
	if b.limit.Rate > 0 && elapsed > headroom/b.limit.Rate {
		b.level = b.limit.Burst * auditUnitsPerToken
	} else {
		b.level += elapsed * b.limit.Rate
	}
	b.level -= c.Tokens * auditUnitsPerToken
	if b.level >= 0 {
		return 0
	}
	over := (-b.level + auditUnitsPerToken - 1) / auditUnitsPerToken
	b.level = 0
	return over
}
