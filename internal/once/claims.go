package once

import (
	"context"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// closePoll is how often Close looks whether all outcomes are recorded.
const closePoll = 10 * time.Millisecond

// Send sends a request once and returns its whole answer, or an error whose
// verdict says whether it may have run.
type Send func(ctx context.Context) (Response, error)

// Claims runs requests at most once for each idempotency key. It is safe for
// concurrent use.
type Claims struct {
	options Options
	stats   *Stats
	store   *countedStore
	lease   *pageLease
	marks   *markMaker
	shards  []*shard
	broken  brokenVariant

	stop  context.CancelFunc
	loops sync.WaitGroup
}

// New returns Claims over the store. Close ends it.
func New(store backing.Store, o Options) *Claims {
	o = o.withDefaults()
	stats := &Stats{}
	counted := &countedStore{store: store, timeout: o.StoreTimeout, stats: stats}
	c := &Claims{
		options: o,
		stats:   stats,
		store:   counted,
		lease:   &pageLease{store: counted, retention: o.Retention, turn: make(chan struct{}, 1)},
		marks:   newMarkMaker(),
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	for n := range o.Shards {
		s := newShard(c, n)
		c.shards = append(c.shards, s)
		c.loops.Go(func() { s.run(ctx) })
	}
	return c
}

// Stats returns the counters.
func (c *Claims) Stats() *Stats { return c.stats }

// Close records the outcomes that are still queued, until ctx ends, and stops.
// No Run may start after it.
func (c *Claims) Close(ctx context.Context) {
	for !c.idle() && backing.Pause(ctx, closePoll) {
		continue
	}
	c.stop()
	c.loops.Wait()
}

// idle reports whether no key is in progress or waits to be recorded.
func (c *Claims) idle() bool {
	for _, s := range c.shards {
		s.mu.Lock()
		busy := len(s.queue) > 0 || len(s.calls) > 0
		s.mu.Unlock()
		if busy {
			return false
		}
	}
	return true
}

// Pending returns the number of keys in progress or not yet recorded.
func (c *Claims) Pending() int {
	n := 0
	for _, s := range c.shards {
		s.mu.Lock()
		n += len(s.calls)
		s.mu.Unlock()
	}
	return n
}
