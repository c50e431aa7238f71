package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is one key of the store as it goes over the wire.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	AsOf      int64  `json:"as_of,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// storeLease is a lease that ends unless it is renewed.
type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's key-value store. It keeps its whole history
// and loses nothing.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]storeItem
	history   []storeItem
	leases    map[int64]*storeLease
	lastLease int64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// leaseCheckInterval is the time between checks for leases that have ended.
const leaseCheckInterval = 50 * time.Millisecond

func newStore(ctx context.Context) *store {
	s := &store{revision: 1, items: make(map[string]storeItem), leases: make(map[int64]*storeLease), changed: make(chan struct{})}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(leaseCheckInterval)
			s.endLeases(time.Now())
		}
	}()
	return s
}

func (s *store) endLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

// write sets a key at the current revision. The caller holds mu.
func (s *store) write(key string, value []byte, lease int64) {
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.append(item)
}

// remove removes a key at the current revision. The caller holds mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.append(storeItem{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) append(item storeItem) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put sets a key whatever its revision, as the operator and the replicas do.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, []byte(value), 0)
}

// handler returns the store's interface.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /api/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /api/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.serveLeaseEnd)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	item.AsOf = s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, item)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	items := []storeItem{}
	s.mu.Lock()
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > r.URL.Query().Get("after") {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for done := false; ; {
		s.mu.Lock()
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, query.Get("prefix")) {
				events = append(events, item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

type txnBody struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected_rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, matches := []storeItem{}, true
	for _, e := range body.Expected {
		item, ok := s.items[e.Key]
		if ok {
			current = append(current, item)
		}
		matches = matches && item.Revision == e.Revision
	}
	if !matches {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	writeJSON(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]int64{"lease": s.lastLease, "ttl_ms": body.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	writeJSON(w, http.StatusOK, map[string]int64{})
}
