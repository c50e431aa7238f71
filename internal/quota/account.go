package quota

import "time"

// account is a holder's side of a grant: the tokens of one part of one
// workspace that this host may spend.
type account struct {
	part  Part
	owner string
	fence int64
	id    uint64
	// burst is the size of the part's bucket.
	burst int64
	// granted, used and returned are totals; pending is what unsettled
	// reservations may still give back.
	granted  int64
	used     int64
	returned int64
	pending  int64
	// declaredUsed is the part of used that the owner has acknowledged.
	declaredUsed     int64
	declaredReturned int64
	// expires is when the balance ends.
	expires time.Time
	// wanting is the tokens asked for in exchanges under way.
	wanting int64
	// level is what the owner had left at levelAt.
	level   int64
	levelAt time.Time
	lastUse time.Time
	sentAt  time.Time
	// holds are the unsettled reservations, the oldest first.
	holds []*hold
}

// hold is the part of a reservation that came from one account.
type hold struct {
	account *account
	amount  int64
	// pending is what a settlement may give back.
	pending int64
	// started holds are consumed.
	started bool
}

// balance is what may be reserved now.
func (a *account) balance(now time.Time) int64 {
	if a == nil || !now.Before(a.expires) {
		return 0
	}
	return a.granted - a.used - a.returned - a.pending
}

// ample says that the owner's bucket was at least half full at its last
// answer. The workspace is then far below its rate, and what a reservation
// does not use is not worth the messages of giving it back.
func (a *account) ample() bool { return a.burst > 0 && a.level >= a.burst/2 }

// reserve takes amount tokens; all of them are pending.
func (a *account) reserve(now time.Time, amount int64) *hold {
	h := &hold{account: a, amount: amount, pending: amount}
	a.pending += amount
	a.lastUse = now
	a.trim()
	a.holds = append(a.holds, h)
	return h
}

// start spends the certain share of the hold, or all of it where giving back
// is not worth the messages.
func (h *hold) start(certain float64) {
	h.started = true
	spent := min(h.pending, int64(float64(h.amount)*certain))
	if h.account.ample() {
		spent = h.pending
	}
	h.pending -= spent
	h.account.pending -= spent
	h.account.used += spent
}

// settle spends up to tokens of what the hold has pending, gives the rest
// back to the balance and returns how much it spent.
func (h *hold) settle(tokens int64) int64 {
	spent := min(tokens, h.pending)
	h.account.used += spent
	h.account.pending -= h.pending
	h.pending = 0
	return spent
}

// reclaim declares up to tokens of the oldest pending ones spent. Tokens that
// are not consumed yet stay as they are.
func (a *account) reclaim(tokens int64) {
	for _, h := range a.holds {
		if !h.started {
			continue
		}
		n := min(tokens, h.pending)
		h.pending -= n
		a.pending -= n
		a.used += n
		tokens -= n
	}
	a.trim()
}

// trim forgets settled holds at the front, and all settled ones when the
// slice is about to grow.
func (a *account) trim() {
	for len(a.holds) > 0 && a.holds[0].pending == 0 {
		a.holds = a.holds[1:]
	}
	if len(a.holds) < cap(a.holds) {
		return
	}
	open := make([]*hold, 0, len(a.holds)+1)
	for _, h := range a.holds {
		if h.pending > 0 {
			open = append(open, h)
		}
	}
	a.holds = open
}

// levelLifetime is how long a level that an owner told is relied on.
const levelLifetime = 250 * time.Millisecond

// estimate is what the owner could grant now at most; limit is the part's own.
func (a *account) estimate(now time.Time, limit Limit) int64 {
	if a == nil || a.levelAt.IsZero() || now.Sub(a.levelAt) > levelLifetime {
		return limit.Burst
	}
	gained := int64(float64(limit.Rate) * now.Sub(a.levelAt).Seconds())
	return min(limit.Burst, a.level+gained+1)
}
