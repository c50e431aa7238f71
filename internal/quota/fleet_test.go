package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// fleet is a set of limiters connected by a simulated network and a shared
// ownership record. It runs inside a synctest bubble.
type fleet struct {
	ctx    context.Context
	mu     sync.Mutex
	rng    *rand.Rand
	limits map[string]Limit
	hosts  []*fleetHost
	faults faults
	parts  [partCount]*ownershipRecord
	log    []Consumption
	// sent and refused are request counts by workspace.
	sent, refused map[string]int
	exchanges     int
	bytes         int
}

// faults are the faults injected at present.
type faults struct {
	// loss is the probability that a request, or an answer, is lost.
	loss float64
	// late is the share of messages that are delayed by up to lateBy.
	late   float64
	lateBy time.Duration
	// partitioned separates even-numbered hosts from odd-numbered ones.
	partitioned bool
	storeDown   bool
	// tamper modifies messages in transit to simulate broken limiters.
	tamper func(*wire.QuotaRequest, *wire.QuotaGrant)
	// freshTakeover makes a new owner start with full buckets, a deliberate
	// violation of the protocol.
	freshTakeover bool
}

// fleetHost is one host. Its fields are guarded by the fleet's lock.
type fleetHost struct {
	name         string
	number       int
	dead         bool
	limiter      *Limiter
	stop         context.CancelFunc
	cachedOwners [partCount]cachedOwner
}

type cachedOwner struct {
	host  string
	fence int64
}

// ownershipRecord names the owner of all shards of a part.
type ownershipRecord struct {
	owner      *fleetHost
	fence      int64
	firstOwner bool
	// leaseEnd is when the lease expires; zero means that there is no lease.
	leaseEnd time.Time
}

const (
	testLeaseTTL     = 4 * time.Second
	testLeaseMargin  = 500 * time.Millisecond
	testMessageDelay = time.Millisecond
)

func newFleet(ctx context.Context, seed uint64, hosts int, limits map[string]Limit) *fleet {
	f := &fleet{
		ctx: ctx,
		rng: rand.New(rand.NewPCG(seed, seed)), limits: limits,
		sent: make(map[string]int), refused: make(map[string]int),
	}
	for i := range hosts {
		f.hosts = append(f.hosts, &fleetHost{name: fmt.Sprint("h", i), number: i})
	}
	f.parts[Base] = &ownershipRecord{owner: f.hosts[0], fence: 1, firstOwner: true}
	f.parts[Surplus] = &ownershipRecord{owner: f.hosts[1%hosts], fence: 1, firstOwner: true, leaseEnd: time.Now().Add(testLeaseTTL)}
	for _, h := range f.hosts {
		f.start(ctx, h, "1")
	}
	go f.runLeaseAuthority(ctx)
	return f
}

// start runs a new process of the host.
func (f *fleet) start(ctx context.Context, h *fleetHost, incarnation string) {
	run, stop := context.WithCancel(ctx)
	l := New(Config{
		Settings: DefaultSettings(), Host: h.name, Incarnation: incarnation,
		Limits:  func(w string) (Limit, bool) { l, ok := f.limits[w]; return l, ok },
		Base:    &ownershipView{f, h, Base},
		Surplus: &ownershipView{f, h, Surplus},
		Peers:   &network{f, h},
	})
	f.mu.Lock()
	h.limiter, h.stop, h.dead = l, stop, false
	f.mu.Unlock()
	go func() { _ = l.Run(run) }()
}

// crash kills the host's process.
func (f *fleet) crash(h *fleetHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.dead = true
	h.stop()
}

// runLeaseAuthority renews the lease and reassigns parts whose owner is dead,
// until ctx ends.
func (f *fleet) runLeaseAuthority(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(testLeaseTTL / 4)
		f.mu.Lock()
		if !f.faults.storeDown {
			f.renew()
		}
		f.mu.Unlock()
	}
}

func (f *fleet) renew() {
	surplus, base := f.parts[Surplus], f.parts[Base]
	if !surplus.owner.dead && time.Now().Before(surplus.leaseEnd) {
		surplus.leaseEnd = time.Now().Add(testLeaseTTL)
	}
	if !time.Now().Before(surplus.leaseEnd) {
		f.reassign(surplus)
		surplus.leaseEnd = time.Now().Add(testLeaseTTL)
	}
	if base.owner.dead {
		f.reassign(base)
	}
}

func (f *fleet) reassign(r *ownershipRecord) {
	live := make([]*fleetHost, 0, len(f.hosts))
	for _, h := range f.hosts {
		if !h.dead && h != r.owner {
			live = append(live, h)
		}
	}
	r.owner = live[f.rng.IntN(len(live))]
	r.fence++
	r.firstOwner = f.faults.freshTakeover
}

// ownershipView is the ownership record as one host sees it. Owner returns the
// cached owner while the store is down.
type ownershipView struct {
	fleet *fleet
	host  *fleetHost
	part  Part
}

func (v *ownershipView) Owner(int) (string, int64, bool) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	r, cached := v.fleet.parts[v.part], &v.host.cachedOwners[v.part]
	if !v.fleet.faults.storeDown || cached.host == "" {
		*cached = cachedOwner{r.owner.name, r.fence}
	}
	return cached.host, cached.fence, true
}

func (v *ownershipView) Owned(int) (Tenure, bool) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	r := v.fleet.parts[v.part]
	if r.owner != v.host || v.host.dead {
		return Tenure{}, false
	}
	if !r.leaseEnd.IsZero() && !time.Now().Before(r.leaseEnd.Add(-testLeaseMargin)) {
		return Tenure{}, false
	}
	return Tenure{Fence: r.fence, FirstOwner: r.firstOwner}, true
}
