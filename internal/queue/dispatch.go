package queue

// Next admits the next entry, or returns nil when none fits. Call it until it
// returns nil after each change.
func (c *Core) Next() *Entry {
	if l := c.owed(); l != nil {
		switch c.fit(l) {
		case fits:
			return c.admit(l)
		case fitsLater:
			return nil
		}
	}
	for _, l := range c.lanes {
		if l.head() == nil {
			continue
		}
		switch c.fit(l) {
		case fits:
			return c.admit(l)
		case fitsLater:
			return nil
		}
	}
	return nil
}

// owed is the first lane whose credit pays for its head, or nil.
func (c *Core) owed() *lane {
	for _, l := range c.lanes {
		e := l.head()
		if e != nil && l.credit > 0 && l.credit >= float64(e.cost()) {
			return l
		}
	}
	return nil
}

// fitResult says whether the head of a lane fits the capacity.
type fitResult uint8

const (
	// fits: the head can be admitted now.
	fits fitResult = iota
	// fitsLater: the head waits for capacity, which others must not take.
	fitsLater
	// fitsBehindLong: the head waits for another long prompt; others may pass.
	fitsBehindLong
)

func (c *Core) fit(l *lane) fitResult {
	e := l.head()
	prefill := c.prefillOf(l, e)
	if l.long && c.longPrefill > 0 && c.longPrefill+prefill > c.longLimit() {
		return fitsBehindLong
	}
	if c.capacity.Streams > 0 && c.streams >= c.capacity.Streams {
		return fitsLater
	}
	if c.prefill > 0 && c.prefill+prefill > c.capacity.PrefillTokens {
		return fitsLater
	}
	if c.pieces > 0 && c.pieces+e.Item.pieces() > c.capacity.Pieces {
		return fitsLater
	}
	return fits
}

// prefillOf is the prefill capacity that the entry takes. A prompt above the
// limit of long ones takes no more than the limit, so that short ones keep
// the rest.
func (c *Core) prefillOf(l *lane, e *Entry) int64 {
	if l.long {
		return min(e.Item.prefill(), c.longLimit())
	}
	return e.Item.prefill()
}

func (c *Core) longLimit() int64 {
	return max(1, int64(c.settings.LongLimit*float64(c.capacity.PrefillTokens)))
}

// admit serves the head of the lane and credits the lanes behind it.
func (c *Core) admit(l *lane) *Entry {
	e := l.serve()
	c.credit(l, float64(e.cost()))
	e.State = Admitted
	e.prefill = c.prefillOf(l, e)
	e.pieces = e.Item.pieces()
	c.prefill += e.prefill
	c.pieces += e.pieces
	c.streams++
	if l.long {
		c.longPrefill += e.prefill
	}
	c.stats.Admitted[e.Class]++
	return e
}

// maxCredit bounds a lane's credit, in costs of its head.
const maxCredit = 2

// credit adds to the lanes behind the served one their share of its work.
func (c *Core) credit(served *lane, work float64) {
	for _, l := range c.lanes {
		head := l.head()
		if head == nil {
			continue
		}
		switch {
		case l.class > served.class:
			l.credit += l.share * work
		case l.class == served.class && l.long && !served.long:
			l.credit += c.settings.LongShare * work
		}
		l.credit = min(l.credit, maxCredit*float64(head.cost()))
	}
}
