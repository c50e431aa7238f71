package queue

// AdmitNext admits and returns the next entry, or returns nil if none can be admitted.
// Callers should call it until it returns nil after every change of state.
func (c *Scheduler) AdmitNext() *Entry {
	if l := c.laneWithCredit(); l != nil {
		switch c.checkFit(l) {
		case fitsNow:
			return c.admit(l)
		case blockedOnCapacity:
			return nil
		}
	}
	for _, l := range c.lanes {
		if l.head() == nil {
			continue
		}
		switch c.checkFit(l) {
		case fitsNow:
			return c.admit(l)
		case blockedOnCapacity:
			return nil
		}
	}
	return nil
}

// laneWithCredit returns the first lane whose credit covers the cost of its head,
// or nil.
func (c *Scheduler) laneWithCredit() *lane {
	for _, l := range c.lanes {
		e := l.head()
		if e != nil && l.credit > 0 && l.credit >= float64(e.cost()) {
			return l
		}
	}
	return nil
}

// fitResult is the result of checking the head of a lane against the capacity.
type fitResult uint8

const (
	// fitsNow means that the head can be admitted.
	fitsNow fitResult = iota
	// blockedOnCapacity means that the head waits for capacity that other lanes
	// must not take.
	blockedOnCapacity
	// blockedOnLongPrompts means that the head waits for another long prompt;
	// entries of other lanes may be admitted first.
	blockedOnLongPrompts
)

func (c *Scheduler) checkFit(l *lane) fitResult {
	e := l.head()
	prefill := c.prefillToReserve(l, e)
	if l.long && c.longPrefillTokens > 0 && c.longPrefillTokens+prefill > c.longPrefillLimit() {
		return blockedOnLongPrompts
	}
	if c.capacity.Streams > 0 && c.streams >= c.capacity.Streams {
		return blockedOnCapacity
	}
	if c.prefillTokens > 0 && c.prefillTokens+prefill > c.capacity.PrefillTokens {
		return blockedOnCapacity
	}
	if c.kvBlocks > 0 && c.kvBlocks+e.Item.kvBlocks() > c.capacity.KVBlocks {
		return blockedOnCapacity
	}
	return fitsNow
}

// prefillToReserve returns the prefill capacity that the entry reserves, in
// tokens. Long prompts reserve at most the limit for long prompts, so that the
// rest remains available to short ones.
func (c *Scheduler) prefillToReserve(l *lane, e *Entry) int64 {
	if l.long {
		return min(e.Item.prefillTokens(), c.longPrefillLimit())
	}
	return e.Item.prefillTokens()
}

func (c *Scheduler) longPrefillLimit() int64 {
	return max(1, int64(c.settings.LongPrefillFraction*float64(c.capacity.PrefillTokens)))
}

// admit admits the head of the lane and adds credit to lower-priority lanes.
func (c *Scheduler) admit(l *lane) *Entry {
	e := l.dequeue()
	c.addCredit(l, float64(e.cost()))
	e.State = Admitted
	e.prefillTokens = c.prefillToReserve(l, e)
	e.kvBlocks = e.Item.kvBlocks()
	c.prefillTokens += e.prefillTokens
	c.kvBlocks += e.kvBlocks
	c.streams++
	if l.long {
		c.longPrefillTokens += e.prefillTokens
	}
	c.stats.Admitted[e.Class]++
	return e
}

// maxCredit bounds a lane's credit, as a multiple of its head's cost.
const maxCredit = 2

// addCredit credits lower-priority lanes with waiting entries with their share
// of the admitted work.
func (c *Scheduler) addCredit(source *lane, work float64) {
	for _, l := range c.lanes {
		head := l.head()
		if head == nil {
			continue
		}
		switch {
		case l.class > source.class:
			l.credit += l.share * work
		case l.class == source.class && l.long && !source.long:
			l.credit += c.settings.LongShare * work
		}
		l.credit = min(l.credit, maxCredit*float64(head.cost()))
	}
}
