// Package kv is an in-memory stand-in for the platform's key-value service. It
// has compare-and-swap, leases, long-poll watches with compaction, call counts,
// optional rate limits and fault injection. It takes all times from package
// time, so it works under testing/synctest.
package kv

import (
	"sync"

	"github.com/acacialink/acacialink/internal/backing"
)

// unnamedClient is an alias that lets Store embed a Client next to its method
// Client.
type unnamedClient = Client

// Store holds the keys. It embeds an unnamed client, so a Store
// implements backing.Store itself; its Faults apply to all clients. It is safe
// for concurrent use.
type Store struct {
	*unnamedClient
	options     Options
	storeFaults *Faults

	// mu guards the fields below.
	mu        sync.Mutex
	keys      map[string]backing.KeyValue
	revision  backing.Revision
	history   []backing.Event
	compacted backing.Revision
	leases    map[backing.LeaseID]*lease
	lastLease backing.LeaseID
	watchers  map[*watcher]struct{}
	counts    Counts
	reads     tokenBucket
	writes    tokenBucket
	record    []Write
	clients   map[string]*Client
}

var _ backing.Store = (*Store)(nil)

// New returns an empty store.
func New(o Options) *Store {
	o = o.withDefaults()
	s := &Store{
		options:     o,
		storeFaults: newFaults(o.Seed),
		keys:        make(map[string]backing.KeyValue),
		leases:      make(map[backing.LeaseID]*lease),
		watchers:    make(map[*watcher]struct{}),
		counts:      newCounts(),
		reads:       newTokenBucket(o.ReadsPerSecond),
		writes:      newTokenBucket(o.WritesPerSecond),
		clients:     make(map[string]*Client),
	}
	s.unnamedClient = &unnamedClient{store: s, Faults: s.storeFaults, storeFaults: s.storeFaults}
	return s
}

// Client returns the client with the given name, creating it on first use. Its
// Faults apply to this client alone, in addition to those of the store.
func (s *Store) Client(name string) *Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[name]
	if !ok {
		c = &Client{name: name, store: s, Faults: newFaults(s.options.Seed), storeFaults: s.storeFaults}
		s.clients[name] = c
	}
	return c
}

// Counts returns the counts of all calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.clone()
}

// Record returns the latest executed writes, oldest first.
func (s *Store) Record() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Write(nil), s.record...)
}

// Revision returns the current revision of the store.
func (s *Store) Revision() backing.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Compact discards all events. Watches from an earlier revision then fail with
// backing.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

// Close stops the timers of all leases.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}
