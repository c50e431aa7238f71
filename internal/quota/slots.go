package quota

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialink/acacialink/internal/backing"
)

// SlotKey is the store's key of the SlotTable.
const SlotKey = "quota/slots"

// SlotConfig is what Slots are made of.
type SlotConfig struct {
	Host        string
	Incarnation string
	Store       backing.Store
	Hosts       backing.HostList
	// Fresh says whether this host may act on its configuration; nil means
	// always. A host that the others take for gone must have turned unfresh
	// before GoneAfter is over.
	Fresh func() bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

const (
	// GoneAfter is how long an owner must be absent from the host list before
	// its slots are taken. It exceeds the time in which a host that is cut
	// off stops serving.
	GoneAfter = 15 * time.Second
	// slotInterval is how often the host list is read and slots are planned.
	slotInterval = 5 * time.Second
	// slotWatch is how long one watch of the table waits.
	slotWatch = 30 * time.Second
	// slotRetry is the shortest pause after a failure, and maxDoublings how
	// often it doubles at most.
	slotRetry    = 50 * time.Millisecond
	maxDoublings = 10
	// watchRetry is the pause after a failed watch.
	watchRetry = time.Second
	// slotTimeout bounds one call of the store or the host list.
	slotTimeout = 3 * time.Second
)

// Slots is the Ownership of the base parts. The store keeps the table without
// a lease: an owner goes on through an outage, and loses a slot only when it
// gives it back or has been gone from the host list for GoneAfter. It is safe
// for concurrent use.
type Slots struct {
	config SlotConfig

	mu sync.Mutex
	// The fields below are guarded by mu.
	table    SlotTable
	revision backing.Revision
	census   census
	// stale means that the store must be read before the next write.
	stale  bool
	closed bool
}

var _ Ownership = (*Slots)(nil)

// NewSlots returns slots that know no table yet; Run reads it.
func NewSlots(c SlotConfig) *Slots {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Fresh == nil {
		c.Fresh = func() bool { return true }
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

// Owned implements Ownership. The first owner that a shard ever has finds its
// buckets full.
func (s *Slots) Owned(shard int) (Tenure, bool) {
	if !s.config.Fresh() {
		return Tenure{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.table.Slots[shard]
	if s.closed || slot.Host != s.config.Host || slot.Incarnation != s.config.Incarnation {
		return Tenure{}, false
	}
	return Tenure{Fence: slot.Fence, Fresh: slot.Fence == 1}, true
}

// Complete says whether every shard has an owner, as far as this host knows.
func (s *Slots) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, slot := range s.table.Slots {
		if slot.Host == "" {
			return false
		}
	}
	return true
}

// Counts is the number of slots by host, for dumps.
func (s *Slots) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.counts()
}

// Run follows the table and takes slots until ctx ends. It returns the
// context's error.
func (s *Slots) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.follow(ctx) })
	defer wg.Wait()
	failures := 0
	for {
		if s.step(ctx) {
			failures = 0
		} else {
			failures++
		}
		if !backing.Pause(ctx, s.pause(failures)) {
			return ctx.Err()
		}
	}
}

// pause is the time to the next step. After failures it grows from slotRetry
// to slotInterval, and differs between hosts, so that hosts which start
// together do not write over each other for long.
func (s *Slots) pause(failures int) time.Duration {
	if failures == 0 {
		return slotInterval
	}
	longest := min(slotInterval, slotRetry<<min(failures, maxDoublings))
	spread := xxhash.Sum64String(s.config.Host+strconv.Itoa(failures)) % uint64(longest/2)
	return longest/2 + time.Duration(spread)
}

// Close gives back this host's slots, for a planned stop. They are not
// granted from any more, whatever it returns.
func (s *Slots) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	var err error
	for range closeTries {
		if err = s.giveBack(ctx); err == nil || ctx.Err() != nil {
			break
		}
	}
	return err
}

// closeTries bounds the writes of Close: hosts that stop together write the
// same table.
const closeTries = 16

func (s *Slots) giveBack(ctx context.Context) error {
	if err := s.read(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	table, revision := s.table, s.revision
	s.mu.Unlock()
	after := table.without(s.config.Host)
	if after == table {
		return nil
	}
	return s.write(ctx, after, revision)
}

// step reads the host list and takes or gives back slots, and says whether all
// of that went well. After a write that
// failed, the next step begins with what is in the store, so that one whose
// answer was lost is found there.
func (s *Slots) step(ctx context.Context) bool {
	if s.isStale() && s.read(ctx) != nil {
		return false
	}
	listCtx, cancel := context.WithTimeout(ctx, slotTimeout)
	defer cancel()
	hosts, err := s.config.Hosts.Hosts(listCtx)
	if err != nil {
		return false
	}
	s.mu.Lock()
	now := s.config.Now()
	s.census.observe(now, s.config.Host, hosts, s.table.owners())
	after, changed := s.table.plan(now, s.config.Host, s.config.Incarnation, &s.census, GoneAfter)
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
