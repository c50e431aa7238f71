package kv

import (
	"maps"
	"strings"
)

// LeasePrefix is the prefix under which calls on leases are counted, which
// have no key.
const LeasePrefix = "(lease)"

// otherPrefix takes the calls of prefixes beyond maxPrefixes.
const otherPrefix = "(other)"

// Counts are the calls that reached the store, refused ones included.
type Counts struct {
	// Total counts calls by operation.
	Total map[Op]int64 `json:"total"`
	// ByPrefix counts calls by the key's first path segment and operation.
	ByPrefix map[string]map[Op]int64 `json:"by_prefix"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
	// Refused counts calls that failed because the store was down or the
	// client was cut off, Limited those above the rate, Lost lost answers.
	Refused int64 `json:"refused"`
	Limited int64 `json:"limited"`
	Lost    int64 `json:"lost"`
}

// Reads is the number of reads, watches included.
func (c Counts) Reads() int64 {
	return c.Total[OpGet] + c.Total[OpList] + c.Total[OpWatch]
}

// Writes is the number of all other calls.
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
	by := make(map[string]map[Op]int64, len(c.ByPrefix))
	for prefix, ops := range c.ByPrefix {
		by[prefix] = maps.Clone(ops)
	}
	c.ByPrefix = by
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
