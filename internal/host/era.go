package host

import (
	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/observe"
)

// watchEra logs and counts when the store comes back from an older copy.
func (h *Host) watchEra() {
	source, ok := h.opts.Ports.Store.(backing.EraSource)
	if !ok {
		return
	}
	h.opts.Registry.NewGauge("store_era", func() any { return source.Era() })
	source.OnEra(h.eraChanged)
}

// eraChanged handles a later era of the store; before is 0 if none was known.
func (h *Host) eraChanged(before, now int64) {
	if before == 0 {
		return
	}
	current := h.catalog.Current()
	version := int64(0)
	if current != nil {
		version = current.Version
	}
	h.opts.Log.Warn("store restored", "era", now, "era_before", before, observe.FieldRevision, h.catalog.Revision(), "config_version", version)
}
