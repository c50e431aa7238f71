package catalog

import (
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/lease"
)

// Cache caches the newest known catalog and the time of its last confirmation.
// It never reverts to an older revision, nor to an older version that a store
// has because it was restored from a copy. It is safe for concurrent use.
type Cache struct {
	clock lease.Clock
	// maxAge is how long a confirmation is valid.
	maxAge time.Duration

	mu      sync.RWMutex
	current *Catalog
	// revision is the store revision of the last catalog read, taken that of
	// current.
	revision, taken backing.Revision
	// required is the newest version that another host is known to have had. behind is
	// set while the store has an older one than is known.
	required int64
	behind   bool
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

// Revision returns the store revision of the last catalog read.
func (c *Cache) Revision() backing.Revision {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.revision
}

// Behind reports whether the store has an older catalog than is known, since it was
// restored from a copy.
func (c *Cache) Behind() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.behind
}

// Update stores a catalog read from the store at a revision if it is newer than
// the current one, and reports whether it is. In a later era of the store, a catalog of an
// older version than is known is not: what was written since the copy is written again.
func (c *Cache) Update(revision backing.Revision, next *Catalog) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.revision {
		return false
	}
	c.revision = revision
	known := c.required
	if c.current != nil {
		known = max(known, c.current.Version)
	}
	if c.behind = revision.Era() > c.taken.Era() && next.Version < known; c.behind {
		return false
	}
	c.taken, c.current = revision, next
	return true
}

// Taken returns the version and the store revision of the current catalog; 0 for none.
func (c *Cache) Taken() (version int64, revision backing.Revision) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.current == nil {
		return 0, 0
	}
	return c.current.Version, c.taken
}

// Require records that another host took a version in an earlier era of the store than this
// host took its own. If that is older, it is withdrawn: the store had it from a copy. It
// reports whether that was so.
func (c *Cache) Require(version int64, taken backing.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil || taken == 0 || taken.Era() >= c.taken.Era() || c.current.Version >= version {
		return false
	}
	c.required = max(c.required, version)
	c.current, c.taken, c.confirmed, c.behind = nil, 0, false, true
	return true
}

// Confirm records that a linearizable read sent at the given instant returned
// the revision. It is ignored unless that is the revision of the current
// catalog.
func (c *Cache) Confirm(revision backing.Revision, sent lease.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision != c.revision || c.behind {
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
