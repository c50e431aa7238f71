package host

import (
	"slices"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/peer"
)

// maxChanges bounds the registry changes retained for peers. A peer that misses
// dropped changes finds that its checksum differs and reads the registry itself.
const maxChanges = 512

// registry tracks the versions of the endpoint entries that this host has applied,
// when they were last confirmed, and the changes that this host read itself, which
// it sends to its peers. It is safe for concurrent use.
type registry struct {
	clock lease.Clock
	view  *endpoint.RegistryView

	mu sync.Mutex // guards the fields below
	// confirmed is the latest instant at which the entries were known to match the
	// store; it is valid if known is set.
	confirmed lease.Instant
	known     bool
	// changes are the latest changes that this host read itself.
	changes []peer.Change
	// first is the number of the first element of changes. Numbers start at 0.
	first int64
}

func newRegistry(clock lease.Clock) *registry {
	return &registry{clock: clock, view: endpoint.NewRegistryView()}
}

// listingEvents returns a full listing at a revision as events: one for each entry
// listed and a deletion for each known entry that is not.
func (r *registry) listingEvents(items []backing.KeyValue, revision backing.Revision) []backing.Event {
	present := make(map[string]bool, len(items))
	events := make([]backing.Event, 0, len(items))
	for _, kv := range items {
		present[kv.Key] = true
		events = append(events, backing.Event{KeyValue: kv})
	}
	for _, key := range r.view.Missing(present, int64(revision)) {
		events = append(events, deletion(key, revision))
	}
	return events
}

// deletion returns the event that deletes an entry.
func deletion(key string, revision backing.Revision) backing.Event {
	return backing.Event{KeyValue: backing.KeyValue{Key: key, Revision: revision}, Deleted: true}
}

// applyRead applies events that this host read itself, retains the new ones for
// peers and returns their number.
func (r *registry) applyRead(now time.Time, events []backing.Event) int {
	applied := 0
	for _, ev := range events {
		if !r.apply(now, ev) {
			continue
		}
		applied++
		r.retain(peer.Change{Key: ev.Key, Value: ev.Value, Revision: int64(ev.Revision), Deleted: ev.Deleted})
	}
	return applied
}

// apply applies an event and reports whether it was new.
func (r *registry) apply(now time.Time, ev backing.Event) bool {
	if ev.Deleted {
		return r.view.Remove(now, ev.Key, int64(ev.Revision))
	}
	return r.view.Put(now, ev.Key, int64(ev.Revision))
}

// retain appends a change for peers. It drops the older half when there are
// maxChanges.
func (r *registry) retain(c peer.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.changes) == maxChanges {
		dropped := maxChanges / 2
		r.changes = append(r.changes[:0], r.changes[dropped:]...)
		r.first += int64(dropped)
	}
	r.changes = append(r.changes, c)
}

// changesSince returns the retained changes from the given number on, and the number
// of the next change.
func (r *registry) changesSince(number int64) ([]peer.Change, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	skip := max(0, min(number-r.first, int64(len(r.changes))))
	return slices.Clone(r.changes[skip:]), r.first + int64(len(r.changes))
}

// confirm records that the applied entries matched the store at the given instant
// or later.
func (r *registry) confirm(at lease.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.known || at.Since(r.confirmed) > 0 {
		r.confirmed, r.known = at, true
	}
}

// age returns the time since the last confirmation; false means that there was none.
func (r *registry) age() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.known {
		return 0, false
	}
	return r.clock.Now().Since(r.confirmed), true
}
