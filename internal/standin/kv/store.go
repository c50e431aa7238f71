// Package kv is an in-memory stand-in for the platform's key-value service,
// with compare-and-swap, leases, long-poll watches with compaction, counted
// calls, optional rates, and switches for the service's faults. It reads time
// only from package time, so tests may run it under testing/synctest.
package kv

import (
	"sync"

	"github.com/acacialink/acacialink/internal/backing"
)

// view lets Store embed a Client beside its method of that name.
type view = Client

// Store holds the keys. Its embedded view is the client without a name, so
// a Store is a backing.Store itself, and its Faults apply to all clients.
type Store struct {
	*view
	options Options
	shared  *Faults

	// mu guards all below.
	mu        sync.Mutex
	keys      map[string]backing.KeyValue
	revision  backing.Revision
	history   []backing.Event
	compacted backing.Revision
	leases    map[backing.LeaseID]*lease
	lastLease backing.LeaseID
	watchers  map[*watcher]struct{}
	counts    Counts
	reads     bucket
	writes    bucket
	record    []Write
	clients   map[string]*Client
}

var _ backing.Store = (*Store)(nil)

// New returns an empty store.
func New(o Options) *Store {
	o = o.withDefaults()
	s := &Store{
		options:  o,
		shared:   newFaults(o.Seed),
		keys:     make(map[string]backing.KeyValue),
		leases:   make(map[backing.LeaseID]*lease),
		watchers: make(map[*watcher]struct{}),
		counts:   newCounts(),
		reads:    newBucket(o.ReadsPerSecond),
		writes:   newBucket(o.WritesPerSecond),
		clients:  make(map[string]*Client),
	}
	s.view = &view{store: s, Faults: s.shared, shared: s.shared}
	return s
}

// Client returns the view of the named client, always the same for a name.
// Its Faults apply to this client alone, on top of the store's.
func (s *Store) Client(name string) *Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[name]
	if !ok {
		c = &Client{name: name, store: s, Faults: newFaults(s.options.Seed), shared: s.shared}
		s.clients[name] = c
	}
	return c
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.clone()
}

// Record returns the latest writes that took effect, oldest first.
func (s *Store) Record() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Write(nil), s.record...)
}

// Revision returns the store's revision.
func (s *Store) Revision() backing.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Compact forgets all events, so that watches from an earlier revision get
// backing.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

// Close stops the leases' timers.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}
