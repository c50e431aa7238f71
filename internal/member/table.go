package member

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Table is the membership table of one entry host. It does no I/O and reads
// no clock: the time comes in with each call. It is safe for concurrent use.
type Table struct {
	cfg Config

	mu      sync.Mutex // guards all below
	rng     *rand.Rand
	started time.Time
	self    *record
	// superseded is true once a newer process of the same name is there.
	superseded bool
	records    map[uint64]*record
	counts     [kindHost + 1]int
	sums       [buckets]uint32
	suspects   map[uint64]*record
	hot        hotQueue

	// order is a shuffled round of members to call.
	order     []uint64
	ticks     int
	compare   bool
	seeds     []string
	reach     reach
	endpoints map[string]EndpointRef
	direct    map[string]*direct
	watch     watchSet
	nextRead  time.Time
	stats     Stats
}

// EndpointRef is what the configuration says of an endpoint.
type EndpointRef struct {
	Name, Domain string
	// Agent is the agent's IP address and port.
	Agent string
}

// Stats counts what the table did since its start.
type Stats struct {
	Ticks       int64 `json:"ticks"`
	Calls       int64 `json:"calls"`
	Failures    int64 `json:"failures"`
	Answered    int64 `json:"answered"`
	Repairs     int64 `json:"repairs"`
	Suspicions  int64 `json:"suspicions"`
	Refutations int64 `json:"refutations"`
	Refused     int64 `json:"refused_records"`
}

// NewTable returns a table that knows its own process and the seeds.
func NewTable(cfg Config, now time.Time) *Table {
	t := &Table{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, hashName(kindMember, cfg.Name))),
		started:   now,
		records:   make(map[uint64]*record),
		suspects:  make(map[uint64]*record),
		direct:    make(map[string]*direct),
		seeds:     append([]string(nil), cfg.Seeds...),
		compare:   true,
		nextRead:  now,
		reach:     reach{last: now},
		endpoints: make(map[string]EndpointRef),
	}
	t.author(&record{
		id: hashName(kindMember, cfg.Name), kind: kindMember, name: cfg.Name,
		incarnation: cfg.Incarnation, domain: cfg.Domain, address: cfg.Address,
	}, now)
	t.self = t.records[hashName(kindMember, cfg.Name)]
	return t
}

// Leave says that this process takes no new work. It stays in the table until
// it is gone.
func (t *Table) Leave(now time.Time) { t.declare(Leaving, now) }

// Gone says that this process ends now.
func (t *Table) Gone(now time.Time) { t.declare(Gone, now) }

func (t *Table) declare(s State, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announce(s, now)
}

// announce spreads a new version of this process's own record. The caller
// holds mu.
func (t *Table) announce(s State, now time.Time) {
	if t.superseded {
		return
	}
	next := *t.self
	next.state = s
	t.author(&next, now)
	t.self = t.records[next.id]
}

// Superseded says that a newer process with this one's name has been heard of:
// this one was replaced while it was paused or cut off, and must stop.
func (t *Table) Superseded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.superseded
}

// author puts a new version of a record into the table and spreads it. The
// caller holds mu.
func (t *Table) author(r *record, now time.Time) {
	seen := r.version
	if old := t.records[r.id]; old != nil {
		seen = max(seen, old.version)
	}
	r.version = nextVersion(seen, t.cfg.Name, now)
	t.put(r, now)
	t.spread(r)
}

// put replaces a record and keeps the checksums and the set of suspects. The
// caller holds mu.
func (t *Table) put(r *record, now time.Time) {
	r.since = now
	bucket := &t.sums[r.id%buckets]
	if old := t.records[r.id]; old != nil {
		t.uncount(old)
		old.sends = 0
		if old.state == r.state && r.state != Suspect {
			r.since = old.since
		}
		r.heard = old.heard
	} else {
		t.counts[r.kind]++
	}
	if r.counted() {
		*bucket += r.checksum()
	}
	t.records[r.id] = r
	if r.state == Suspect {
		t.suspects[r.id] = r
	} else {
		delete(t.suspects, r.id)
	}
	if r.kind == kindMember {
		t.watch.dirty = true
	}
}

// remove forgets a record. The caller holds mu.
func (t *Table) remove(r *record) {
	t.uncount(r)
	t.counts[r.kind]--
	delete(t.records, r.id)
	delete(t.suspects, r.id)
	r.sends = 0
}

func (t *Table) uncount(r *record) {
	if r.counted() {
		t.sums[r.id%buckets] -= r.checksum()
	}
}

// spread makes a record travel with the next messages. The caller holds mu.
func (t *Table) spread(r *record) {
	r.sends = min(mostSends, leastSends+bits.Len(uint(t.counts[kindMember])))
	t.hot.add(r)
}

// wellFormed says whether a record from a peer keeps the bounds.
func wellFormed(r *record) bool {
	for _, text := range []string{r.incarnation, r.domain, r.word.Role} {
		if len(text) > maxText {
			return false
		}
	}
	if r.name == "" || len(r.name) > maxText || !textsInBounds(r.word.Models) || !textsInBounds(r.word.Adapters) {
		return false
	}
	if r.kind != kindMember {
		return true
	}
	_, err := netip.ParseAddrPort(r.address)
	return err == nil
}

func textsInBounds(texts []string) bool {
	if len(texts) > maxTexts {
		return false
	}
	for _, text := range texts {
		if len(text) > maxText {
			return false
		}
	}
	return true
}
