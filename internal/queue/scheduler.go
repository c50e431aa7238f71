package queue

import "time"

// laneCount is the number of lanes: each class has one for short and one for long
// prompts.
const laneCount = 2 * classCount

// Scheduler decides which requests are admitted, and in which order. Lanes are
// served by priority; each lane accumulates credit for its share of the work
// admitted from lanes of higher priority. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	capacity Capacity
	lanes    [laneCount]*lane
	// The next four fields count the capacity reserved by admitted entries;
	// prefillTokens includes longPrefillTokens, which long prompts have reserved.
	prefillTokens     int64
	longPrefillTokens int64
	kvBlocks          int64
	streams           int64
	stats             Stats
}

// Stats holds the counters and gauges of a queue.
type Stats struct {
	Waiting  [classCount]int
	Admitted [classCount]uint64
	Refused  [classCount]uint64
	// PrefillTokens and KVBlocks are reserved by admitted requests.
	PrefillTokens int64
	KVBlocks      int64 `json:"Pieces"`
	// Streams is the number of admitted requests.
	Streams int64
}

// NewScheduler returns an empty scheduler without capacity.
func NewScheduler(settings Settings) *Scheduler {
	s := &Scheduler{settings: settings}
	for i := range s.lanes {
		class, long := Class(i/2), i%2 == 1
		s.lanes[i] = newLane(class, long, laneShare(&settings, class, long))
	}
	return s
}

// laneShare returns a lane's share of the work of higher-priority classes.
func laneShare(s *Settings, c Class, long bool) float64 {
	if long {
		return s.Classes[c].Share * s.LongShare
	}
	return s.Classes[c].Share * (1 - s.LongShare)
}

// SetCapacity replaces the capacity. Admitted entries retain their reservations.
func (s *Scheduler) SetCapacity(capacity Capacity) { s.capacity = capacity }

// Push appends an item to its workspace's flow. If the class is full, the last
// entry of the workspace with the most work waiting is refused and returned as
// evicted; if that workspace is the item's own, the item is refused instead.
func (s *Scheduler) Push(now time.Time, item Item) (e, evicted *Entry, err error) {
	if item.Class >= classCount {
		item.Class = Batch
	}
	if err := s.checkAdmissible(&item); err != nil {
		s.stats.Refused[item.Class]++
		return nil, nil, err
	}
	if s.waiting(item.Class) >= s.settings.Classes[item.Class].MaxWaiting {
		evicted = s.evictForItem(&item)
		if evicted == nil {
			s.stats.Refused[item.Class]++
			return nil, nil, errQueueFull(s.PredictWait(&item))
		}
	}
	e = &Entry{Item: item, Deadline: now.Add(s.settings.Classes[item.Class].Deadline)}
	s.laneFor(&item).push(e)
	return e, evicted, nil
}

// checkAdmissible returns the refusal for an item that would miss its deadline or
// that arrives while there is no capacity, and nil otherwise.
func (s *Scheduler) checkAdmissible(i *Item) error {
	if s.capacity.PrefillTokens <= 0 || s.capacity.KVBlocks <= 0 {
		return errNoCapacity()
	}
	deadline := s.settings.Classes[i.Class].Deadline
	if wait := s.PredictWait(i); wait > deadline {
		return errOverloaded(wait - deadline)
	}
	return nil
}

// evictForItem refuses and returns the last entry of the flow with the most work
// waiting in the item's class. It returns nil if that flow does not exceed the
// flow of the item's own workspace including the item.
func (s *Scheduler) evictForItem(i *Item) *Entry {
	var largest *flow
	for _, l := range s.lanes[2*i.Class : 2*i.Class+2] {
		if f := l.largestFlow(); f != nil && (largest == nil || f.cost > largest.cost) {
			largest = f
		}
	}
	ownCost := i.cost()
	if f := s.laneFor(i).flows[i.Workspace]; f != nil {
		ownCost += f.cost
	}
	if largest == nil || largest.workspace == i.Workspace || largest.cost <= ownCost {
		return nil
	}
	last := largest.entries[len(largest.entries)-1]
	s.Refuse(last, errQueueFull(s.PredictWait(&last.Item)))
	return last
}

// Refuse removes a waiting entry and sets its error. It has no effect on entries
// in other states.
func (s *Scheduler) Refuse(e *Entry, err error) {
	if e.State != Waiting {
		return
	}
	e.lane.remove(e)
	e.State = Refused
	e.Err = err
	s.stats.Refused[e.Class]++
}

// DeadlineError returns the refusal for an entry that has waited until its deadline.
func (s *Scheduler) DeadlineError(e *Entry) error { return errOverloaded(s.PredictWait(&e.Item)) }

// PrefillDone releases the prefill capacity of an admitted entry. It must be
// called at the first token; further calls have no effect.
func (s *Scheduler) PrefillDone(e *Entry) {
	s.prefillTokens -= e.prefillTokens
	if e.lane.long {
		s.longPrefillTokens -= e.prefillTokens
	}
	e.prefillTokens = 0
}

// Release releases all capacity of an admitted entry and adjusts the work charged
// to its workspace to outputTokens, the actual length of the output. Further
// calls have no effect.
func (s *Scheduler) Release(e *Entry, outputTokens int64) {
	if e.State != Admitted {
		return
	}
	e.State = Released
	s.PrefillDone(e)
	s.kvBlocks -= e.kvBlocks
	s.streams--
	e.kvBlocks = 0
	e.lane.charge(e, outputCost*float64(outputTokens-e.OutputTokens))
}

// Stats returns a snapshot of the counters.
func (s *Scheduler) Stats() Stats {
	stats := s.stats
	for i := range stats.Waiting {
		stats.Waiting[i] = s.waiting(Class(i))
	}
	stats.PrefillTokens, stats.KVBlocks, stats.Streams = s.prefillTokens, s.kvBlocks, s.streams
	return stats
}

func (s *Scheduler) waiting(class Class) int {
	return s.lanes[2*class].waiting + s.lanes[2*class+1].waiting
}

func (s *Scheduler) laneFor(i *Item) *lane {
	if i.prefillTokens() >= int64(s.settings.LongPromptTokens) {
		return s.lanes[2*i.Class+1]
	}
	return s.lanes[2*i.Class]
}
