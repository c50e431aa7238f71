package queue

// AdmitNext admits and returns the next entry, or returns nil if none can be
// admitted. After every change of state, callers must call it until it returns
// nil.
func (s *Scheduler) AdmitNext() *Entry {
	if l := s.laneWithCredit(); l != nil {
		switch s.checkFit(l) {
		case fitsNow:
			return s.admit(l)
		case blockedOnCapacity:
			return nil
		}
	}
	for _, l := range s.lanes {
		if l.head() == nil {
			continue
		}
		switch s.checkFit(l) {
		case fitsNow:
			return s.admit(l)
		case blockedOnCapacity:
			return nil
		}
	}
	return nil
}

// laneWithCredit returns the first lane whose credit covers the cost of its head,
// or nil.
func (s *Scheduler) laneWithCredit() *lane {
	for _, l := range s.lanes {
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

func (s *Scheduler) checkFit(l *lane) fitResult {
	e := l.head()
	prefill := s.prefillToReserve(l, e)
	if l.long && s.longPrefillTokens > 0 && s.longPrefillTokens+prefill > s.longPrefillLimit() {
		return blockedOnLongPrompts
	}
	if s.capacity.Streams > 0 && s.streams >= s.capacity.Streams {
		return blockedOnCapacity
	}
	if s.prefillTokens > 0 && s.prefillTokens+prefill > s.capacity.PrefillTokens {
		return blockedOnCapacity
	}
	if s.kvBlocks > 0 && s.kvBlocks+e.Item.kvBlocks() > s.capacity.KVBlocks {
		return blockedOnCapacity
	}
	return fitsNow
}

// prefillToReserve returns the prefill capacity that the entry reserves, in
// tokens. Long prompts reserve at most the limit for long prompts, so that the
// rest remains available to short ones.
func (s *Scheduler) prefillToReserve(l *lane, e *Entry) int64 {
	if l.long {
		return min(e.Item.prefillTokens(), s.longPrefillLimit())
	}
	return e.Item.prefillTokens()
}

func (s *Scheduler) longPrefillLimit() int64 {
	return max(1, int64(s.settings.LongPrefillFraction*float64(s.capacity.PrefillTokens)))
}

// admit admits the head of the lane and adds credit to lower-priority lanes.
func (s *Scheduler) admit(l *lane) *Entry {
	e := l.dequeue()
	s.addCredit(l, float64(e.cost()))
	e.State = Admitted
	e.prefillTokens = s.prefillToReserve(l, e)
	e.kvBlocks = e.Item.kvBlocks()
	s.prefillTokens += e.prefillTokens
	s.kvBlocks += e.kvBlocks
	s.streams++
	if l.long {
		s.longPrefillTokens += e.prefillTokens
	}
	s.stats.Admitted[e.Class]++
	return e
}

// maxCredit bounds a lane's credit, as a multiple of its head's cost.
const maxCredit = 2

// addCredit credits lower-priority lanes with waiting entries with their share
// of the admitted work.
func (s *Scheduler) addCredit(source *lane, work float64) {
	for _, l := range s.lanes {
		head := l.head()
		if head == nil {
			continue
		}
		switch {
		case l.class > source.class:
			l.credit += l.share * work
		case l.class == source.class && l.long && !source.long:
			l.credit += s.settings.LongShare * work
		}
		l.credit = min(l.credit, maxCredit*float64(head.cost()))
	}
}
