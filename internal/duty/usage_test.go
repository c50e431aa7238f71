package duty

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

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
