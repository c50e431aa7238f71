package once

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

const (
	// maxBatchOps and maxBatchBytes bound what one write adds.
	maxBatchOps   = 1024
	maxBatchBytes = 256 << 10
	// retryDelay is the pause after a write that failed for want of the store.
	retryDelay = 50 * time.Millisecond
	// idleRetryDelay is the pause between attempts to record outcomes while
	// the store is down.
	idleRetryDelay = 500 * time.Millisecond
	// conflictDelay is the longest pause after the first lost race.
	conflictDelay = 4 * time.Millisecond
)

// shard groups the lines that this host adds to one shard's log.
type shard struct {
	options Options
	stats   *Stats
	broken  *brokenVariant
	lease   *pageLease
	log     *log
	kick    chan struct{}
	// foreign is true while other hosts write the shard: the head is then read
	// before a write, since a read is cheaper than a lost race. Used by the
	// shard's loop only.
	foreign bool

	// mu guards queue, calls and pending.
	mu    sync.Mutex
	queue []*op
	// calls are the keys in progress or not yet recorded.
	calls map[keyHash]*call
}

func newShard(c *Claims, n int) *shard {
	return &shard{
		options: c.options,
		stats:   c.stats,
		broken:  &c.broken,
		lease:   c.lease,
		log:     newLog(c.store, n, c.options),
		kick:    make(chan struct{}, 1),
		calls:   make(map[keyHash]*call),
	}
}

// enter registers the key as in progress. It returns the call that is in
// progress already, with first false, or nil when too many are.
func (s *shard) enter(h keyHash, body BodyHash) (c *call, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.calls[h]; c != nil {
		return c, false
	}
	if len(s.calls) >= s.options.Pending {
		return nil, false
	}
	c = &call{body: body, done: make(chan struct{})}
	s.calls[h] = c
	return c, true
}

// leave forgets the call once its outcome is recorded.
func (s *shard) leave(h keyHash, c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[h] == c {
		delete(s.calls, h)
	}
}

// submit queues a line. It reports false when the queue is full.
func (s *shard) submit(o *op) bool {
	s.mu.Lock()
	full := len(s.queue) >= 2*s.options.Pending
	if !full {
		s.queue = append(s.queue, o)
	}
	s.mu.Unlock()
	if full {
		return false
	}
	s.wake()
	return true
}

// record queues a line that says how a claim ended. It is dropped when there
// is no room: the claim then stays, and repeats are told "may have run".
func (s *shard) record(o *op) {
	if s.submit(o) {
		return
	}
	s.stats.Dropped.Add(1)
	o.done()
}

func (s *shard) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// requeue puts lines back in front of the queue.
func (s *shard) requeue(ops []*op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(ops, s.queue...)
}

// take removes the next batch from the queue.
func (s *shard) take() []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, n := 0, 0
	for n < len(s.queue) && n < maxBatchOps {
		size += s.queue[n].bytes()
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	if len(s.queue) == 0 {
		s.queue = nil
	}
	return batch
}

func (s *shard) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) == 0
}

// run commits batches until ctx ends.
func (s *shard) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.kick:
		}
		for !s.idle() {
			if !s.gather(ctx) {
				return
			}
			if !s.commit(ctx, s.take()) && !backing.Pause(ctx, idleRetryDelay) {
				return
			}
		}
	}
}

// gather waits for more lines: shortly once a claim is queued, longer while
// there are only outcomes, which then share the next claim's write.
func (s *shard) gather(ctx context.Context) bool {
	timer := time.NewTimer(s.options.OutcomeLinger)
	defer timer.Stop()
	for !s.hasClaim() {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-s.kick:
		}
	}
	return backing.Pause(ctx, s.options.Linger)
}

func (s *shard) hasClaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.queue, (*op).isClaim)
}

// jitter returns a random part of d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(d) + 1))
}
