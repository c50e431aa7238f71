package duty

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

const window = 5 * time.Second

func no() bool { return false }

var quiet = slog.New(slog.DiscardHandler)

// reports is a platform that takes usage reports.
type reports struct {
	taken map[int64]Counts
	calls int
	err   error
}

func (r *reports) Report(_ context.Context, _ string, _, window int64, counts Counts) error {
	r.calls++
	if r.err != nil {
		return r.err
	}
	if old, ok := r.taken[window]; ok && len(old.max(counts)) != len(old) {
		return errors.New("two reports of one window differ")
	}
	r.taken[window] = counts
	return nil
}

// held is a lease that tests give and take.
type held struct {
	fence int64
	ok    bool
}

func (h *held) Held(string) (int64, time.Time, bool) {
	return h.fence, time.Now().Add(time.Second), h.ok
}

// engines takes stage orders.
type engines struct {
	orders []StageOrder
	err    error
}

func (e *engines) Stage(_ context.Context, _ string, _ int64, o StageOrder) error {
	e.orders = append(e.orders, o)
	return e.err
}

type steady struct{}

func (steady) Now() lease.Instant { return lease.Instant{Monotonic: time.Now()} }

func reportingOf(c *Counter, store backing.Store, r *reports, inc string) *reporting {
	return &reporting{
		counter: c, store: store, reporter: r, host: inc, incarnation: inc, settle: 2 * time.Second, log: quiet,
		done: make(map[int64]bool), first: c.Current(),
	}
}

func TestCountsOfAllHostsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		mine, other := NewCounter(window, time.Now), NewCounter(window, time.Now)
		r := &reports{taken: make(map[int64]Counts)}
		rep := reportingOf(mine, store.Client("a"), r, "a-1")
		k := mine.Current()
		mine.Began("w")
		other.Began("w")
		other.Began("v")
		// The other host saves its counts and dies without a word to this one.
		s := &Saver{Leads: no, Covered: no, Counter: other, Store: store.Client("b"), Incarnation: "b-1", Log: quiet}
		s.init()
		s.save(t.Context())
		time.Sleep(window + 3*time.Second)
		is.NoErr(rep.step(t.Context(), 7))
		is.Equal(r.taken[k], Counts{"w": 2, "v": 1})
	})
}

// A report whose answer is lost is repeated by the next holder word for word,
// whatever it has heard since.
func TestEveryHolderReportsTheSealedCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		first, second := NewCounter(window, time.Now), NewCounter(window, time.Now)
		r := &reports{taken: make(map[int64]Counts), err: backing.ErrUnknown}
		a, b := reportingOf(first, store.Client("a"), r, "a-1"), reportingOf(second, store.Client("b"), r, "b-1")
		k := first.Current()
		first.Began("w")
		time.Sleep(window + 3*time.Second)
		is.True(errors.Is(a.step(t.Context(), 7), backing.ErrUnknown))
		second.Peer("c-1", map[int64]map[string]int64{k: {"late": 5}})
		r.err = nil
		is.NoErr(b.step(t.Context(), 8))
		is.Equal(r.taken[k], Counts{"w": 1})
	})
}

func TestAWindowIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		c := NewCounter(window, time.Now)
		r := &reports{taken: make(map[int64]Counts)}
		rep := reportingOf(c, store.Client("a"), r, "a-1")
		time.Sleep(window + 3*time.Second)
		for range 3 {
			is.NoErr(rep.step(t.Context(), 7))
		}
		is.Equal(r.calls, 1)
	})
}

// A write of counts whose answer is lost is found and written over.
func TestCountsSurviveLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{Seed: 1})
		defer store.Close()
		client := store.Client("a")
		c := NewCounter(window, time.Now)
		s := &Saver{Leads: no, Covered: no, Counter: c, Store: client, Incarnation: "a-1", Log: quiet}
		s.init()
		k := c.Current()
		c.Began("w")
		s.save(t.Context()) // grant and first write
		c.Began("w")
		client.LoseNext(1)
		s.save(t.Context())
		c.Began("w")
		s.save(t.Context())
		s.save(t.Context())
		got, err := client.Get(t.Context(), countsKey(k)+"a-1")
		is.NoErr(err)
		is.Equal(string(got.Value), `{"a-1":{"w":3}}`)
	})
}

// The holder saves the counts of all that it hears; a host that such a holder
// hears writes nothing.
func TestTheHolderSavesForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		c := NewCounter(window, time.Now)
		yes := func() bool { return true }
		k := c.Current()
		c.Began("w")
		c.Peer("b-1", map[int64]map[string]int64{k: {"w": 2}})
		covered := &Saver{Leads: no, Covered: yes, Counter: c, Store: store.Client("a"), Incarnation: "a-1", Log: quiet}
		covered.init()
		covered.save(t.Context())
		is.Equal(len(store.Record()), 0)
		holder := &Saver{Leads: yes, Covered: no, Counter: c, Store: store.Client("a"), Incarnation: "a-1", Log: quiet}
		holder.init()
		holder.save(t.Context())
		got, err := store.Client("b").Get(t.Context(), countsKey(k)+"a-1")
		is.NoErr(err)
		is.Equal(string(got.Value), `{"a-1":{"w":1},"b-1":{"w":2}}`)
	})
}

func TestPeersCountsOnlyGrow(t *testing.T) {
	is := is.New(t)
	c := NewCounter(window, time.Now)
	k := c.Current()
	c.Peer("b-1", map[int64]map[string]int64{k: {"w": 5}})
	c.Peer("b-1", map[int64]map[string]int64{k: {"w": 3, "v": 1}}) // an older message
	is.Equal(c.Known("a-1", k), map[string]Counts{"b-1": {"w": 5, "v": 1}})
}

func engineAt(id, domain string, stage endpoint.Stage) *endpoint.Endpoint {
	return &endpoint.Endpoint{ID: id, Address: id, Service: "llm", Domain: domain, Slots: 1, Stage: stage}
}

func TestBalance(t *testing.T) {
	is := is.New(t)
	b := Balance{PrefillShare: 0.67, MinDecode: 2}
	var nine []*endpoint.Endpoint
	for i := range 9 {
		stage := endpoint.StageDecode
		if i < 4 {
			stage = endpoint.StagePrefill
		}
		nine = append(nine, engineAt("e"+strconv.Itoa(i), string(rune('a'+i%3)), stage))
	}
	orders := b.Orders(nine)
	is.Equal(len(orders), 2) // six of nine prefill
	is.Equal(orders[0].Stage, endpoint.StagePrefill)
	is.True(orders[0].Engine.Domain != orders[1].Engine.Domain)
	is.Equal(len(b.Orders(nine[:1])), 0)
	two := []*endpoint.Endpoint{engineAt("x", "a", endpoint.StageDecode), engineAt("y", "a", endpoint.StageDecode)}
	is.Equal(len(b.Orders(two)), 1) // each stage needs one
	is.Equal(b.Orders([]*endpoint.Endpoint{engineAt("x", "a", endpoint.StagePrefill), engineAt("y", "a", endpoint.StagePrefill)})[0].Stage, endpoint.StageDecode)
}

// holderOf is a holder of duties over one service with two decoding engines.
func holderOf(l *held, e *engines, r *reports, store backing.Store) *Holder {
	c := catalog.NewHolder(steady{}, time.Minute)
	c.Offer(1, catalog.New(1, catalog.Limits{}, nil, []*catalog.Service{{Name: "llm", Engine: &catalog.Engine{StageSwitch: 3 * time.Second}}}, nil, nil))
	set := endpoint.NewSet(time.Second)
	set.Replace(time.Now(), 0, []*endpoint.Endpoint{engineAt("x", "a", endpoint.StageDecode), engineAt("y", "a", endpoint.StageDecode)})
	return NewHolder(Options{
		Host: "a", Incarnation: "a-1", Leases: l, Clock: steady{}, Quiet: 3 * time.Second, Settle: 2 * time.Second,
		Counter: NewCounter(window, time.Now), Store: store, Reporter: r, Engines: e, Catalog: c, Endpoints: set,
		Balance: DefaultBalance(), Switching: func(*endpoint.Endpoint, time.Duration) {}, Idle: func([]*endpoint.Endpoint) bool { return false }, Log: quiet,
	})
}

// A host that had the duties before the last holder waits, so that holders never
// take turns faster than they may; without the lease nothing is done.
func TestAHolderThatComesBackWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		_, err := store.Client("b").CompareAndSwap(t.Context(), turnsKey, 0, []byte(`["a","b"]`), 0)
		is.NoErr(err)
		l, e, r := &held{fence: 5}, &engines{}, &reports{taken: make(map[int64]Counts)}
		h := holderOf(l, e, r, store.Client("a"))
		run := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(stepEvery) {
				h.step(t.Context())
			}
		}
		run(20 * time.Second)
		is.Equal(len(e.orders)+r.calls, 0)
		l.ok = true
		run(2900 * time.Millisecond)
		is.Equal(len(e.orders)+r.calls, 0)
		run(10 * time.Second)
		is.True(r.calls > 0)
		is.True(len(e.orders) > 0)
	})
}

func TestWhoMustWait(t *testing.T) {
	is := is.New(t)
	is.True(!mustWait(nil, "a"))
	is.True(!mustWait([]string{"b"}, "a"))
	is.True(!mustWait([]string{"b", "a"}, "a")) // nobody came between
	is.True(mustWait([]string{"a", "b"}, "a"))
	is.True(mustWait([]string{"a", "b", "c"}, "a"))
}

// Without the store's word on who had them before, a holder waits.
func TestAHolderThatCannotTellWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		client := store.Client("a")
		h := holderOf(&held{fence: 5, ok: true}, &engines{}, &reports{taken: make(map[int64]Counts)}, client)
		is.Equal(h.turn(t.Context()), time.Duration(0))
		client.SetDown(true)
		is.Equal(h.turn(t.Context()), 3*time.Second)
	})
}

// Once a later holder was seen, nothing more is sent under the old number.
func TestAFencedHolderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		l, e, r := &held{fence: 5, ok: true}, &engines{err: backing.ErrFenced}, &reports{taken: make(map[int64]Counts), err: backing.ErrFenced}
		h := holderOf(l, e, r, store.Client("a"))
		for range 60 {
			h.step(t.Context())
			time.Sleep(stepEvery)
		}
		is.Equal(r.calls+len(e.orders), 1)
		l.fence = 6 // it took the lease again
		r.err, e.err = nil, nil
		for range 60 {
			h.step(t.Context())
			time.Sleep(stepEvery)
		}
		is.True(r.calls+len(e.orders) > 1)
	})
}

// Before there is work a change costs nothing, and is made soon.
func TestIdleEnginesAreBalancedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		e := &engines{}
		h := holderOf(&held{fence: 5, ok: true}, e, &reports{taken: make(map[int64]Counts)}, store.Client("a"))
		h.o.Idle = func([]*endpoint.Endpoint) bool { return true }
		for range 3 {
			h.step(t.Context())
			time.Sleep(stepEvery)
		}
		is.Equal(len(e.orders), 1)
	})
}

// While engines still come, nothing is known of the balance.
func TestEnginesAreBalancedOnceAllAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		e := &engines{}
		h := holderOf(&held{fence: 5, ok: true}, e, &reports{taken: make(map[int64]Counts)}, store.Client("a"))
		h.o.Quiet, h.o.Idle = 0, func([]*endpoint.Endpoint) bool { return true }
		for i := range 8 {
			h.o.Endpoints.Put(time.Now(), engineAt("new"+strconv.Itoa(i), "a", endpoint.StageDecode))
			h.step(t.Context())
			time.Sleep(stepEvery)
		}
		is.Equal(len(e.orders), 0)
		for range 3 {
			h.step(t.Context())
			time.Sleep(stepEvery)
		}
		is.Equal(len(e.orders), 7) // seven of ten prefill
	})
}

// An engine that crashes is back sooner than a change of stage would be done.
func TestAShortImbalanceIsBorne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		l, e, r := &held{fence: 5, ok: true}, &engines{}, &reports{taken: make(map[int64]Counts)}
		h := holderOf(l, e, r, store.Client("a"))
		h.o.Quiet = 0
		for range 8 {
			h.step(t.Context())
			time.Sleep(stepEvery)
		}
		is.Equal(len(e.orders), 0)
		h.step(t.Context())
		h.step(t.Context())
		is.Equal(len(e.orders), 1) // and not ordered twice
	})
}
