package host

import (
	"sync/atomic"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/leader"
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
	version, _ := h.catalog.Taken()
	h.opts.Log.Warn("store restored", "era", now, "era_before", before, observe.FieldRevision, int64(h.catalog.Revision()), "config_version", version)
	notice := leader.EraNotice{Era: now, At: h.medianClock.Now(), Led: h.isLeader()}
	h.mu.Lock()
	h.eraNotice = notice
	h.mu.Unlock()
	h.endpoints.RegistryFailed()
}

// eraNoticed returns what this host saw of the latest era of the store that it saw begin.
func (h *Host) eraNoticed() leader.EraNotice {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.eraNotice
}
