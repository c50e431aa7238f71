package queue

// flow holds the waiting entries of one workspace in one lane, in order of
// arrival.
type flow struct {
	workspace string
	entries   []*Entry
	// cost, prefillTokens and outputTokens are sums over entries.
	cost          int64
	prefillTokens int64
	outputTokens  int64
	// counter is the virtual token counter: the work admitted for the workspace
	// in this lane, divided by its weight.
	counter float64
	// index is the position of the flow in the lane's heap.
	index int
}

func (f *flow) push(e *Entry) {
	f.entries = append(f.entries, e)
	f.addToTotals(e, 1)
}

func (f *flow) head() *Entry { return f.entries[0] }

// remove removes the entry from any position.
func (f *flow) remove(e *Entry) {
	for i, queued := range f.entries {
		if queued == e {
			copy(f.entries[i:], f.entries[i+1:])
			f.entries[len(f.entries)-1] = nil
			f.entries = f.entries[:len(f.entries)-1]
			f.addToTotals(e, -1)
			return
		}
	}
}

func (f *flow) addToTotals(e *Entry, sign int64) {
	f.cost += sign * e.cost()
	f.prefillTokens += sign * e.Item.prefillTokens()
	f.outputTokens += sign * e.OutputTokens
}

// flowHeap is a min-heap of flows by counter.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool { return h[i].counter < h[j].counter }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
