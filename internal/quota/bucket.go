package quota

import (
	"slices"
	"time"
)

// microsPerToken is the resolution of a bucket's level.
const microsPerToken = 1_000_000

// bucket is the exact token bucket of one part of one workspace. Tokens that
// are granted and not yet reported as spent count as still in the bucket: the
// sum of level and outstanding tokens never exceeds the burst.
type bucket struct {
	limit Limit
	// level is what can be granted, in millionths of a token.
	level int64
	// at is the time up to which level has accrued. It may lie in the future;
	// the bucket starts to fill then.
	at time.Time
	// unaccrued is the number of tokens that recently failed to accrue because
	// outstanding tokens left no room.
	unaccrued float64
	// grants are the open accounts by holder.
	grants map[string]*grant
}

// newBucket returns a bucket that is empty at start and fills from then on, or
// that is full if startFull is set.
func newBucket(l Limit, start time.Time, startFull bool) *bucket {
	b := &bucket{limit: l, at: start, grants: make(map[string]*grant)}
	if startFull {
		b.level = l.Burst * microsPerToken
	}
	return b
}

// advance accrues tokens up to now and drops expired accounts.
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

// accrue adds tokens at the rate up to now, within the burst.
func (b *bucket) accrue(now time.Time) {
	if !now.After(b.at) {
		return
	}
	elapsed := now.Sub(b.at)
	b.at = now
	headroom := b.maxLevel() - b.level
	b.recordUnaccrued(elapsed, headroom)
	if headroom <= 0 || b.limit.Rate <= 0 {
		return
	}
	// One unit takes 1000/rate nanoseconds.
	if int64(elapsed) > headroom*1000/b.limit.Rate {
		elapsed = time.Duration(headroom*1000/b.limit.Rate) + 1
	}
	b.level += min(headroom, b.limit.Rate*int64(elapsed)/1000)
}

// recordUnaccrued adds the tokens that do not accrue in the elapsed time, up to
// one second's worth in total. headroom is in millionths of a token.
func (b *bucket) recordUnaccrued(elapsed time.Duration, headroom int64) {
	accrued := float64(b.limit.Rate) * elapsed.Seconds()
	if excess := accrued - float64(headroom)/microsPerToken; excess > 0 && b.maxLevel() < b.limit.Burst*microsPerToken {
		b.unaccrued = min(float64(b.limit.Rate), b.unaccrued+excess)
	}
}

// reclaim returns how many pending tokens a holder should report as spent when
// its request is not fully granted. The number is limited to the tokens that
// recently failed to accrue because of outstanding grants, so that most pending
// tokens can still be returned.
func (b *bucket) reclaim(shortfall int64) int64 {
	n := min(shortfall, int64(b.unaccrued))
	if n <= 0 {
		return 0
	}
	b.unaccrued -= float64(n)
	return n
}

// maxLevel is the highest level that the burst allows next to the outstanding
// tokens, in millionths of a token.
func (b *bucket) maxLevel() int64 { return max(0, b.limit.Burst-b.outstanding()) * microsPerToken }

// setLimit changes rate and burst from now on.
func (b *bucket) setLimit(l Limit) {
	if b.limit == l {
		return
	}
	b.limit = l
	b.level = min(b.level, b.maxLevel())
}

// outstanding returns the number of tokens that holders may still spend.
func (b *bucket) outstanding() int64 {
	var sum int64
	for _, g := range b.grants {
		sum += g.outstanding()
	}
	return sum
}

// withdraw removes up to requested whole tokens from the level and returns
// their number.
func (b *bucket) withdraw(requested int64) int64 {
	granted := min(max(0, requested), b.level/microsPerToken)
	b.level -= granted * microsPerToken
	return granted
}

// discardable reports whether the bucket is full and has no accounts, so that
// it can be dropped and recreated on demand.
func (b *bucket) discardable() bool {
	return len(b.grants) == 0 && b.level >= b.limit.Burst*microsPerToken
}
