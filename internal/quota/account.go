package quota

import "time"

// account is the holder's side of a grant: the tokens of one part of one
// workspace that this host may spend.
type account struct {
	part  Part
	owner string
	fence int64
	id    uint64
	// burst is the size of the part's bucket, in tokens.
	burst int64
	// granted, used and returned are totals since the account was opened, in
	// tokens.
	granted  int64
	used     int64
	returned int64
	// pending is the number of tokens that unsettled reservations may still
	// return.
	pending int64
	// reportedUsed and reportedReturned are the totals that the owner has
	// acknowledged.
	reportedUsed     int64
	reportedReturned int64
	// expires is when the balance stops being spendable.
	expires time.Time
	// requested is the number of tokens requested by exchanges in flight.
	requested int64
	// level is the number of tokens that the owner had left at levelAt.
	level   int64
	levelAt time.Time
	// lastUsed is when tokens were last reserved, or when the account was
	// opened.
	lastUsed time.Time
	// sentAt is when the last request to the owner was planned.
	sentAt time.Time
	// allocations are the unsettled allocations, oldest first.
	allocations []*allocation
}

// allocation is the share of a reservation that is drawn from one account.
type allocation struct {
	account *account
	amount  int64
	// pending is the number of tokens that settle may return.
	pending int64
	// started reports whether the tokens count as consumed.
	started bool
}

// balance returns the number of tokens that can be reserved at now.
func (a *account) balance(now time.Time) int64 {
	if a == nil || !now.Before(a.expires) {
		return 0
	}
	return a.granted - a.used - a.returned - a.pending
}

// ownerHasHeadroom reports whether the owner's bucket was at least half full in
// its last answer. The workspace is then far below its rate, and returning
// unused tokens is not worth the messages.
func (a *account) ownerHasHeadroom() bool { return a.burst > 0 && a.level >= a.burst/2 }

// reserve allocates amount tokens, all of them pending.
func (a *account) reserve(now time.Time, amount int64) *allocation {
	alloc := &allocation{account: a, amount: amount, pending: amount}
	a.pending += amount
	a.lastUsed = now
	a.pruneSettled()
	a.allocations = append(a.allocations, alloc)
	return alloc
}

// start spends the given share of the allocation, or all of it if returning
// tokens is not worth the messages.
func (alloc *allocation) start(spendShare float64) {
	alloc.started = true
	spent := min(alloc.pending, int64(float64(alloc.amount)*spendShare))
	if alloc.account.ownerHasHeadroom() {
		spent = alloc.pending
	}
	alloc.pending -= spent
	alloc.account.pending -= spent
	alloc.account.used += spent
}

// settle spends up to the given number of pending tokens and releases the rest
// to the balance. It returns the number of tokens spent.
func (alloc *allocation) settle(tokens int64) int64 {
	spent := min(tokens, alloc.pending)
	alloc.account.used += spent
	alloc.account.pending -= alloc.pending
	alloc.pending = 0
	return spent
}

// reclaim counts up to the given number of pending tokens as used, oldest
// allocations first. It skips allocations that have not started.
func (a *account) reclaim(tokens int64) {
	for _, alloc := range a.allocations {
		if !alloc.started {
			continue
		}
		spent := min(tokens, alloc.pending)
		alloc.pending -= spent
		a.pending -= spent
		a.used += spent
		tokens -= spent
	}
	a.pruneSettled()
}

// pruneSettled drops settled allocations from the front, and all settled ones
// if the slice is about to grow.
func (a *account) pruneSettled() {
	for len(a.allocations) > 0 && a.allocations[0].pending == 0 {
		a.allocations = a.allocations[1:]
	}
	if len(a.allocations) < cap(a.allocations) {
		return
	}
	unsettled := make([]*allocation, 0, len(a.allocations)+1)
	for _, alloc := range a.allocations {
		if alloc.pending > 0 {
			unsettled = append(unsettled, alloc)
		}
	}
	a.allocations = unsettled
}

// levelMaxAge is how long a level reported by an owner is used.
const levelMaxAge = 250 * time.Millisecond

// estimateLevel returns an upper bound on what the owner could grant at now.
// Without a recent level it is the burst of limit, which is the part's own
// limit.
func (a *account) estimateLevel(now time.Time, limit Limit) int64 {
	if a == nil || a.levelAt.IsZero() || now.Sub(a.levelAt) > levelMaxAge {
		return limit.Burst
	}
	accrued := int64(float64(limit.Rate) * now.Sub(a.levelAt).Seconds())
	return min(limit.Burst, a.level+accrued+1)
}
