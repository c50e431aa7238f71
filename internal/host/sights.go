package host

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/peer"
)

// sights is what this host knows of the store at this moment, for its peers.
func (h *Host) sights() peer.Sights {
	configAge, configKnown := h.catalog.Age()
	age, known := h.registry.age()
	return peer.Sights{
		Follows:   known && !h.listings.lost.Load() && !h.draining.Load() && h.follows(),
		Config:    sight(uint64(h.catalog.Revision()), configAge, configKnown), //nolint:gosec // a revision is not negative
		Endpoints: sight(h.registry.view.Sum(), age, known),
	}
}

func sight(version uint64, age time.Duration, known bool) peer.Sight {
	if !known {
		return peer.Sight{Version: version, Age: -1}
	}
	return peer.Sight{Version: version, Age: (age + time.Millisecond - 1).Milliseconds()}
}

// follows says whether this host is among those that follow the store for all:
// fewer than followers of the peers that it hears come before it and do so.
func (h *Host) follows() bool { return h.before() < followers }

// before is the number of peers that come before this host by name and follow
// the store.
func (h *Host) before() int {
	heard := h.audible()
	h.mu.Lock()
	defer h.mu.Unlock()
	before := 0
	for _, name := range heard {
		if name < h.o.Settings.Name && h.sighted[name].Follows {
			before++
		}
	}
	return before
}

// hearSights takes what a peer says to know of the store. It proves nothing, for
// it may be long under way, but it may tell that this host is behind.
func (h *Host) hearSights(s *peer.Snapshot) {
	h.mu.Lock()
	h.sighted[s.Host] = s.Sights
	h.mu.Unlock()
	if s.Sights.Config.Version > uint64(h.catalog.Revision()) { //nolint:gosec // a revision is not negative
		h.configs.Urge()
	}
}

// vouched takes the answer to an exchange that was begun at a moment. The peer
// made it later, so what it confirmed was so as long before that moment as it
// says, or later.
func (h *Host) vouched(in *peer.Snapshot, begun lease.Instant) {
	h.hearSights(in)
	if c := in.Sights.Config; c.Age >= 0 {
		h.catalog.Confirm(int64(c.Version), begun.Add(-time.Duration(c.Age)*time.Millisecond)) //nolint:gosec // a revision as it was sent
	}
	if e := in.Sights.Endpoints; e.Age >= 0 && e.Version == h.registry.view.Sum() {
		h.registry.confirm(begun.Add(-time.Duration(e.Age) * time.Millisecond))
	}
}

// hearChanges takes changes of the registry that a peer read.
func (h *Host) hearChanges(now time.Time, changes []peer.Change) {
	for _, c := range changes {
		ev := backing.Event{
			KeyValue: backing.KeyValue{Key: c.Key, Value: c.Value, Revision: backing.Revision(c.Revision)},
			Deleted:  c.Deleted,
		}
		h.takeEndpoints([]backing.Event{ev})
		if !h.lapsed(ev) {
			h.registry.take(now, ev)
		}
	}
}
