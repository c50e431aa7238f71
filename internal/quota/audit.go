package quota

import (
	"slices"
	"time"
)

// Consumption is tokens that a workspace consumed at a moment.
type Consumption struct {
	At        time.Time
	Workspace string
	Tokens    int64
}

// Excess is a consumption that its workspace's bucket did not hold.
type Excess struct {
	Consumption
	// Over is the tokens that were not in the bucket.
	Over int64
}

// Audit replays consumptions against one exact token bucket a workspace, full
// at the first consumption, and returns those that exceed it. After an excess
// the bucket goes on empty. It sorts a copy by time.
func Audit(limits map[string]Limit, log []Consumption) []Excess {
	log = slices.Clone(log)
	slices.SortStableFunc(log, func(a, b Consumption) int { return a.At.Compare(b.At) })
	buckets := make(map[string]*auditBucket)
	var found []Excess
	for _, c := range log {
		b := buckets[c.Workspace]
		if b == nil {
			l := limits[c.Workspace]
			b = &auditBucket{limit: l, level: l.Burst * auditUnit, at: c.At}
			buckets[c.Workspace] = b
		}
		if over := b.consume(c); over > 0 {
			found = append(found, Excess{Consumption: c, Over: over})
		}
	}
	return found
}

// auditUnit is the number of an auditBucket's units in one token: a rate of
// one token a second adds one unit each nanosecond.
const auditUnit = int64(time.Second)

type auditBucket struct {
	limit Limit
	level int64
	at    time.Time
}

// consume returns the tokens by which c exceeds the bucket, rounded up.
func (b *auditBucket) consume(c Consumption) int64 {
	elapsed := int64(c.At.Sub(b.at))
	b.at = c.At
	missing := b.limit.Burst*auditUnit - b.level
	if b.limit.Rate > 0 && elapsed > missing/b.limit.Rate {
		b.level = b.limit.Burst * auditUnit
	} else {
		b.level += elapsed * b.limit.Rate
	}
	b.level -= c.Tokens * auditUnit
	if b.level >= 0 {
		return 0
	}
	over := (-b.level + auditUnit - 1) / auditUnit
	b.level = 0
	return over
}
