package quota

import "github.com/cespare/xxhash/v2"

// Part is one of the two parts of a workspace's rate and burst. Each part has its
// own owner.
type Part uint8

// The parts of a rate.
const (
	// Base is owned without a lease, until the owner releases it or is removed
	// from the host list. It remains available during a store outage.
	Base Part = iota
	// Surplus is owned under a lease of the store.
	Surplus

	partCount = 2
)

// Shards is the number of shards that workspaces are divided into.
const Shards = 64

// ShardOf returns the shard of a workspace, in [0, Shards).
func ShardOf(workspace string) int { return int(xxhash.Sum64String(workspace) % Shards) }

// Limit is a token bucket's rate, in tokens per second, and its size, in
// tokens.
type Limit struct {
	Rate  int64
	Burst int64
}

// part returns the part's share of the limit. The shares add up to the limit.
func (l Limit) part(p Part, basePercent int64) Limit {
	base := Limit{Rate: l.Rate * basePercent / percent, Burst: l.Burst * basePercent / percent}
	if p == Base {
		return base
	}
	return Limit{Rate: l.Rate - base.Rate, Burst: l.Burst - base.Burst}
}

const percent = 100
