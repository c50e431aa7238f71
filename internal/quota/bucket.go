package quota

import (
	"slices"
	"time"
)

// micro is the number of units of a bucket's level in one token.
const micro = 1_000_000

// bucket is the exact token bucket of one part of one workspace. The tokens
// that holders have and did not report spent count as still in it: level and
// outstanding together never pass the burst.
type bucket struct {
	limit Limit
	// level is what may be granted, in millionths of a token.
	level int64
	// at is the time up to which level has accrued; it may lie ahead, and the
	// bucket begins to fill then.
	at time.Time
	// lost is the tokens that did not accrue of late because outstanding ones
	// left no room.
	lost float64
	// grants are the open accounts by holder.
	grants map[string]*grant
}

// newBucket returns a bucket that began to fill, empty, at start, or that is
// full if fresh.
func newBucket(l Limit, start time.Time, fresh bool) *bucket {
	b := &bucket{limit: l, at: start, grants: make(map[string]*grant)}
	if fresh {
		b.level = l.Burst * micro
	}
	return b
}

// advance accrues up to now and drops the accounts that have expired.
func (b *bucket) advance(now time.Time) {
	var expired []string
	for holder, g := range b.grants {
		if !g.expires.After(now) {
			expired = append(expired, holder)
		}
	}
	slices.SortFunc(expired, func(x, y string) int {
		return b.grants[x].expires.Compare(b.grants[y].expires)
	})
	for _, holder := range expired {
		b.accrue(b.grants[holder].expires)
		delete(b.grants, holder)
	}
	b.accrue(now)
}

// accrue adds the rate up to now, as far as the burst allows.
func (b *bucket) accrue(now time.Time) {
	if !now.After(b.at) {
		return
	}
	elapsed := now.Sub(b.at)
	b.at = now
	missing := b.room() - b.level
	b.countLost(elapsed, missing)
	if missing <= 0 || b.limit.Rate <= 0 {
		return
	}
	// One unit takes 1000/rate nanoseconds.
	if int64(elapsed) >= missing*1000/b.limit.Rate {
		elapsed = time.Duration(missing*1000/b.limit.Rate) + 1
	}
	b.level += min(missing, b.limit.Rate*int64(elapsed)/1000)
}

// countLost adds what does not accrue in the elapsed time, up to a second's worth.
func (b *bucket) countLost(elapsed time.Duration, missing int64) {
	gain := float64(b.limit.Rate) * elapsed.Seconds()
	if lost := gain - float64(missing)/micro; lost > 0 && b.room() < b.limit.Burst*micro {
		b.lost = min(float64(b.limit.Rate), b.lost+lost)
	}
}

// reclaim is what a holder should declare spent when its want is not met: no
// more than the outstanding tokens kept from accruing, so that most pending
// ones can still come back.
func (b *bucket) reclaim(lacking int64) int64 {
	n := min(lacking, int64(b.lost))
	if n <= 0 {
		return 0
	}
	b.lost -= float64(n)
	return n
}

// room is the highest level that the burst allows beside the outstanding tokens.
func (b *bucket) room() int64 { return max(0, b.limit.Burst-b.outstanding()) * micro }

// setLimit changes rate and burst from now on.
func (b *bucket) setLimit(l Limit) {
	if b.limit == l {
		return
	}
	b.limit = l
	b.level = min(b.level, b.room())
}

// outstanding is the tokens that holders may still spend.
func (b *bucket) outstanding() int64 {
	var sum int64
	for _, g := range b.grants {
		sum += g.outstanding()
	}
	return sum
}

// take grants up to want whole tokens.
func (b *bucket) take(want int64) int64 {
	got := min(max(0, want), b.level/micro)
	b.level -= got * micro
	return got
}

// full says that the bucket need not be remembered.
func (b *bucket) full() bool {
	return len(b.grants) == 0 && b.level >= b.limit.Burst*micro
}
