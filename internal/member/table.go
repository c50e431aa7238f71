package member

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Table is the membership table of one entry host. It performs no I/O and reads
// no clock: callers pass the current time. It is safe for concurrent use.
type Table struct {
	cfg Config

	mu      sync.Mutex // guards the fields below
	rng     *rand.Rand
	started time.Time
	self    *record
	// superseded is set once a newer process of the same name is known.
	superseded bool
	records    map[uint64]*record
	counts     [kindHost + 1]int
	checksums  [bucketCount]uint32
	suspects   map[uint64]*record
	gossip     gossipQueue

	// callOrder holds the IDs of the members left to call in this round.
	callOrder    []uint64
	ticks        int
	compareDue   bool
	seeds        []string
	connectivity connectivity
	endpoints    map[string]EndpointRef
	directStates map[string]*directState
	watch        watchSet
	nextHostRead time.Time
	stats        Stats
}

// EndpointRef describes an endpoint as configured.
type EndpointRef struct {
	Name, Domain string
	// Agent is the agent's address as IP:port.
	Agent string
}

// Stats holds counters since the start of the table.
type Stats struct {
	// Ticks counts calls of Tick.
	Ticks int64 `json:"ticks"`
	// Calls counts the calls that Tick returned.
	Calls int64 `json:"calls"`
	// Failures counts calls that got no answer.
	Failures int64 `json:"failures"`
	// Answered counts messages of peers that this host answered.
	Answered int64 `json:"answered"`
	// Repairs counts follow-up messages of anti-entropy.
	Repairs int64 `json:"repairs"`
	// Suspicions counts the records that this host published as suspect.
	Suspicions int64 `json:"suspicions"`
	// Refutations counts the records of other hosts about this process that it
	// refuted.
	Refutations int64 `json:"refutations"`
	// Refused counts records that were malformed or exceeded a limit.
	Refused int64 `json:"refused_records"`
}

// NewTable returns a table that holds the record of its own process and the
// seeds.
func NewTable(cfg Config, now time.Time) *Table {
	t := &Table{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(cfg.Seed, recordID(kindMember, cfg.Name))),
		started:      now,
		records:      make(map[uint64]*record),
		suspects:     make(map[uint64]*record),
		directStates: make(map[string]*directState),
		seeds:        append([]string(nil), cfg.Seeds...),
		compareDue:   true,
		nextHostRead: now,
		connectivity: connectivity{lastContact: now},
		endpoints:    make(map[string]EndpointRef),
	}
	t.publish(&record{
		id: recordID(kindMember, cfg.Name), kind: kindMember, name: cfg.Name,
		incarnation: cfg.Incarnation, domain: cfg.Domain, address: cfg.Address,
	}, now)
	t.self = t.records[recordID(kindMember, cfg.Name)]
	return t
}

// AnnounceLeaving announces that this process accepts no new work. Its record
// stays in the tables until the process is gone.
func (t *Table) AnnounceLeaving(now time.Time) { t.publishSelf(Leaving, now) }

// AnnounceGone announces that this process is exiting.
func (t *Table) AnnounceGone(now time.Time) { t.publishSelf(Gone, now) }

func (t *Table) publishSelf(s State, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publishSelfLocked(s, now)
}

// publishSelfLocked publishes a new version of this process's own record. The
// caller holds mu.
func (t *Table) publishSelfLocked(s State, now time.Time) {
	if t.superseded {
		return
	}
	next := *t.self
	next.state = s
	t.publish(&next, now)
	t.self = t.records[next.id]
}

// Superseded reports whether a newer process of the same name is known. This
// process was then replaced while it was paused or isolated, and must stop.
func (t *Table) Superseded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.superseded
}

// publish stores a record under a new version of this host and queues it for
// gossip. The caller holds mu.
func (t *Table) publish(r *record, now time.Time) {
	seen := r.version
	if old := t.records[r.id]; old != nil {
		seen = max(seen, old.version)
	}
	r.version = nextVersion(seen, t.cfg.Name, now)
	t.replace(r, now)
	t.enqueue(r)
}

// replace stores a record in place of the previous one and updates the
// checksums and the set of suspects. The caller holds mu.
func (t *Table) replace(r *record, now time.Time) {
	r.since = now
	bucket := &t.checksums[r.id%bucketCount]
	if old := t.records[r.id]; old != nil {
		t.subtractChecksum(old)
		old.sendsLeft = 0
		if old.state == r.state && r.state != Suspect {
			r.since = old.since
		}
		r.lastContact = old.lastContact
	} else {
		t.counts[r.kind]++
	}
	if r.inChecksum() {
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

// remove deletes a record and updates the checksums. The caller holds mu.
func (t *Table) remove(r *record) {
	t.subtractChecksum(r)
	t.counts[r.kind]--
	delete(t.records, r.id)
	delete(t.suspects, r.id)
	r.sendsLeft = 0
}

func (t *Table) subtractChecksum(r *record) {
	if r.inChecksum() {
		t.checksums[r.id%bucketCount] -= r.checksum()
	}
}

// enqueue queues a record for gossip. The caller holds mu.
func (t *Table) enqueue(r *record) {
	r.sendsLeft = min(maxSends, minSends+bits.Len(uint(t.counts[kindMember])))
	t.gossip.add(r)
}

// wellFormed reports whether a record from a peer is within the limits and, if
// it is a member's, has a valid IP:port address.
func wellFormed(r *record) bool {
	for _, text := range []string{r.incarnation, r.domain, r.info.Role} {
		if len(text) > maxTextBytes {
			return false
		}
	}
	if r.name == "" || len(r.name) > maxTextBytes || !validTexts(r.info.Models) || !validTexts(r.info.Adapters) {
		return false
	}
	if r.kind != kindMember {
		return true
	}
	_, err := netip.ParseAddrPort(r.address)
	return err == nil
}

func validTexts(texts []string) bool {
	if len(texts) > maxTextCount {
		return false
	}
	for _, text := range texts {
		if len(text) > maxTextBytes {
			return false
		}
	}
	return true
}
