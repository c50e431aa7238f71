package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

// eraStore is a store that can be restored.
type eraStore struct {
	backing.Store
	backing.Eras
}

func newEraStore(s backing.Store) *eraStore {
	e := &eraStore{Store: s}
	e.Observe(1)
	return e
}

// Guards against a window that is reported once more, with other counts, since the store has
// lost its final ones.
func TestWindowReportedBeforeRestorationIsNotReportedAgain(t *testing.T) {
	for name, dead := range map[string]bool{"by the same leader": false, "by another leader": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := kv.New(kv.Options{})
				defer store.Close()
				first, second := newEraStore(store.Client("a")), newEraStore(store.Client("b"))
				counter, late := NewCounter(window, time.Now), NewCounter(window, time.Now)
				recorder := &fakeReporter{accepted: make(map[int64]Counts)}
				leader, next := newTestUsageReporter(counter, first, recorder, "a-1"), newTestUsageReporter(late, second, recorder, "b-1")
				is.NoErr(leader.step(t.Context(), 7))
				current := counter.CurrentWindow()
				counter.RecordStart("w")
				copied := store.Copy()
				time.Sleep(window + 3*time.Second)
				is.NoErr(leader.step(t.Context(), 7))
				is.Equal(recorder.accepted[current], Counts{"w": 1})
				store.Restore(copied)
				first.Observe(2)
				second.Observe(2)
				late.MergePeer("c-1", map[int64]map[string]int64{current: {"w": 5}})
				counter.MergePeer("c-1", map[int64]map[string]int64{current: {"w": 5}})
				if dead {
					leader = next
				} else {
					delete(recorder.accepted, current) // the report was lost
					delete(leader.reported, current)
				}
				is.NoErr(leader.step(t.Context(), 8))
				is.Equal(recorder.accepted[current], Counts{"w": 1})
				counter.RecordStart("v")
				late.RecordStart("v")
				later := counter.CurrentWindow()
				time.Sleep(window + 3*time.Second)
				is.NoErr(leader.step(t.Context(), 8))
				is.Equal(recorder.accepted[later]["v"], int64(1)) // those since are reported
			})
		})
	}
}

// Guards against a leader that starts long after a restoration and takes it for the reason why
// a window has no final counts.
func TestLaterLeaderKnowsWhenEraBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		client := newEraStore(store.Client("a"))
		recorder := &fakeReporter{accepted: make(map[int64]Counts)}
		is.NoErr(newTestUsageReporter(NewCounter(window, time.Now), client, recorder, "a-1").step(t.Context(), 7))
		time.Sleep(time.Minute)
		counter := NewCounter(window, time.Now)
		next := newTestUsageReporter(counter, client, recorder, "b-1")
		current := counter.CurrentWindow()
		counter.RecordStart("w")
		time.Sleep(window + 3*time.Second)
		is.NoErr(next.step(t.Context(), 8))
		is.Equal(recorder.accepted[current], Counts{"w": 1})
	})
}

// Guards against windows that are left out though this process saw the era begin before they
// could be reported.
func TestEraCountsFromWhenItWasNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		client := newEraStore(store.Client("a"))
		counter := NewCounter(window, time.Now)
		recorder := &fakeReporter{accepted: make(map[int64]Counts)}
		leader := newTestUsageReporter(counter, client, recorder, "a-1")
		client.Observe(2)
		noticed := time.Now()
		leader.eras.noticed = func() EraNotice { return EraNotice{Era: 2, At: noticed} }
		current := counter.CurrentWindow()
		counter.RecordStart("w")
		time.Sleep(window + 3*time.Second) // until it leads
		is.NoErr(leader.step(t.Context(), 8))
		is.Equal(recorder.accepted[current], Counts{"w": 1})
	})
}

// Guards against leaders that take turns faster than they may since the store has lost who led.
func TestLeaderKnowsThatItLedThoughHistoryIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		copied := store.Copy()
		leases := &fakeLease{fence: 5, ok: true}
		a := newTestRunner(leases, &fakeEngines{}, &fakeReporter{accepted: make(map[int64]Counts)}, store.Client("a"))
		a.step(t.Context())
		store.Restore(copied)
		is.Equal(a.recordLeader(t.Context()), time.Duration(0)) // nobody led between
		store.Restore(copied)
		b := newTestRunner(leases, &fakeEngines{}, &fakeReporter{accepted: make(map[int64]Counts)}, store.Client("b"))
		b.opts.Host = "b"
		is.Equal(b.recordLeader(t.Context()), time.Duration(0))
		is.Equal(a.recordLeader(t.Context()), 3*time.Second)
	})
}

// Guards against counts that a restored store has lost and nobody writes again: they would be
// gone with their host.
func TestCountsAreWrittenAgainToRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{})
		defer store.Close()
		copied := store.Copy()
		client := newEraStore(store.Client("a"))
		counter := NewCounter(window, time.Now)
		writer := &CountsWriter{IsLeader: falseFunc, ReceivedByLeader: falseFunc, Counter: counter, Store: client, Incarnation: "a-1", Log: discardLog}
		writer.init()
		key := countsKey(counter.CurrentWindow()) + "a-1"
		counter.RecordStart("w")
		writer.save(t.Context())
		store.Restore(copied)
		client.Observe(2)
		for range 2 { // the lease is gone as well
			writer.save(t.Context())
		}
		kv, err := client.Get(t.Context(), key)
		is.NoErr(err)
		is.Equal(string(kv.Value), `{"a-1":{"w":1}}`)
	})
}

// Guards against windows that are left out though their leader led until the store was lost, and
// against those that a leader before it may have reported.
func TestLeaderThatLedThroughRestorationReportsItsWindows(t *testing.T) {
	for name, led := range map[string]bool{"led": true, "had lost the lead": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := kv.New(kv.Options{})
				defer store.Close()
				client := newEraStore(store.Client("a"))
				counter := NewCounter(window, time.Now)
				recorder := &fakeReporter{accepted: make(map[int64]Counts)}
				leader := newTestUsageReporter(counter, client, recorder, "a-1")
				before := counter.CurrentWindow()
				time.Sleep(window + 3*time.Second) // another host leads
				counter.RecordStart("w")
				during := counter.CurrentWindow()
				leader.tookLead()
				_, err := leader.eras.begunBy(t.Context())
				is.NoErr(err)
				time.Sleep(window + 3*time.Second) // the store is away
				client.Observe(2)
				notice := EraNotice{Era: 2, At: time.Now(), Led: led}
				leader.eras.noticed = func() EraNotice { return notice }
				leader.tookLead()
				is.NoErr(leader.step(t.Context(), 8))
				_, reported := recorder.accepted[before]
				is.True(!reported)
				_, reported = recorder.accepted[during]
				is.Equal(reported, led)
			})
		})
	}
}
