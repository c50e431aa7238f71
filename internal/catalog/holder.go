package catalog

import (
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/lease"
)

// Holder keeps the newest catalog that the process has seen and when that was
// last confirmed. It is safe for concurrent use and never goes back to an
// older version.
type Holder struct {
	clock lease.Clock
	// fresh is how long a confirmation holds.
	fresh time.Duration

	mu        sync.RWMutex
	current   *Catalog
	revision  int64
	confirmed lease.Instant
	known     bool
}

// NewHolder returns a holder without a catalog. A confirmation counts for fresh
// from the moment before the confirming read was sent.
func NewHolder(clock lease.Clock, fresh time.Duration) *Holder {
	return &Holder{clock: clock, fresh: fresh}
}

// Current returns the newest catalog, or nil when none is known.
func (h *Holder) Current() *Catalog {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current
}

// Revision is the store's revision of the newest catalog.
func (h *Holder) Revision() int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.revision
}

// Offer takes a catalog as it stood in the store at a revision, and reports
// whether it is newer than the one held.
func (h *Holder) Offer(revision int64, c *Catalog) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision <= h.revision {
		return false
	}
	h.revision, h.current = revision, c
	return true
}

// Confirm notes that a linearizable read sent at the given moment found the
// revision. It proves freshness only if that is the revision held.
func (h *Holder) Confirm(revision int64, sent lease.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision != h.revision {
		return
	}
	if !h.known || sent.Since(h.confirmed) > 0 {
		h.confirmed, h.known = sent, true
	}
}

// Age is the time since the last confirmation; false means that there was none.
func (h *Holder) Age() (time.Duration, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if !h.known {
		return 0, false
	}
	return h.clock.Now().Since(h.confirmed), true
}

// Fresh says whether keys may be trusted at this moment.
func (h *Holder) Fresh() bool {
	age, ok := h.Age()
	return ok && age < h.fresh
}
