package catalog

import (
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/lease"
)

// Holder caches the newest known catalog and the time of its last confirmation.
// It never reverts to an older revision. It is safe for concurrent use.
type Holder struct {
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

// NewHolder returns a holder without a catalog. A confirmation is valid for
// maxAge from the moment before the confirming read was sent.
func NewHolder(clock lease.Clock, maxAge time.Duration) *Holder {
	return &Holder{clock: clock, maxAge: maxAge}
}

// Current returns the newest catalog, or nil if none is known.
func (h *Holder) Current() *Catalog {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current
}

// Revision returns the store revision of the newest catalog.
func (h *Holder) Revision() int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.revision
}

// Offer stores a catalog read from the store at a revision if it is newer than
// the current one, and reports whether it is.
func (h *Holder) Offer(revision int64, c *Catalog) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision <= h.revision {
		return false
	}
	h.revision, h.current = revision, c
	return true
}

// Confirm records that a linearizable read sent at the given instant returned
// the revision. It is ignored unless that is the revision of the current
// catalog.
func (h *Holder) Confirm(revision int64, sent lease.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision != h.revision {
		return
	}
	if !h.confirmed || sent.Since(h.confirmedAt) > 0 {
		h.confirmedAt, h.confirmed = sent, true
	}
}

// Age returns the time since the last confirmation; false means that there was
// none.
func (h *Holder) Age() (time.Duration, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if !h.confirmed {
		return 0, false
	}
	return h.clock.Now().Since(h.confirmedAt), true
}

// Fresh reports whether keys may be trusted at this moment: the last
// confirmation is less than maxAge old.
func (h *Holder) Fresh() bool {
	age, ok := h.Age()
	return ok && age < h.maxAge
}
