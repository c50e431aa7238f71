package queue

// Ticket is the admission of one request. It reserves prefill capacity until
// PrefillDone, and KV cache blocks and a stream until Release. Its methods are safe
// for concurrent use.
type Ticket struct {
	queue *Queue
	entry *Entry
}

// PrefillDone releases the prefill capacity. It must be called at the first token;
// further calls have no effect.
func (t *Ticket) PrefillDone() {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.queue.scheduler.PrefillDone(t.entry)
	t.queue.dispatch()
}

// Release releases all reserved capacity. outputTokens is the length of the
// output. Further calls have no effect.
func (t *Ticket) Release(outputTokens int64) {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.queue.scheduler.Release(t.entry, outputTokens)
	t.queue.dispatch()
}
