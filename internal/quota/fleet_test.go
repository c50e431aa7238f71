package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// fleet is a number of limiters with a network and an ownership record
// between them. It runs inside a synctest bubble.
type fleet struct {
	ctx    context.Context
	mu     sync.Mutex
	rnd    *rand.Rand
	limits map[string]Limit
	hosts  []*fleetHost
	faults faults
	parts  [partCount]*record
	log    []Consumption
	// sent and refused count by workspace.
	sent, refused map[string]int
	exchanges     int
	bytes         int
}

// faults are what is broken at the moment.
type faults struct {
	// loss is the share of requests, and of answers, that are lost.
	loss float64
	// late is the share of messages that take lateBy.
	late   float64
	lateBy time.Duration
	// cut separates hosts with an even number from those with an odd one.
	cut       bool
	storeDown bool
	// tamper changes messages on their way, for limiters that are broken on purpose.
	tamper func(*wire.QuotaRequest, *wire.QuotaGrant)
	// freshTakeover is a broken takeover with full buckets.
	freshTakeover bool
}

// fleetHost is one host; its fields are guarded by the fleet's lock.
type fleetHost struct {
	name    string
	number  int
	dead    bool
	limiter *Limiter
	stop    context.CancelFunc
	seen    [partCount]seenOwner
}

type seenOwner struct {
	host  string
	fence int64
}

// record says who owns all shards of a part.
type record struct {
	owner *fleetHost
	fence int64
	fresh bool
	// until is when the lease ends; the zero time stands for no lease.
	until time.Time
}

const (
	testLease  = 4 * time.Second
	testMargin = 500 * time.Millisecond
	testDelay  = time.Millisecond
)

func newFleet(ctx context.Context, seed uint64, hosts int, limits map[string]Limit) *fleet {
	f := &fleet{
		ctx: ctx,
		rnd: rand.New(rand.NewPCG(seed, seed)), limits: limits,
		sent: make(map[string]int), refused: make(map[string]int),
	}
	for i := range hosts {
		f.hosts = append(f.hosts, &fleetHost{name: fmt.Sprint("h", i), number: i})
	}
	f.parts[Base] = &record{owner: f.hosts[0], fence: 1, fresh: true}
	f.parts[Surplus] = &record{owner: f.hosts[1%hosts], fence: 1, fresh: true, until: time.Now().Add(testLease)}
	for _, h := range f.hosts {
		f.start(ctx, h, "1")
	}
	go f.authority(ctx)
	return f
}

// start gives the host a new process.
func (f *fleet) start(ctx context.Context, h *fleetHost, incarnation string) {
	run, stop := context.WithCancel(ctx)
	l := New(Config{
		Settings: DefaultSettings(), Host: h.name, Incarnation: incarnation,
		Limits:  func(w string) (Limit, bool) { l, ok := f.limits[w]; return l, ok },
		Base:    &view{f, h, Base},
		Surplus: &view{f, h, Surplus},
		Peers:   &network{f, h},
	})
	f.mu.Lock()
	h.limiter, h.stop, h.dead = l, stop, false
	f.mu.Unlock()
	go func() { _ = l.Run(run) }()
}

// crash ends the host's process.
func (f *fleet) crash(h *fleetHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.dead = true
	h.stop()
}

// authority renews the lease and moves parts whose owner is dead.
func (f *fleet) authority(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(testLease / 4)
		f.mu.Lock()
		if !f.faults.storeDown {
			f.renew()
		}
		f.mu.Unlock()
	}
}

func (f *fleet) renew() {
	surplus, base := f.parts[Surplus], f.parts[Base]
	if !surplus.owner.dead && time.Now().Before(surplus.until) {
		surplus.until = time.Now().Add(testLease)
	}
	if !time.Now().Before(surplus.until) {
		f.move(surplus)
		surplus.until = time.Now().Add(testLease)
	}
	if base.owner.dead {
		f.move(base)
	}
}

func (f *fleet) move(r *record) {
	live := make([]*fleetHost, 0, len(f.hosts))
	for _, h := range f.hosts {
		if !h.dead && h != r.owner {
			live = append(live, h)
		}
	}
	r.owner = live[f.rnd.IntN(len(live))]
	r.fence++
	r.fresh = f.faults.freshTakeover
}

// view is a host's view of the ownership record.
type view struct {
	fleet *fleet
	host  *fleetHost
	part  Part
}

func (v *view) Owner(int) (string, int64, bool) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	r, seen := v.fleet.parts[v.part], &v.host.seen[v.part]
	if !v.fleet.faults.storeDown || seen.host == "" {
		*seen = seenOwner{r.owner.name, r.fence}
	}
	return seen.host, seen.fence, true
}

func (v *view) Owned(int) (Tenure, bool) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	r := v.fleet.parts[v.part]
	if r.owner != v.host || v.host.dead {
		return Tenure{}, false
	}
	if !r.until.IsZero() && !time.Now().Before(r.until.Add(-testMargin)) {
		return Tenure{}, false
	}
	return Tenure{Fence: r.fence, Fresh: r.fresh}, true
}
