package kv

import (
	"maps"
	"strings"
)

// LeasePrefix is the entry of Counts.ByPrefix for calls on leases, which have no
// key.
const LeasePrefix = "(lease)"

// otherPrefix is the entry of Counts.ByPrefix for all prefixes beyond
// maxPrefixes.
const otherPrefix = "(other)"

// Counts counts the calls that reached the store, including refused ones.
type Counts struct {
	// Total counts calls by operation.
	Total map[Op]int64 `json:"total"`
	// ByPrefix counts calls by the key's first path segment and operation.
	ByPrefix map[string]map[Op]int64 `json:"by_prefix"`
	// Waiting is the number of watches currently waiting.
	Waiting int `json:"waiting"`
	// Refused counts calls that failed because the store was down or silent, for
	// all clients or for the calling one.
	Refused int64 `json:"refused"`
	// Limited counts calls refused by the rate limit.
	Limited int64 `json:"limited"`
	// Lost counts executed writes whose answer was lost because of LoseNext,
	// LoseAnswers or DelayWrites.
	Lost int64 `json:"lost"`
}

// Reads returns the number of reads, including watches.
func (c Counts) Reads() int64 {
	return c.Total[OpGet] + c.Total[OpList] + c.Total[OpWatch]
}

// Writes returns the number of all other calls, including those on leases.
func (c Counts) Writes() int64 {
	var n int64
	for op, count := range c.Total {
		if op.writes() {
			n += count
		}
	}
	return n
}

func (c *Counts) add(op Op, key string) {
	c.Total[op]++
	prefix := countPrefix(op, key)
	if c.ByPrefix[prefix] == nil {
		if len(c.ByPrefix) >= maxPrefixes {
			prefix = otherPrefix
		}
		if c.ByPrefix[prefix] == nil {
			c.ByPrefix[prefix] = make(map[Op]int64)
		}
	}
	c.ByPrefix[prefix][op]++
}

func (c Counts) clone() Counts {
	c.Total = maps.Clone(c.Total)
	byPrefix := make(map[string]map[Op]int64, len(c.ByPrefix))
	for prefix, ops := range c.ByPrefix {
		byPrefix[prefix] = maps.Clone(ops)
	}
	c.ByPrefix = byPrefix
	return c
}

func newCounts() Counts {
	return Counts{Total: make(map[Op]int64), ByPrefix: make(map[string]map[Op]int64)}
}

func countPrefix(op Op, key string) string {
	switch op {
	case OpGrant, OpKeepAlive, OpRevoke:
		return LeasePrefix
	}
	key = strings.TrimPrefix(key, "/")
	first, _, _ := strings.Cut(key, "/")
	return first
}
