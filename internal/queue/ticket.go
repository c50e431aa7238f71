package queue

// Ticket is the admission of one request. It holds prefill capacity until
// Prefilled and engine memory until Release.
type Ticket struct {
	queue *Queue
	entry *Entry
}

// Prefilled gives the prefill capacity back: call it at the first token.
// Repeats have no effect.
func (t *Ticket) Prefilled() {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.queue.core.Prefilled(t.entry)
	t.queue.dispatch()
}

// Release gives everything back; outputTokens is the length of the answer.
// Repeats have no effect.
func (t *Ticket) Release(outputTokens int64) {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.queue.core.Release(t.entry, outputTokens)
	t.queue.dispatch()
}
