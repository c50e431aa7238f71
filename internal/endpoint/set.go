package endpoint

import (
	"sort"
	"sync"
	"time"
)

// Set is the endpoints that may take work. It is safe for concurrent use.
//
// Listings and watches of the registry may answer in any order, so an entry
// counts only if it is not older than what is known of its ID. An endpoint that
// has said that it drains takes no work again under the same start. An entry
// that is gone is believed to be gone, except within the time that the registry
// needs to recover after an outage: then entries lapse although their endpoints
// live.
type Set struct {
	// settle is how long after an outage missing entries are kept.
	settle time.Duration

	mu        sync.RWMutex
	byService map[string][]*Endpoint
	byID      map[string]*Endpoint
	// drained are the starts that have said that they leave, seen the newest
	// revision of each ID, and when they were noted.
	drained map[Key]time.Time
	seen    map[string]sighting
	// lapsed are endpoints whose entries went missing in an outage: they are
	// gone unless they are listed again in time.
	lapsed map[string]bool
	// failing is true while the registry cannot be read; recovered is when it
	// could be read again.
	failing   bool
	recovered time.Time
	listed    time.Time
}

// sighting is the newest that was read of an ID, also of one that is gone.
type sighting struct {
	revision int64
	at       time.Time
}

// memory is how long an endpoint that is gone is remembered: longer than any
// drain lasts and any read takes.
const memory = time.Minute

// NewSet returns an empty set.
func NewSet(settle time.Duration) *Set {
	return &Set{
		settle: settle, byService: make(map[string][]*Endpoint), byID: make(map[string]*Endpoint),
		drained: make(map[Key]time.Time), seen: make(map[string]sighting), lapsed: make(map[string]bool),
	}
}

// Change says what an update did, for logs.
type Change struct {
	Added, Left, Restaged, Kept []*Endpoint
}

// Failed notes that the registry could not be read.
func (s *Set) Failed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = true
}

// Lapsed says whether an endpoint's entry went missing in an outage, so that it
// is not yet believed to be gone.
func (s *Set) Lapsed(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lapsed[id]
}

// Settle takes out the endpoints whose entries lapsed in an outage and that were
// not listed again in time.
func (s *Set) Settle(now time.Time) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var change Change
	if len(s.lapsed) == 0 || s.unsettled(now) {
		return change
	}
	for id := range s.lapsed {
		if old := s.byID[id]; old != nil {
			s.remove(now, old, &change)
		}
	}
	clear(s.lapsed)
	s.install(now)
	return change
}

// unsettled says whether missing entries may have lapsed in an outage. The
// caller holds mu.
func (s *Set) unsettled(now time.Time) bool {
	return s.failing || !s.recovered.IsZero() && now.Sub(s.recovered) < s.settle
}

// Replace takes a whole listing of the registry as it stood at a revision or
// later.
func (s *Set) Replace(now time.Time, revision int64, listing []*Endpoint) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		s.failing, s.recovered = false, now
	}
	s.listed = now
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
	s.install(now)
	return change
}

// Put takes one entry of the registry.
func (s *Set) Put(now time.Time, e *Endpoint) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var change Change
	s.put(now, e, &change)
	s.install(now)
	return change
}

// Remove takes the removal of an ID's entry at a revision.
func (s *Set) Remove(now time.Time, id string, revision int64) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var change Change
	if revision < s.seen[id].revision {
		return change
	}
	s.seen[id] = sighting{revision, now}
	if old := s.byID[id]; old != nil {
		s.remove(now, old, &change)
	}
	s.install(now)
	return change
}

// put takes an entry. The caller holds mu.
func (s *Set) put(now time.Time, e *Endpoint, change *Change) {
	if e.Revision < s.seen[e.ID].revision {
		return
	}
	s.seen[e.ID] = sighting{e.Revision, now}
	delete(s.lapsed, e.ID)
	old := s.byID[e.ID]
	if e.Draining {
		s.drained[e.Key()] = now
	}
	if !s.drained[e.Key()].IsZero() {
		if old != nil {
			delete(s.byID, e.ID)
			change.Left = append(change.Left, e)
		}
		return
	}
	s.byID[e.ID] = e
	switch {
	case old == nil || old.Key() != e.Key():
		change.Added = append(change.Added, e)
	case old.Stage != e.Stage:
		change.Restaged = append(change.Restaged, e)
	}
}

// remove takes an endpoint out whose entry is missing, unless entries may have
// lapsed in an outage. The caller holds mu.
func (s *Set) remove(now time.Time, old *Endpoint, change *Change) {
	if s.unsettled(now) {
		s.lapsed[old.ID] = true
		change.Kept = append(change.Kept, old)
		return
	}
	delete(s.byID, old.ID)
	change.Left = append(change.Left, old)
}

// install rebuilds what is read often and forgets what is long gone. The caller
// holds mu.
func (s *Set) install(now time.Time) {
	s.byService = make(map[string][]*Endpoint)
	for id, e := range s.byID {
		s.byService[e.Service] = append(s.byService[e.Service], e)
		s.seen[id] = sighting{s.seen[id].revision, now}
	}
	for _, list := range s.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	for key, at := range s.drained {
		if now.Sub(at) > memory {
			delete(s.drained, key)
		}
	}
	for id, last := range s.seen {
		if now.Sub(last.at) > memory {
			delete(s.seen, id)
		}
	}
}

// Service returns the endpoints of a service; the caller does not change the
// slice.
func (s *Set) Service(name string) []*Endpoint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byService[name]
}

// Get returns the endpoint with the ID, or nil when it takes no work.
func (s *Set) Get(id string) *Endpoint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byID[id]
}

// Listed says whether the registry was ever read.
func (s *Set) Listed() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return !s.listed.IsZero()
}
