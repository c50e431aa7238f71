package lease

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/record"
)

// Options configures a Set.
type Options struct {
	// Host is the name of this host. Incarnation identifies this process.
	Host, Incarnation string
	Store             backing.Store
	// Clock defaults to SystemClock.
	Clock    Clock
	Settings Settings
	// Shards returns the names of all existing shards.
	Shards func() []string
	// Preferred returns the host that should hold a shard according to the cached
	// state of this host. If it returns false, the shard is left unchanged.
	Preferred func(shard string) (host string, ok bool)
	// WriteTokens generates the tokens that identify this host's writes.
	WriteTokens *record.WriteTokens
	Log         *slog.Logger
}

// Set is the set of shards of a host. Held, Preferred, Shards and Stats are safe
// for concurrent use. Only one goroutine may call Run or Step.
type Set struct {
	opts   Options
	faults faults
	stats  Stats

	mu sync.Mutex
	// The fields below are guarded by mu.
	lease backing.LeaseID
	// grantedAt is a time before the store last granted or renewed the lease.
	grantedAt Instant
	// ttl is the TTL that the store last granted.
	ttl    time.Duration
	shards map[string]*shard
	// pendingCreates holds the send times of creates with an unknown outcome that
	// may still take effect under the current lease.
	pendingCreates map[string]time.Time
	closed         bool
}

// faults breaks a Set deliberately, so that tests can check that they detect it.
type faults struct {
	// countsFromResponse measures the lease from the arrival of the response.
	countsFromResponse bool
	// noMargin uses the lease after it has expired.
	noMargin bool
	// reusesReleased uses a shard again although its key may be deleted.
	reusesReleased bool
}

// New returns a Set without shards.
func New(opts Options) *Set {
	if opts.Clock == nil {
		opts.Clock = SystemClock{}
	}
	return &Set{opts: opts, shards: make(map[string]*shard), pendingCreates: make(map[string]time.Time)}
}

// Stats returns the counters of the set.
func (s *Set) Stats() *Stats { return &s.stats }

// Held reports whether this host currently holds the shard. It returns the
// fencing token and the time by which all work under the shard must end: at most
// WorkDeadline from now, and before the lease can expire.
func (s *Set) Held(name string) (fence int64, deadline time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.shards[name]
	now := s.opts.Clock.Now()
	remaining := s.remaining(now)
	if item == nil || item.isReleasing || s.closed || item.lease != s.lease || remaining <= 0 {
		return 0, time.Time{}, false
	}
	return int64(item.revision), now.Monotonic.Add(min(remaining, s.opts.Settings.WorkDeadline)), true
}

// remaining returns how long the lease may still be used. The caller must hold mu.
func (s *Set) remaining(now Instant) time.Duration {
	if s.lease == 0 {
		return 0
	}
	remaining := s.ttl - s.opts.Settings.Margin - now.Since(s.grantedAt)
	if s.faults.noMargin {
		remaining = s.ttl + s.opts.Settings.Margin - now.Since(s.grantedAt)
	}
	return remaining
}

// Preferred returns the host that should hold the shard. It is the current holder
// unless the shard is being transferred.
func (s *Set) Preferred(name string) (string, bool) { return s.opts.Preferred(name) }

// Shards returns the fencing tokens of the shards that this host holds, for state
// dumps.
func (s *Set) Shards() map[string]int64 {
	s.mu.Lock()
	names := make([]string, 0, len(s.shards))
	for name := range s.shards {
		names = append(names, name)
	}
	s.mu.Unlock()
	fences := make(map[string]int64, len(names))
	for _, name := range names {
		if fence, _, ok := s.Held(name); ok {
			fences[name] = fence
		}
	}
	return fences
}

// stepInterval is the time between two steps.
const stepInterval = time.Second

// Run calls Step periodically until ctx is canceled. The caller must call Close
// afterwards.
func (s *Set) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		s.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Step renews the lease if renewal is due, acquires the shards that this host
// should hold and relinquishes those that another host should hold.
func (s *Set) Step(ctx context.Context) {
	s.renew(ctx)
	for _, name := range s.opts.Shards() {
		host, ok := s.opts.Preferred(name)
		if !ok {
			continue
		}
		// Slow calls to the store must not delay the renewal of the lease.
		s.renew(ctx)
		if host == s.opts.Host {
			s.acquire(ctx, name)
		} else {
			s.relinquish(ctx, name)
		}
	}
	s.relinquishObsolete(ctx)
}

// relinquishObsolete relinquishes the shards that no longer exist.
func (s *Set) relinquishObsolete(ctx context.Context) {
	existing := make(map[string]bool)
	for _, name := range s.opts.Shards() {
		existing[name] = true
	}
	s.mu.Lock()
	var obsolete []string
	for name := range s.shards {
		if !existing[name] {
			obsolete = append(obsolete, name)
		}
	}
	for name := range s.pendingCreates {
		if !existing[name] && s.shards[name] == nil {
			obsolete = append(obsolete, name)
		}
	}
	s.mu.Unlock()
	for _, name := range obsolete {
		s.relinquish(ctx, name)
	}
}
