package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as the platform's protocol shows it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's store. It loses nothing and answers at once.
type store struct {
	server *http.Server
	addr   string

	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	leases    map[int64]*storeLease
	nextLease int64
	changed   chan struct{} // closed at the next change
}

func newStore() (*store, error) {
	l, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), revision: 1, items: make(map[string]item), leases: make(map[int64]*storeLease), nextLease: 100, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.endLease)
	// Replicas and the operator write beside the system's calls.
	mux.HandleFunc("PUT /replica/{id}", s.putReplica)
	mux.HandleFunc("DELETE /replica/{id}", s.deleteReplica)
	mux.HandleFunc("POST /usage", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// listenLoopback listens on a free port of a loopback address of its own: a port of an address
// that others use may be taken between its release and the start of the process that gets it.
func listenLoopback() (net.Listener, error) {
	n := rand.Uint32()
	return listen(fmt.Sprintf("127.%d.%d.%d:0", 1+n%250, n>>8%250, 1+n>>16%250))
}

func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp4", address)
}

// write changes a key. The caller holds mu.
func (s *store) write(key string, value []byte, lease int64, remove bool) {
	s.revision++
	next := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease, Tombstone: remove}
	if old, ok := s.items[key]; ok && !remove {
		next.Created = old.Created
	}
	if remove {
		delete(s.items, key)
	} else {
		s.items[key] = next
	}
	s.history = append(s.history, next)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended. The caller holds mu.
func (s *store) expire(now time.Time) {
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.dropLease(id)
		}
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.write(key, nil, 0, true)
		}
	}
}

// lock locks the store and expires its leases.
func (s *store) lock() {
	s.mu.Lock()
	s.expire(time.Now())
}

func (s *store) put(key string, value []byte) {
	s.lock()
	defer s.mu.Unlock()
	s.write(key, value, 0, false)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.FormValue("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]int64{"as_of": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{it, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	until := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer until.Stop()
	leases := time.NewTicker(50 * time.Millisecond)
	defer leases.Stop()
	for {
		s.lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, r.FormValue("prefix")) {
				events = append(events, it)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-leases.C:
		case <-until.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
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
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.lock()
	defer s.mu.Unlock()
	items, failed := []item{}, false
	for _, e := range in.Expected {
		it, ok := s.items[e.Key]
		if ok {
			items = append(items, it)
		}
		failed = failed || it.Revision != e.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, p := range in.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]string{})
			return
		}
	}
	for _, p := range in.Puts {
		s.write(p.Key, p.Value, p.Lease, false)
	}
	for _, key := range in.Remove {
		if _, ok := s.items[key]; ok {
			s.write(key, nil, 0, true)
		}
	}
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(in.TTLMS) * time.Millisecond
	s.leases[s.nextLease] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]int64{"lease": s.nextLease, "ttl_ms": in.TTLMS})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		reply(w, http.StatusNotFound, map[string]string{})
		return
	}
	lease.expires = time.Now().Add(lease.ttl)
	reply(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": lease.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, map[string]string{})
		return
	}
	s.dropLease(id)
	reply(w, http.StatusOK, map[string]int64{})
}

func (s *store) putReplica(w http.ResponseWriter, r *http.Request) {
	value := make([]byte, 0, 512)
	buf := make([]byte, 512)
	for {
		n, err := r.Body.Read(buf)
		value = append(value, buf[:n]...)
		if err != nil {
			break
		}
	}
	s.put("servers/"+r.PathValue("id"), value)
	w.WriteHeader(http.StatusOK)
}

func (s *store) deleteReplica(w http.ResponseWriter, r *http.Request) {
	s.lock()
	defer s.mu.Unlock()
	s.write("servers/"+r.PathValue("id"), nil, 0, true)
	w.WriteHeader(http.StatusOK)
}

// present reports whether a key exists.
func (s *store) present(key string) bool {
	s.lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *store) close() error {
	err := s.server.Close()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
