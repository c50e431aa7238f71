package host

import (
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/peer"
	"github.com/acacialink/acacialink/internal/updatelog"
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
	// read holds the changes that this host read itself. all holds in addition those
	// that it received, for its members.
	read, all *updatelog.Log[peer.Change]
}

func newRegistry(clock lease.Clock) *registry {
	return &registry{clock: clock, view: endpoint.NewRegistryView(), read: updatelog.New[peer.Change](maxChanges), all: updatelog.New[peer.Change](maxChanges)}
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
	for _, key := range r.view.Missing(present, revision) {
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
		r.retain(peer.Change{Key: ev.Key, Value: ev.Value, Revision: ev.Revision, Deleted: ev.Deleted})
	}
	return applied
}

// apply applies an event and reports whether it was new.
func (r *registry) apply(now time.Time, ev backing.Event) bool {
	if ev.Deleted {
		return r.view.Remove(now, ev.Key, ev.Revision)
	}
	return r.view.Put(now, ev.Key, ev.Revision)
}

// retain retains a change for peers.
func (r *registry) retain(c peer.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read.Append(c)
	r.all.Append(c)
}

// applyReceived applies a change that a peer sent and retains a new one for members.
func (r *registry) applyReceived(now time.Time, c peer.Change) {
	if !r.apply(now, changeEvent(c)) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.Append(c)
}

// changeEvent returns a peer's change as an event.
func changeEvent(c peer.Change) backing.Event {
	return backing.Event{KeyValue: backing.KeyValue{Key: c.Key, Value: c.Value, Revision: c.Revision}, Deleted: c.Deleted}
}

// changesSince returns the retained changes that this host read from the given number
// on, and the number of the next one.
func (r *registry) changesSince(number int64) ([]peer.Change, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes, _, next := r.read.Since(number)
	return changes, next
}

// allChangesSince returns the retained changes that this host read or received from the
// given number on, and the number of the next one. The numbers differ from those of
// changesSince.
func (r *registry) allChangesSince(number int64) ([]peer.Change, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes, _, next := r.all.Since(number)
	return changes, next
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
