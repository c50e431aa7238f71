package duty

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

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

// An engine that is where it should be, or on its way, gets no order; else the
// order names the orders that it must have accepted before.
func TestTheRegistryMayBeBehind(t *testing.T) {
	is := is.New(t)
	store := kv.New(kv.Options{})
	defer store.Close()
	e := &engines{reports: map[string]EngineReport{
		"there": {Stage: endpoint.StagePrefill}, "busy": {Stage: endpoint.StageDecode, Busy: true}, "decodes": {Stage: endpoint.StageDecode, Orders: 4},
	}}
	h := holderOf(&held{fence: 5, ok: true}, e, &reports{taken: make(map[int64]Counts)}, store.Client("a"))
	for _, id := range []string{"there", "busy", "decodes"} {
		is.NoErr(h.order(t.Context(), 5, StageOrder{Engine: engineAt(id, "a", endpoint.StageDecode), Stage: endpoint.StagePrefill}, time.Second))
	}
	is.Equal(len(e.orders), 1)
	is.Equal(e.orders[0].Engine.ID, "decodes")
	is.Equal(e.orders[0].After, int64(4))
}

// Stages are balanced also where nobody wants usage reports.
func TestDutiesWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		e := &engines{}
		h := holderOf(&held{fence: 5, ok: true}, e, nil, store.Client("a"))
		h.o.Reporter = nil
		for range 20 {
			h.step(t.Context())
			time.Sleep(stepEvery)
		}
		is.True(len(e.orders) > 0)
	})
}
