package catalog

import (
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/lease"
)

// Cache caches the newest known catalog and the time of its last confirmation.
// It never reverts to an older revision. It is safe for concurrent use.
type Cache struct {
	clock lease.Clock
	// maxAge is how long a confirmation is valid.
	maxAge time.Duration

	mu      sync.RWMutex
	current *Catalog
	// revision is the store revision of current.
	revision int64
	// confirmedAt is when the last confirming read was sent, if confirmed.
	confirmedAt lease.Instant
	confirmed   bool
}

// NewCache returns a cache without a catalog. A confirmation is valid for
// maxAge from the moment before the confirming read was sent.
func NewCache(clock lease.Clock, maxAge time.Duration) *Cache {
	return &Cache{clock: clock, maxAge: maxAge}
}

// Current returns the newest catalog, or nil if none is known.
func (c *Cache) Current() *Catalog {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.current
}

// Revision returns the store revision of the newest catalog.
func (c *Cache) Revision() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.revision
}

// Update stores a catalog read from the store at a revision if it is newer than
// the current one, and reports whether it is.
func (c *Cache) Update(revision int64, next *Catalog) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.revision {
		return false
	}
	c.revision, c.current = revision, next
	return true
}

// Confirm records that a linearizable read sent at the given instant returned
// the revision. It is ignored unless that is the revision of the current
// catalog.
func (c *Cache) Confirm(revision int64, sent lease.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision != c.revision {
		return
	}
	if !c.confirmed || sent.Since(c.confirmedAt) > 0 {
		c.confirmedAt, c.confirmed = sent, true
	}
}

// Age returns the time since the last confirmation; false means that there was
// none.
func (c *Cache) Age() (time.Duration, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if !c.confirmed {
		return 0, false
	}
	return c.clock.Now().Since(c.confirmedAt), true
}

// Fresh reports whether keys may be trusted at this moment: the last
// confirmation is less than maxAge old.
func (c *Cache) Fresh() bool {
	age, ok := c.Age()
	return ok && age < c.maxAge
}
