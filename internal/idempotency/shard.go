package idempotency

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

const (
	// maxBatchOps and maxBatchBytes bound the entries that one write appends.
	maxBatchOps   = 1024
	maxBatchBytes = 256 << 10
	// retryDelay is the pause after a store call failed because the store was
	// unavailable.
	retryDelay = 50 * time.Millisecond
	// idleRetryDelay is the pause between commits while the store is
	// unavailable.
	idleRetryDelay = 500 * time.Millisecond
	// conflictDelay is the base of the exponential backoff after a conflicting
	// write. The first pause is at most twice as long.
	conflictDelay = 4 * time.Millisecond
)

// shard batches the entries that this host appends to the log of one shard.
type shard struct {
	options Options
	stats   *Stats
	faults  *faultInjection
	lease   *pageLease
	log     *log
	wakeup  chan struct{}
	// contended is true while other hosts write to the shard. The head is then
	// read before each write, since a read costs less than a conflict. Only the
	// commit loop uses it.
	contended bool

	// mu guards queue and calls.
	mu    sync.Mutex
	queue []*op
	// calls holds the keys that are in progress or whose outcome is not yet
	// recorded.
	calls map[keyHash]*call
}

func newShard(c *Claims, n int) *shard {
	return &shard{
		options: c.options,
		stats:   c.stats,
		faults:  &c.faults,
		lease:   c.lease,
		log:     newLog(c.store, n, c.options),
		wakeup:  make(chan struct{}, 1),
		calls:   make(map[keyHash]*call),
	}
}

// beginCall registers the key as in progress and returns its call with first
// true. If the key already is in progress it returns that call with first
// false. It returns nil if Options.MaxPendingKeys keys are registered.
func (s *shard) beginCall(h keyHash, body BodyHash) (c *call, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.calls[h]; c != nil {
		return c, false
	}
	if len(s.calls) >= s.options.MaxPendingKeys {
		return nil, false
	}
	c = &call{body: body, done: make(chan struct{})}
	s.calls[h] = c
	return c, true
}

// endCall removes the call from the registered ones.
func (s *shard) endCall(h keyHash, c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[h] == c {
		delete(s.calls, h)
	}
}

// enqueue adds an entry to the queue. It returns false if the queue is full.
func (s *shard) enqueue(o *op) bool {
	s.mu.Lock()
	full := len(s.queue) >= 2*s.options.MaxPendingKeys
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

// enqueueOutcome adds the outcome of a claim to the queue. If the queue is
// full the outcome is dropped: the claim remains in the log, and repeats of the
// key get the verdict MayHaveRun.
func (s *shard) enqueueOutcome(o *op) {
	if s.enqueue(o) {
		return
	}
	s.stats.Dropped.Add(1)
	o.notifyRecorded()
}

func (s *shard) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// requeue puts entries back at the front of the queue.
func (s *shard) requeue(ops []*op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(ops, s.queue...)
}

// nextBatch removes the next batch from the queue. A batch has at least one
// entry unless the queue is empty.
func (s *shard) nextBatch() []*op {
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

func (s *shard) queueEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) == 0
}

// run commits batches until ctx is done.
func (s *shard) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup:
		}
		for !s.queueEmpty() {
			if !s.awaitBatch(ctx) {
				return
			}
			if !s.commit(ctx, s.nextBatch()) && !backing.Pause(ctx, idleRetryDelay) {
				return
			}
		}
	}
}

// awaitBatch waits for further entries: for Options.ClaimBatchDelay once a claim
// is queued, and for at most Options.OutcomeBatchDelay while there are only
// outcomes, so that these share the write of the next claim. It returns false if
// ctx is done.
func (s *shard) awaitBatch(ctx context.Context) bool {
	timer := time.NewTimer(s.options.OutcomeBatchDelay)
	defer timer.Stop()
	for !s.hasClaim() {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-s.wakeup:
		}
	}
	return backing.Pause(ctx, s.options.ClaimBatchDelay)
}

func (s *shard) hasClaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.queue, (*op).isClaim)
}

// jitter returns a random duration between 0 and d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(d) + 1))
}
