package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// closePollInterval is the interval at which Close checks for unrecorded outcomes.
const closePollInterval = 10 * time.Millisecond

// Send sends a request once and returns the complete response, or an error
// whose verdict states whether the request may have run.
type Send func(ctx context.Context) (Response, error)

// Claims runs requests at most once per idempotency key. It is safe for
// concurrent use.
type Claims struct {
	options  Options
	stats    *Stats
	store    *countedStore
	lease    *pageLease
	claimIDs *claimIDSource
	shards   []*shard
	faults   faultInjection

	stop        context.CancelFunc
	commitLoops sync.WaitGroup
}

// New returns Claims that use the store, and starts one commit loop per
// shard. Call Close to stop them.
func New(store backing.Store, o Options) *Claims {
	o = o.withDefaults()
	stats := &Stats{}
	counted := &countedStore{store: store, timeout: o.StoreTimeout, stats: stats}
	c := &Claims{
		options:  o,
		stats:    stats,
		store:    counted,
		lease:    &pageLease{store: counted, retention: o.Retention, sem: make(chan struct{}, 1)},
		claimIDs: newClaimIDSource(),
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	for n := range o.Shards {
		s := newShard(c, n)
		c.shards = append(c.shards, s)
		c.commitLoops.Go(func() { s.run(ctx) })
	}
	return c
}

// Stats returns the counters. They are updated concurrently.
func (c *Claims) Stats() *Stats { return c.stats }

// Close waits until the queued outcomes are recorded or ctx is done, then stops
// the commit loops. Run must not be called after Close.
func (c *Claims) Close(ctx context.Context) {
	for !c.idle() && backing.Pause(ctx, closePollInterval) {
		continue
	}
	c.stop()
	c.commitLoops.Wait()
}

// idle reports whether no key is in progress and no entry is queued.
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

// PendingKeys returns the number of keys that are in progress or whose outcome is
// not yet recorded.
func (c *Claims) PendingKeys() int {
	n := 0
	for _, s := range c.shards {
		s.mu.Lock()
		n += len(s.calls)
		s.mu.Unlock()
	}
	return n
}
