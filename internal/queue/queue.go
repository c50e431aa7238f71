package queue

import (
	"context"
	"sync"
	"time"
)

// Queue lets callers wait for admission. It is safe for concurrent use.
type Queue struct {
	mu sync.Mutex
	// core and waiters are guarded by mu.
	core *Core
	// waiters are closed when their entry is no longer waiting.
	waiters map[*Entry]chan struct{}
}

// New returns a queue without capacity: it refuses until SetCapacity.
func New(s Settings) *Queue {
	return &Queue{core: NewCore(s), waiters: make(map[*Entry]chan struct{})}
}

// SetCapacity replaces the capacity and admits what fits now.
func (q *Queue) SetCapacity(c Capacity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.SetCapacity(c)
	q.dispatch()
}

// Stats returns the counts so far.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.Stats()
}

// Admit waits until the item is admitted. It fails with a *verdict.Error with
// the verdict NotRun when the queue is full, the wait would be or is longer
// than the class allows, or ctx ends. Each ticket must be released.
func (q *Queue) Admit(ctx context.Context, item Item) (*Ticket, error) {
	if err := ctx.Err(); err != nil {
		return nil, errAbandoned(err)
	}
	e, wait, err := q.push(item)
	if err != nil {
		return nil, err
	}
	if wait != nil {
		if err := q.wait(ctx, e, wait); err != nil {
			return nil, err
		}
	}
	return &Ticket{queue: q, entry: e}, nil
}

// push queues the item; the channel is nil when it was admitted at once.
func (q *Queue) push(item Item) (*Entry, chan struct{}, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, out, err := q.core.Push(time.Now(), item)
	if err != nil {
		return nil, nil, err
	}
	if out != nil {
		q.wake(out)
	}
	q.dispatch()
	if e.State == Admitted {
		return e, nil, nil
	}
	wait := make(chan struct{})
	q.waiters[e] = wait
	return e, wait, nil
}

func (q *Queue) wait(ctx context.Context, e *Entry, wait chan struct{}) error {
	timer := time.NewTimer(time.Until(e.Deadline))
	defer timer.Stop()
	select {
	case <-wait:
	case <-ctx.Done():
		q.refuse(e, errAbandoned(ctx.Err()))
	case <-timer.C:
		q.refuseLate(e)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.State == Admitted && ctx.Err() != nil {
		q.core.Release(e, 0)
		q.dispatch()
		return errAbandoned(ctx.Err())
	}
	return e.Err
}

func (q *Queue) refuse(e *Entry, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Refuse(e, err)
	delete(q.waiters, e)
	q.dispatch()
}

func (q *Queue) refuseLate(e *Entry) {
	q.mu.Lock()
	err := q.core.Late(e)
	q.mu.Unlock()
	q.refuse(e, err)
}

// dispatch admits all that fits. q.mu is held.
func (q *Queue) dispatch() {
	for e := q.core.Next(); e != nil; e = q.core.Next() {
		q.wake(e)
	}
}

// wake ends the wait of an entry. q.mu is held.
func (q *Queue) wake(e *Entry) {
	if wait := q.waiters[e]; wait != nil {
		close(wait)
		delete(q.waiters, e)
	}
}
