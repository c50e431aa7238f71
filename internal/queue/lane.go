package queue

import "container/heap"

// lane holds the short or the long requests of one class. It serves the
// workspace with the smallest virtual token counter first (VTC: a counter of
// served tokens by weight, lifted to the least counter of the lane when a
// workspace comes back from idle).
type lane struct {
	class Class
	long  bool
	// share is the part of the work that the lane gets while lanes before it
	// have entries waiting.
	share float64
	// credit is the work that the lane is owed under its share.
	credit float64
	flows  map[string]*flow
	heap   flowHeap
	// idle holds the counters of workspaces that have nothing waiting but
	// are ahead of floor.
	idle map[string]float64
	// floor is the least counter of the lane; it never falls.
	floor   float64
	waiting int
	prefill int64
	output  int64
}

// idleLimit bounds the counters that are kept for idle workspaces.
const idleLimit = 1 << 15

func newLane(c Class, long bool, share float64) *lane {
	return &lane{
		class: c, long: long, share: share,
		flows: make(map[string]*flow),
		idle:  make(map[string]float64),
	}
}

// push appends the entry to its workspace's flow.
func (l *lane) push(e *Entry) {
	f := l.flows[e.Workspace]
	if f == nil {
		f = &flow{workspace: e.Workspace, counter: max(l.floor, l.idle[e.Workspace])}
		delete(l.idle, e.Workspace)
		l.flows[e.Workspace] = f
		heap.Push(&l.heap, f)
	}
	f.push(e)
	e.lane, e.flow = l, f
	l.count(e, 1)
}

// head is the next entry to serve, or nil.
func (l *lane) head() *Entry {
	if len(l.heap) == 0 {
		return nil
	}
	return l.heap[0].head()
}

// serve takes the head out and charges it to its workspace.
func (l *lane) serve() *Entry {
	f := l.heap[0]
	e := f.head()
	l.floor = max(l.floor, f.counter)
	l.credit = max(0, l.credit-float64(e.cost()))
	l.remove(e)
	l.charge(e, float64(e.cost()))
	return e
}

// charge adds work to the counter of the entry's workspace; it may be
// negative when an answer was shorter than reserved.
func (l *lane) charge(e *Entry, work float64) {
	work /= e.weight()
	if f := l.flows[e.Workspace]; f != nil {
		f.counter = max(l.floor, f.counter+work)
		heap.Fix(&l.heap, f.index)
		return
	}
	counter := max(l.floor, l.idle[e.Workspace]) + work
	if counter <= l.floor {
		delete(l.idle, e.Workspace)
		return
	}
	l.keepIdle(e.Workspace, counter)
}

// keepIdle remembers the counter of an idle workspace. Counters that the
// floor has passed mean nothing and are dropped when there are many.
func (l *lane) keepIdle(workspace string, counter float64) {
	if len(l.idle) >= idleLimit {
		for w, c := range l.idle {
			if c <= l.floor {
				delete(l.idle, w)
			}
		}
	}
	if len(l.idle) >= idleLimit {
		clear(l.idle)
	}
	l.idle[workspace] = counter
}

// remove takes a waiting entry out without charging for it.
func (l *lane) remove(e *Entry) {
	f := e.flow
	f.remove(e)
	l.count(e, -1)
	if len(f.entries) > 0 {
		return
	}
	heap.Remove(&l.heap, f.index)
	delete(l.flows, f.workspace)
	if f.counter > l.floor {
		l.keepIdle(f.workspace, f.counter)
	}
	if l.waiting == 0 {
		l.credit = 0
	}
}

// largest is the flow with the most work waiting, or nil.
func (l *lane) largest() *flow {
	var most *flow
	for _, f := range l.heap {
		if most == nil || f.cost > most.cost {
			most = f
		}
	}
	return most
}

func (l *lane) count(e *Entry, sign int64) {
	l.waiting += int(sign)
	l.prefill += sign * e.Item.prefill()
	l.output += sign * e.OutputTokens
}
