package queue

import "time"

// laneCount is two lanes, short and long, for each class.
const laneCount = 2 * classCount

// Core decides which requests are admitted, and when. Lanes are served in the
// order of urgency; a later lane is owed its share of the work that went to
// earlier ones meanwhile. It is not safe for concurrent use.
type Core struct {
	settings Settings
	capacity Capacity
	lanes    [laneCount]*lane
	// prefill, longPrefill and pieces are held by admitted entries.
	prefill     int64
	longPrefill int64
	pieces      int64
	streams     int64
	stats       Stats
}

// Stats counts what a queue did.
type Stats struct {
	Waiting  [classCount]int
	Admitted [classCount]uint64
	Refused  [classCount]uint64
	// PrefillTokens and Pieces are held by admitted requests.
	PrefillTokens int64
	Pieces        int64
	// Streams counts admitted requests.
	Streams int64
}

// NewCore returns an empty core without capacity.
func NewCore(s Settings) *Core {
	c := &Core{settings: s}
	for i := range c.lanes {
		class, long := Class(i/2), i%2 == 1
		c.lanes[i] = newLane(class, long, laneShare(&s, class, long))
	}
	return c
}

// laneShare is a lane's share of the work of more urgent classes.
func laneShare(s *Settings, c Class, long bool) float64 {
	if long {
		return s.Classes[c].Share * s.LongShare
	}
	return s.Classes[c].Share * (1 - s.LongShare)
}

// SetCapacity replaces the capacity. Admitted entries keep what they hold.
func (c *Core) SetCapacity(capacity Capacity) { c.capacity = capacity }

// Push adds an item at the end of its workspace's flow. When the class is
// full, the workspace with the most work waiting loses its last entry, which
// is returned as pushed out, or the item is refused if that is its own.
func (c *Core) Push(now time.Time, item Item) (e, pushedOut *Entry, err error) {
	if item.Class >= classCount {
		item.Class = Batch
	}
	if err := c.refuse(&item); err != nil {
		c.stats.Refused[item.Class]++
		return nil, nil, err
	}
	if c.waiting(item.Class) >= c.settings.Classes[item.Class].MaxWaiting {
		pushedOut = c.makeRoom(&item)
		if pushedOut == nil {
			c.stats.Refused[item.Class]++
			return nil, nil, errQueueFull(c.Wait(&item))
		}
	}
	e = &Entry{Item: item, Deadline: now.Add(c.settings.Classes[item.Class].Deadline)}
	c.laneOf(&item).push(e)
	return e, pushedOut, nil
}

// refuse says why an item is not worth queueing.
func (c *Core) refuse(i *Item) error {
	if c.capacity.PrefillTokens <= 0 || c.capacity.Pieces <= 0 {
		return errNoCapacity()
	}
	deadline := c.settings.Classes[i.Class].Deadline
	if wait := c.Wait(i); wait > deadline {
		return errOverloaded(wait - deadline)
	}
	return nil
}

// makeRoom refuses the last entry of the largest flow of the item's class, if
// that has more work waiting than the item's own workspace would have.
func (c *Core) makeRoom(i *Item) *Entry {
	var most *flow
	for _, l := range c.lanes[2*i.Class : 2*i.Class+2] {
		if f := l.largest(); f != nil && (most == nil || f.cost > most.cost) {
			most = f
		}
	}
	own := i.cost()
	if f := c.laneOf(i).flows[i.Workspace]; f != nil {
		own += f.cost
	}
	if most == nil || most.workspace == i.Workspace || most.cost <= own {
		return nil
	}
	last := most.entries[len(most.entries)-1]
	c.Refuse(last, errQueueFull(c.Wait(&last.Item)))
	return last
}

// Refuse takes a waiting entry out with the given error; it has no effect on
// an entry that is not waiting.
func (c *Core) Refuse(e *Entry, err error) {
	if e.State != Waiting {
		return
	}
	e.lane.remove(e)
	e.State = Refused
	e.Err = err
	c.stats.Refused[e.Class]++
}

// Late is the refusal for an entry that has waited to its deadline.
func (c *Core) Late(e *Entry) error { return errOverloaded(c.Wait(&e.Item)) }

// Prefilled gives back the prefill capacity of an admitted entry, at its
// first token. Repeats have no effect.
func (c *Core) Prefilled(e *Entry) {
	c.prefill -= e.prefill
	if e.lane.long {
		c.longPrefill -= e.prefill
	}
	e.prefill = 0
}

// Release gives back all that an admitted entry holds, and corrects what its
// workspace was charged: outputTokens is the real length of the answer.
// Repeats have no effect.
func (c *Core) Release(e *Entry, outputTokens int64) {
	if e.State != Admitted {
		return
	}
	e.State = Released
	c.Prefilled(e)
	c.pieces -= e.pieces
	c.streams--
	e.pieces = 0
	e.lane.charge(e, outputCost*float64(outputTokens-e.OutputTokens))
}

// Stats returns the counts so far.
func (c *Core) Stats() Stats {
	s := c.stats
	for i := range s.Waiting {
		s.Waiting[i] = c.waiting(Class(i))
	}
	s.PrefillTokens, s.Pieces, s.Streams = c.prefill, c.pieces, c.streams
	return s
}

func (c *Core) waiting(class Class) int {
	return c.lanes[2*class].waiting + c.lanes[2*class+1].waiting
}

func (c *Core) laneOf(i *Item) *lane {
	if i.prefill() >= int64(c.settings.LongPrompt) {
		return c.lanes[2*i.Class+1]
	}
	return c.lanes[2*i.Class]
}
