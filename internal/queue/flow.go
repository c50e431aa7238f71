package queue

// flow is the waiting entries of one workspace in one lane, in order of
// arrival.
type flow struct {
	workspace string
	entries   []*Entry
	// cost and prefill and output are the sums over entries.
	cost    int64
	prefill int64
	output  int64
	// counter is the work that the workspace was served in this lane, divided
	// by its weight.
	counter float64
	// index is the flow's place in the lane's heap.
	index int
}

func (f *flow) push(e *Entry) {
	f.entries = append(f.entries, e)
	f.count(e, 1)
}

func (f *flow) head() *Entry { return f.entries[0] }

// remove takes the entry out, wherever it stands.
func (f *flow) remove(e *Entry) {
	for i, o := range f.entries {
		if o == e {
			copy(f.entries[i:], f.entries[i+1:])
			f.entries[len(f.entries)-1] = nil
			f.entries = f.entries[:len(f.entries)-1]
			f.count(e, -1)
			return
		}
	}
}

func (f *flow) count(e *Entry, sign int64) {
	f.cost += sign * e.cost()
	f.prefill += sign * e.Item.prefill()
	f.output += sign * e.OutputTokens
}

// flowHeap orders flows by counter, the least served first.
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
