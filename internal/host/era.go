package host

import (
	"sync/atomic"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/observe"
)

// revisionCell holds a revision. It is safe for concurrent use.
type revisionCell struct{ v atomic.Int64 }

func (c *revisionCell) Load() backing.Revision   { return backing.Revision(c.v.Load()) }
func (c *revisionCell) Store(r backing.Revision) { c.v.Store(int64(r)) }

// watchEra logs and counts when the store comes back from an older copy.
func (h *Host) watchEra() {
	source, ok := h.opts.Ports.Store.(backing.EraSource)
	if !ok {
		return
	}
	h.opts.Registry.NewGauge("store_era", func() any { return source.Era() })
	source.OnEra(h.eraChanged)
}

// eraChanged handles a later era of the store; before is 0 if none was known. Entries of
// endpoints may be missing until they are written again, as after an outage.
func (h *Host) eraChanged(before, now int64) {
	if before == 0 {
		return
	}
	h.opts.Log.Warn("store restored", "era", now, "era_before", before, observe.FieldRevision, int64(h.catalog.Revision()), "config_version", h.catalogVersion())
	h.mu.Lock()
	h.eraSeen, h.eraSeenAt = now, h.medianClock.Now()
	h.mu.Unlock()
	h.endpoints.RegistryFailed()
}

// eraNoticed returns the latest era of the store that this host saw begin, and when it did by
// the median clock; 0 if it saw none.
func (h *Host) eraNoticed() (era int64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.eraSeen, h.eraSeenAt
}
