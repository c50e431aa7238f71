package endpoint

import (
	"sort"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Set is the set of endpoints that accept work. It is safe for concurrent use.
//
// Listings and watches of the registry may be delivered in any order, so an
// entry is applied only if it is not older than the known revision of its ID.
// An incarnation that has been draining never accepts work again. One that left, or that
// another replaced, does not come back with the copy from which the registry is restored;
// see fromCopy. An endpoint whose entry is missing is removed, except during an outage of
// the registry and the settling delay after it: entries expire then although their
// endpoints are alive.
type Set struct {
	// settlingDelay is how long after an outage endpoints with missing entries
	// are retained.
	settlingDelay time.Duration

	mu        sync.RWMutex
	byService map[string][]*Endpoint
	byID      map[string]*Endpoint
	// drained maps each incarnation that has been draining, or has stated that it leaves,
	// to the time at which it was last in the registry. versions is the latest known revision of each ID.
	drained  map[Key]time.Time
	versions map[string]entryVersion
	// gone holds the incarnations whose entries were removed or replaced.
	gone map[Key]*departure
	// evacuated holds the failure domains whose endpoints get no work.
	evacuated map[string]bool
	// missing holds the IDs of endpoints whose entries went missing in an
	// outage. They are removed unless they are listed again within the settling
	// delay.
	missing map[string]bool
	// unavailable is true while the registry cannot be read. recoveredAt is the
	// time at which it became readable again.
	unavailable bool
	recoveredAt time.Time
	// era is the latest era of the registry seen.
	era int64
	// listedAt is the time of the latest listing.
	listedAt time.Time
}

// entryVersion is the latest known revision of an entry, which may be deleted.
type entryVersion struct {
	revision backing.Revision
	// updatedAt is the time of the latest update; it is refreshed while the
	// endpoint is in the set.
	updatedAt time.Time
}

// departure is the end of an incarnation's entry.
type departure struct {
	at time.Time
	// era is the era of the registry in which the entry ended. copied is the revision with
	// which it appeared in a later one; 0 if it has not.
	era    int64
	copied backing.Revision
}

// tombstoneTTL is how long a removed endpoint is remembered. It exceeds the
// duration of any drain and any read.
const tombstoneTTL = time.Minute

// drainedTTL is how long an incarnation that has been draining is remembered after it was
// last in the registry. Its entry may stand for long if it was mistaken.
const drainedTTL = 10 * time.Minute

// NewSet returns an empty set.
func NewSet(settlingDelay time.Duration) *Set {
	return &Set{
		settlingDelay: settlingDelay, byService: make(map[string][]*Endpoint), byID: make(map[string]*Endpoint),
		drained: make(map[Key]time.Time), versions: make(map[string]entryVersion), missing: make(map[string]bool), gone: make(map[Key]*departure),
	}
}

// Change lists the effects of an update, for logs. StageChanged endpoints have
// changed their stage. Retained ones stay in the set although their entries are
// missing. Replaced ones have returned under their ID as another incarnation.
type Change struct {
	Added, Removed, StageChanged, Retained, Replaced []*Endpoint
}

// RegistryFailed records that the registry could not be read.
func (s *Set) RegistryFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = true
}

// Missing reports whether an endpoint is retained although its entry is
// missing, because the entry went missing in an outage.
func (s *Set) Missing(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.missing[id]
}

// RemoveMissing removes the endpoints whose entries went missing in an outage
// and were not listed again within the settling delay.
func (s *Set) RemoveMissing(now time.Time) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var change Change
	if len(s.missing) == 0 || s.settling(now) {
		return change
	}
	for id := range s.missing {
		if old := s.byID[id]; old != nil {
			s.remove(now, old, &change)
		}
	}
	clear(s.missing)
	s.rebuild(now)
	return change
}

// settling reports whether entries may be missing because of an outage. The
// caller holds mu.
func (s *Set) settling(now time.Time) bool {
	return s.unavailable || !s.recoveredAt.IsZero() && now.Sub(s.recoveredAt) < s.settlingDelay
}

// Replace applies a complete listing of the registry as of revision or later.
func (s *Set) Replace(now time.Time, revision backing.Revision, listing []*Endpoint) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		s.unavailable, s.recoveredAt = false, now
	}
	s.listedAt = now
	var change Change
	present := make(map[string]bool, len(listing))
	for _, e := range listing {
		present[e.ID] = true
		s.put(now, e, &change)
	}
	for id, old := range s.byID {
		if !present[id] && old.Revision <= revision {
			s.remove(now, old, &change)
		}
	}
	s.rebuild(now)
	return change
}

// Put applies one entry of the registry.
func (s *Set) Put(now time.Time, e *Endpoint) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var change Change
	s.put(now, e, &change)
	s.rebuild(now)
	return change
}

// Leave removes an incarnation that states itself that it leaves, whatever the registry
// says of it.
func (s *Set) Leave(now time.Time, key Key) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var change Change
	s.drained[key] = now
	old := s.byID[key.ID]
	if old == nil || old.Key() != key {
		return change
	}
	left := *old
	left.Draining = true
	delete(s.byID, key.ID)
	delete(s.missing, key.ID)
	change.Removed = append(change.Removed, &left)
	s.rebuild(now)
	return change
}

// Remove applies the deletion of an ID's entry at a revision.
func (s *Set) Remove(now time.Time, id string, revision backing.Revision) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var change Change
	if revision < s.versions[id].revision {
		return change
	}
	s.versions[id] = entryVersion{revision, now}
	if old := s.byID[id]; old != nil {
		s.remove(now, old, &change)
	}
	s.rebuild(now)
	return change
}

// put applies an entry. The caller holds mu.
func (s *Set) put(now time.Time, e *Endpoint, change *Change) {
	if e.Revision < s.versions[e.ID].revision || s.fromCopy(now, e) {
		return
	}
	s.versions[e.ID] = entryVersion{e.Revision, now}
	delete(s.missing, e.ID)
	old := s.byID[e.ID]
	if e.Draining || !s.drained[e.Key()].IsZero() {
		s.drained[e.Key()] = now
		if old != nil {
			delete(s.byID, e.ID)
			change.Removed = append(change.Removed, e)
		}
		return
	}
	if e.ColdLeft > 0 {
		e = e.withColdUntil(now, old)
	}
	s.byID[e.ID] = e
	switch {
	case old == nil:
		change.Added = append(change.Added, e)
	case old.Key() != e.Key():
		change.Added = append(change.Added, e)
		change.Replaced = append(change.Replaced, old)
		s.gone[old.Key()] = &departure{at: now, era: e.Revision.Era()}
	case old.Stage != e.Stage:
		change.StageChanged = append(change.StageChanged, e)
	}
}

// remove removes an endpoint whose entry is missing, or retains it if the entry
// may be missing because of an outage. The caller holds mu.
func (s *Set) remove(now time.Time, old *Endpoint, change *Change) {
	if s.settling(now) {
		s.missing[old.ID] = true
		change.Retained = append(change.Retained, old)
		return
	}
	delete(s.byID, old.ID)
	change.Removed = append(change.Removed, old)
	s.gone[old.Key()] = &departure{at: now, era: s.era}
}

// fromCopy reports whether an entry is one that had ended before the registry was restored,
// and was not written since it appeared again. The caller holds mu.
func (s *Set) fromCopy(now time.Time, e *Endpoint) bool {
	s.era = max(s.era, e.Revision.Era())
	d := s.gone[e.Key()]
	if d == nil || e.Revision.Era() <= d.era {
		return false
	}
	if d.copied == 0 {
		d.copied = e.Revision
	}
	if e.Revision > d.copied || now.Sub(d.at) > tombstoneTTL {
		delete(s.gone, e.Key())
		return false
	}
	return true
}

// rebuild rebuilds the index by service and drops expired tombstones. The
// caller holds mu.
func (s *Set) rebuild(now time.Time) {
	s.byService = make(map[string][]*Endpoint)
	for id, e := range s.byID {
		if !s.evacuated[e.Domain] {
			s.byService[e.Service] = append(s.byService[e.Service], e)
		}
		s.versions[id] = entryVersion{s.versions[id].revision, now}
	}
	for _, list := range s.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	for key, at := range s.drained {
		if now.Sub(at) > drainedTTL {
			delete(s.drained, key)
		}
	}
	for key, d := range s.gone {
		if now.Sub(d.at) > tombstoneTTL {
			delete(s.gone, key)
		}
	}
	for id, last := range s.versions {
		if now.Sub(last.updatedAt) > tombstoneTTL {
			delete(s.versions, id)
		}
	}
}

// SetEvacuated sets the failure domains whose endpoints get no work. They stay in the set.
func (s *Set) SetEvacuated(now time.Time, domains map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = domains
	s.rebuild(now)
}

// Evacuated reports whether an endpoint's failure domain gets no work.
func (s *Set) Evacuated(e *Endpoint) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.evacuated[e.Domain]
}

// Service returns the endpoints of a service that get work, sorted by ID. The caller must not
// modify the slice.
func (s *Set) Service(name string) []*Endpoint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byService[name]
}

// Get returns the endpoint with the ID, or nil if it accepts no work.
func (s *Set) Get(id string) *Endpoint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byID[id]
}

// HasListing reports whether the registry has ever been listed.
func (s *Set) HasListing() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return !s.listedAt.IsZero()
}
