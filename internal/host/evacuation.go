package host

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/observe"
)

// EvacuationSource describes where the store holds the evacuations of failure domains.
type EvacuationSource struct {
	// Prefix is the prefix of the configuration's key and of the evacuations' keys: one call
	// reads both.
	Prefix string
	// Domain returns the failure domain that a key evacuates; false for a key of another kind.
	Domain func(key string) (string, bool)
}

// evacuates reports whether operators can evacuate failure domains.
func (h *Host) evacuates() bool {
	return h.opts.Settings.EvacuationBound > 0 && h.opts.Ports.Evacuations.Domain != nil
}

// operatorPrefix is the prefix of the keys that operators write and this host reads.
func (h *Host) operatorPrefix() string {
	if h.evacuates() {
		return h.opts.Ports.Evacuations.Prefix
	}
	return h.opts.Ports.Config.Key
}

// evacuationOf returns the evacuation that a key states.
func (h *Host) evacuationOf(ev backing.Event) (endpoint.Evacuation, bool) {
	if !h.evacuates() {
		return endpoint.Evacuation{}, false
	}
	domain, ok := h.opts.Ports.Evacuations.Domain(ev.Key)
	return endpoint.Evacuation{Domain: domain, Revision: ev.Revision, Ended: ev.Deleted}, ok
}

// listEvacuations applies a full listing of the operators' keys as of revision.
func (h *Host) listEvacuations(items []backing.KeyValue, revision backing.Revision) {
	var listed []endpoint.Evacuation
	for _, kv := range items {
		if e, ok := h.evacuationOf(backing.Event{KeyValue: kv}); ok {
			listed = append(listed, e)
		}
	}
	h.applyEvacuations(h.evacuations.Listing(listed, revision))
}

// applyEvacuations applies states of evacuations that this host or a peer read. The peers are
// told of a change at once.
func (h *Host) applyEvacuations(states []endpoint.Evacuation) {
	changed := h.evacuations.Apply(states)
	if len(changed) == 0 {
		return
	}
	now := time.Now()
	for _, e := range changed {
		message := "failure domain evacuated"
		if e.Ended {
			message = "evacuation taken back"
			h.tracker.DomainReturned(now, e.Domain)
		}
		h.opts.Log.Info(message, "evacuated_domain", e.Domain, observe.FieldRevision, int64(e.Revision))
	}
	h.endpoints.SetEvacuated(now, h.evacuations.Domains())
	h.group.TriggerExchange()
}
