package endpoint

import (
	"sort"
	"sync"
	"time"
)

// Set is the endpoints that may take work. It is safe for concurrent use.
//
// An entry that is gone from the registry is believed to be gone, except within
// the time that the registry needs to recover after an outage: then entries
// lapse although their endpoints live.
type Set struct {
	// settle is how long after an outage missing entries are kept.
	settle time.Duration

	mu        sync.RWMutex
	byService map[string][]*Endpoint
	byID      map[string]*Endpoint
	// left are endpoints seen as draining or gone; they take no work again
	// under the same start.
	left map[Key]time.Time
	// failing is true while the registry cannot be read; recovered is when it
	// could be read again.
	failing   bool
	recovered time.Time
	listed    time.Time
}

// leftMemory is how long a leaving endpoint is remembered: longer than any
// drain lasts.
const leftMemory = time.Minute

// NewSet returns an empty set.
func NewSet(settle time.Duration) *Set {
	return &Set{
		settle: settle, byService: make(map[string][]*Endpoint), byID: make(map[string]*Endpoint), left: make(map[Key]time.Time),
	}
}

// Change says what an update did, for logs.
type Change struct {
	Added, Left, Restaged, Kept []*Endpoint
}

// Empty says that nothing changed.
func (c Change) Empty() bool { return len(c.Added)+len(c.Left)+len(c.Restaged) == 0 }

// Failed notes that the registry could not be read.
func (s *Set) Failed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = true
}

// Replace takes a whole listing of the registry.
func (s *Set) Replace(now time.Time, listing []*Endpoint) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		s.failing, s.recovered = false, now
	}
	s.listed = now
	var change Change
	next := make(map[string]*Endpoint, len(listing))
	for _, e := range listing {
		s.take(now, e, next, &change)
	}
	settling := !s.recovered.IsZero() && now.Sub(s.recovered) < s.settle
	for id, old := range s.byID {
		switch {
		case next[id] != nil:
		case s.left[old.Key()] != (time.Time{}):
		case settling:
			next[id] = old
			change.Kept = append(change.Kept, old)
		default:
			s.left[old.Key()] = now
			change.Left = append(change.Left, old)
		}
	}
	s.install(now, next)
	return change
}

// take puts one listed endpoint into next unless it is leaving.
func (s *Set) take(now time.Time, e *Endpoint, next map[string]*Endpoint, change *Change) {
	old := s.byID[e.ID]
	if e.Draining {
		if old != nil && s.left[e.Key()].IsZero() {
			change.Left = append(change.Left, e)
		}
		s.left[e.Key()] = now
		return
	}
	// A listing that is ready again after it lapsed is believed: only an
	// endpoint that lives writes it. One that has announced its leaving never
	// comes back under the same start.
	delete(s.left, e.Key())
	next[e.ID] = e
	switch {
	case old == nil || old.Key() != e.Key():
		change.Added = append(change.Added, e)
	case old.Stage != e.Stage:
		change.Restaged = append(change.Restaged, e)
	}
}

func (s *Set) install(now time.Time, next map[string]*Endpoint) {
	s.byID = next
	s.byService = make(map[string][]*Endpoint)
	for _, e := range next {
		s.byService[e.Service] = append(s.byService[e.Service], e)
	}
	for _, list := range s.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	for key, at := range s.left {
		if now.Sub(at) > leftMemory {
			delete(s.left, key)
		}
	}
}

// Update takes changes of single entries: present endpoints and IDs whose
// entries were removed.
func (s *Set) Update(now time.Time, present []*Endpoint, removed []string) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var change Change
	next := make(map[string]*Endpoint, len(s.byID))
	for id, e := range s.byID {
		next[id] = e
	}
	settling := s.failing || !s.recovered.IsZero() && now.Sub(s.recovered) < s.settle
	for _, id := range removed {
		old := next[id]
		if old == nil {
			continue
		}
		if settling {
			change.Kept = append(change.Kept, old)
			continue
		}
		delete(next, id)
		s.left[old.Key()] = now
		change.Left = append(change.Left, old)
	}
	for _, e := range present {
		if e.Draining {
			delete(next, e.ID)
		}
		s.take(now, e, next, &change)
	}
	s.install(now, next)
	return change
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

// All returns all endpoints.
func (s *Set) All() []*Endpoint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*Endpoint, 0, len(s.byID))
	for _, e := range s.byID {
		all = append(all, e)
	}
	return all
}

// Listed says whether the registry was ever read.
func (s *Set) Listed() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return !s.listed.IsZero()
}
