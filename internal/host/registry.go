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

// maxChanges bounds the changes of the registry that are kept for peers. One
// that is told too late sees that its entries differ and reads them itself.
const maxChanges = 512

// registry is what this host read of the endpoints' entries, when that was last
// confirmed, and the changes that it found before its peers. It is safe for
// concurrent use.
type registry struct {
	clock lease.Clock
	view  *endpoint.View

	mu        sync.Mutex
	confirmed lease.Instant
	known     bool
	// changes are the latest that this host read itself; the first of them is
	// number first.
	changes []peer.Change
	first   int64
}

func newRegistry(clock lease.Clock) *registry {
	return &registry{clock: clock, view: endpoint.NewView()}
}

// listing is the changes that a whole listing at a revision stands for.
func (r *registry) listing(items []backing.KeyValue, revision backing.Revision) []backing.Event {
	present := make(map[string]bool, len(items))
	events := make([]backing.Event, 0, len(items))
	for _, kv := range items {
		present[kv.Key] = true
		events = append(events, backing.Event{KeyValue: kv})
	}
	for _, key := range r.view.Missing(present, int64(revision)) {
		events = append(events, removal(key, revision))
	}
	return events
}

// removal is the change that takes an entry away.
func removal(key string, revision backing.Revision) backing.Event {
	return backing.Event{KeyValue: backing.KeyValue{Key: key, Revision: revision}, Deleted: true}
}

// read takes changes that this host read itself and returns how many were news.
func (r *registry) read(now time.Time, events []backing.Event) int {
	found := 0
	for _, ev := range events {
		if !r.take(now, ev) {
			continue
		}
		found++
		r.tell(peer.Change{Key: ev.Key, Value: ev.Value, Revision: int64(ev.Revision), Deleted: ev.Deleted})
	}
	return found
}

// take takes a change and says whether it was news.
func (r *registry) take(now time.Time, ev backing.Event) bool {
	if ev.Deleted {
		return r.view.Remove(now, ev.Key, int64(ev.Revision))
	}
	return r.view.Put(now, ev.Key, int64(ev.Revision))
}

func (r *registry) tell(c peer.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.changes) == maxChanges {
		gone := maxChanges / 2
		r.changes = append(r.changes[:0], r.changes[gone:]...)
		r.first += int64(gone)
	}
	r.changes = append(r.changes, c)
}

// since returns the changes from a number on, as far as they are remembered, and
// the number of the next one.
func (r *registry) since(number int64) ([]peer.Change, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := max(0, min(number-r.first, int64(len(r.changes))))
	return slices.Clone(r.changes[known:]), r.first + int64(len(r.changes))
}

// confirm notes that the entries were as this host has them at a moment or later.
func (r *registry) confirm(at lease.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.known || at.Since(r.confirmed) > 0 {
		r.confirmed, r.known = at, true
	}
}

// age is the time since the last confirmation; false means that there was none.
func (r *registry) age() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.known {
		return 0, false
	}
	return r.clock.Now().Since(r.confirmed), true
}
