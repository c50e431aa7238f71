package queue

import "container/heap"

// lane holds the short or the long requests of one class. Workspaces are served
// in the order of their virtual token counters (VTC): a counter of admitted
// tokens divided by weight, raised to the lane's minimum counter when an idle
// workspace becomes active again.
type lane struct {
	class Class
	long  bool
	// share is the fraction of the work admitted from higher-priority classes
	// that this lane receives while they have waiting entries.
	share float64
	// credit is the work that the lane may admit out of priority order because
	// of its share.
	credit float64
	flows  map[string]*flow
	heap   flowHeap
	// idleCounters holds the counters above minCounter of workspaces without
	// waiting entries.
	idleCounters map[string]float64
	// minCounter is the lane's minimum counter; it never decreases.
	minCounter float64
	// waiting is the number of waiting entries; prefillTokens and outputTokens
	// are sums over them.
	waiting       int
	prefillTokens int64
	outputTokens  int64
}

// maxIdleCounters bounds the counters retained for idle workspaces.
const maxIdleCounters = 1 << 15

func newLane(c Class, long bool, share float64) *lane {
	return &lane{
		class: c, long: long, share: share,
		flows:        make(map[string]*flow),
		idleCounters: make(map[string]float64),
	}
}

// push appends the entry to its workspace's flow.
func (l *lane) push(e *Entry) {
	f := l.flows[e.Workspace]
	if f == nil {
		f = &flow{workspace: e.Workspace, counter: max(l.minCounter, l.idleCounters[e.Workspace])}
		delete(l.idleCounters, e.Workspace)
		l.flows[e.Workspace] = f
		heap.Push(&l.heap, f)
	}
	f.push(e)
	e.lane, e.flow = l, f
	l.addToTotals(e, 1)
}

// head returns the next entry to admit, or nil if the lane is empty.
func (l *lane) head() *Entry {
	if len(l.heap) == 0 {
		return nil
	}
	return l.heap[0].head()
}

// dequeue removes the head and charges its cost to its workspace.
func (l *lane) dequeue() *Entry {
	f := l.heap[0]
	e := f.head()
	l.minCounter = max(l.minCounter, f.counter)
	l.credit = max(0, l.credit-float64(e.cost()))
	l.remove(e)
	l.charge(e, float64(e.cost()))
	return e
}

// charge adds work to the counter of the entry's workspace. The work is negative
// if the output was shorter than reserved.
func (l *lane) charge(e *Entry, work float64) {
	work /= e.weight()
	if f := l.flows[e.Workspace]; f != nil {
		f.counter = max(l.minCounter, f.counter+work)
		heap.Fix(&l.heap, f.index)
		return
	}
	counter := max(l.minCounter, l.idleCounters[e.Workspace]) + work
	if counter <= l.minCounter {
		delete(l.idleCounters, e.Workspace)
		return
	}
	l.saveIdleCounter(e.Workspace, counter)
}

// saveIdleCounter stores the counter of an idle workspace. At the limit, counters
// not above minCounter are discarded, because they have no effect; if that frees
// no space, all are.
func (l *lane) saveIdleCounter(workspace string, counter float64) {
	if len(l.idleCounters) >= maxIdleCounters {
		for w, c := range l.idleCounters {
			if c <= l.minCounter {
				delete(l.idleCounters, w)
			}
		}
	}
	if len(l.idleCounters) >= maxIdleCounters {
		clear(l.idleCounters)
	}
	l.idleCounters[workspace] = counter
}

// remove removes a waiting entry without charging its workspace.
func (l *lane) remove(e *Entry) {
	f := e.flow
	f.remove(e)
	l.addToTotals(e, -1)
	if len(f.entries) > 0 {
		return
	}
	heap.Remove(&l.heap, f.index)
	delete(l.flows, f.workspace)
	if f.counter > l.minCounter {
		l.saveIdleCounter(f.workspace, f.counter)
	}
	if l.waiting == 0 {
		l.credit = 0
	}
}

// largestFlow returns the flow with the most work waiting, or nil.
func (l *lane) largestFlow() *flow {
	var largest *flow
	for _, f := range l.heap {
		if largest == nil || f.cost > largest.cost {
			largest = f
		}
	}
	return largest
}

func (l *lane) addToTotals(e *Entry, sign int64) {
	l.waiting += int(sign)
	l.prefillTokens += sign * e.Item.prefillTokens()
	l.outputTokens += sign * e.OutputTokens
}
