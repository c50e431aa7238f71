package queue

import (
	"context"
	"sync"
	"time"
)

// Queue adds blocking admission to a Scheduler. It is safe for concurrent use.
type Queue struct {
	mu sync.Mutex
	// scheduler and waiters are guarded by mu.
	scheduler *Scheduler
	// waiters holds a channel per waiting entry, closed when the entry is
	// admitted or evicted.
	waiters map[*Entry]chan struct{}
}

// New returns a queue without capacity: it refuses all requests until SetCapacity
// is called.
func New(s Settings) *Queue {
	return &Queue{scheduler: NewScheduler(s), waiters: make(map[*Entry]chan struct{})}
}

// SetCapacity replaces the capacity and admits the waiting entries that fit it.
func (q *Queue) SetCapacity(c Capacity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.SetCapacity(c)
	q.dispatch()
}

// Stats returns a snapshot of the counters.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.Stats()
}

// Admit blocks until the item is admitted. It returns a *verdict.Error with the
// verdict NotRun if the queue is full, if the predicted or the actual wait exceeds
// the class's deadline, or if ctx is done. Each ticket must be released.
func (q *Queue) Admit(ctx context.Context, item Item) (*Ticket, error) {
	if err := ctx.Err(); err != nil {
		return nil, errAbandoned(err)
	}
	e, ready, err := q.push(item)
	if err != nil {
		return nil, err
	}
	if ready != nil {
		if err := q.wait(ctx, e, ready); err != nil {
			return nil, err
		}
	}
	return &Ticket{queue: q, entry: e}, nil
}

// push queues the item. The channel is nil if the item was admitted immediately.
func (q *Queue) push(item Item) (*Entry, chan struct{}, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, evicted, err := q.scheduler.Push(time.Now(), item)
	if err != nil {
		return nil, nil, err
	}
	if evicted != nil {
		q.notify(evicted)
	}
	q.dispatch()
	if e.State == Admitted {
		return e, nil, nil
	}
	ready := make(chan struct{})
	q.waiters[e] = ready
	return e, ready, nil
}

func (q *Queue) wait(ctx context.Context, e *Entry, ready chan struct{}) error {
	timer := time.NewTimer(time.Until(e.Deadline))
	defer timer.Stop()
	select {
	case <-ready:
	case <-ctx.Done():
		q.refuse(e, errAbandoned(ctx.Err()))
	case <-timer.C:
		q.refuseLate(e)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.State == Admitted && ctx.Err() != nil {
		q.scheduler.Release(e, 0)
		q.dispatch()
		return errAbandoned(ctx.Err())
	}
	return e.Err
}

func (q *Queue) refuse(e *Entry, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.Refuse(e, err)
	delete(q.waiters, e)
	q.dispatch()
}

func (q *Queue) refuseLate(e *Entry) {
	q.mu.Lock()
	err := q.scheduler.DeadlineError(e)
	q.mu.Unlock()
	q.refuse(e, err)
}

// dispatch admits all entries that fit the capacity. q.mu is held.
func (q *Queue) dispatch() {
	for e := q.scheduler.AdmitNext(); e != nil; e = q.scheduler.AdmitNext() {
		q.notify(e)
	}
}

// notify wakes the caller that waits for the entry. q.mu is held.
func (q *Queue) notify(e *Entry) {
	if ready := q.waiters[e]; ready != nil {
		close(ready)
		delete(q.waiters, e)
	}
}
