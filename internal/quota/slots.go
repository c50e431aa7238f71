package quota

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialink/acacialink/internal/backing"
)

// SlotTableKey is the key of the SlotTable in the store.
const SlotTableKey = "quota/slots"

// SlotConfig configures Slots.
type SlotConfig struct {
	Host        string
	Incarnation string
	Store       backing.Store
	Hosts       backing.HostList
	// ConfigFresh reports whether this host's configuration is recent enough to
	// act on; nil means always. On a host that the others consider lost,
	// ConfigFresh must return false before OwnerAbsenceTimeout has passed.
	ConfigFresh func() bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

const (
	// OwnerAbsenceTimeout is how long an owner must be absent from the host list
	// before its slots are claimed by others. It exceeds the time within which
	// an isolated host stops serving.
	OwnerAbsenceTimeout = 15 * time.Second
	// slotPlanInterval is the interval at which the host list is read and slots
	// are planned.
	slotPlanInterval = 5 * time.Second
	// slotWatchTimeout is how long one watch call on the table waits.
	slotWatchTimeout = 30 * time.Second
	// minSlotRetryDelay is the shortest delay after a failure.
	minSlotRetryDelay = 50 * time.Millisecond
	// maxRetryDoublings bounds how often the delay doubles.
	maxRetryDoublings = 10
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = time.Second
	// slotCallTimeout bounds one call of the store or the host list.
	slotCallTimeout = 3 * time.Second
)

// Slots is the Ownership of the base parts. The table in the store has no
// lease: an owner continues during a store outage, and loses a slot only if it
// releases it or has been absent from the host list for OwnerAbsenceTimeout.
// Slots is safe for concurrent use.
type Slots struct {
	config SlotConfig

	mu sync.Mutex
	// The fields below are guarded by mu.
	table    SlotTable
	revision backing.Revision
	presence hostPresence
	// stale means that the table must be read from the store before the next
	// write.
	stale  bool
	closed bool
}

var _ Ownership = (*Slots)(nil)

// NewSlots returns slots without a table; Run reads it.
func NewSlots(c SlotConfig) *Slots {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.ConfigFresh == nil {
		c.ConfigFresh = func() bool { return true }
	}
	return &Slots{config: c, stale: true}
}

// Owner implements Ownership.
func (s *Slots) Owner(shard int) (string, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.table.Slots[shard]
	return slot.Host, slot.Fence, slot.Host != ""
}

// Owned implements Ownership. The first owner of a shard starts with full
// buckets.
func (s *Slots) Owned(shard int) (Tenure, bool) {
	if !s.config.ConfigFresh() {
		return Tenure{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.table.Slots[shard]
	if s.closed || slot.Host != s.config.Host || slot.Incarnation != s.config.Incarnation {
		return Tenure{}, false
	}
	return Tenure{Fence: slot.Fence, FirstOwner: slot.Fence == 1}, true
}

// AllOwned reports whether every shard has an owner, as far as this host knows.
func (s *Slots) AllOwned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, slot := range s.table.Slots {
		if slot.Host == "" {
			return false
		}
	}
	return true
}

// Counts returns the number of slots by host, for state dumps.
func (s *Slots) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.counts()
}

// Run watches the table, and claims and releases slots, until ctx ends. It
// returns the context's error.
func (s *Slots) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.watch(ctx) })
	defer wg.Wait()
	failures := 0
	for {
		if s.reconcile(ctx) {
			failures = 0
		} else {
			failures++
		}
		if !backing.Pause(ctx, s.nextDelay(failures)) {
			return ctx.Err()
		}
	}
}

// nextDelay returns the delay before the next reconcile. After failures it
// grows from minSlotRetryDelay to slotPlanInterval with a per-host jitter, so
// that the writes of hosts which start together soon stop conflicting.
func (s *Slots) nextDelay(failures int) time.Duration {
	if failures == 0 {
		return slotPlanInterval
	}
	maxDelay := min(slotPlanInterval, minSlotRetryDelay<<min(failures, maxRetryDoublings))
	jitter := xxhash.Sum64String(s.config.Host+strconv.Itoa(failures)) % uint64(maxDelay/2)
	return maxDelay/2 + time.Duration(jitter)
}

// Close releases this host's slots for a planned stop. The host stops granting
// from them even if Close returns an error.
func (s *Slots) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	var err error
	for range closeAttempts {
		if err = s.releaseSlots(ctx); err == nil || ctx.Err() != nil {
			break
		}
	}
	return err
}

// closeAttempts bounds the writes of Close: hosts that stop together write the
// same table and conflict.
const closeAttempts = 16

func (s *Slots) releaseSlots(ctx context.Context) error {
	if err := s.read(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	table, revision := s.table, s.revision
	s.mu.Unlock()
	after := table.withoutHost(s.config.Host)
	if after == table {
		return nil
	}
	return s.write(ctx, after, revision)
}

// reconcile reads the host list, claims or releases slots, and reports whether
// all calls succeeded. After a failed write the next call reads the store
// first, so that a write whose answer was lost is detected.
func (s *Slots) reconcile(ctx context.Context) bool {
	if s.isStale() && s.read(ctx) != nil {
		return false
	}
	listCtx, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	hosts, err := s.config.Hosts.Hosts(listCtx)
	if err != nil {
		return false
	}
	s.mu.Lock()
	now := s.config.Now()
	s.presence.update(now, s.config.Host, hosts, s.table.owners())
	after, changed := s.table.plan(now, s.config.Host, s.config.Incarnation, &s.presence, OwnerAbsenceTimeout)
	revision := s.revision
	changed = changed && !s.closed
	s.mu.Unlock()
	if changed && s.write(ctx, after, revision) != nil {
		s.setStale(true)
		return false
	}
	return true
}

func (s *Slots) isStale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stale
}

func (s *Slots) setStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = stale
}
