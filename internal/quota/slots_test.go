package quota

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

// hostList is a host list that a test changes.
type hostList struct {
	mu    sync.Mutex
	hosts []backing.Host
}

func (l *hostList) Hosts(context.Context) ([]backing.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]backing.Host(nil), l.hosts...), nil
}

func (l *hostList) set(names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = nil
	for _, n := range names {
		l.hosts = append(l.hosts, backing.Host{Name: n, State: backing.HostLive})
	}
}

// site is a store, a host list and the slots of some hosts.
type site struct {
	store *kv.Store
	list  *hostList
	slots map[string]*Slots
	stops map[string]context.CancelFunc
}

func newSite(ctx context.Context, names ...string) *site {
	s := &site{
		store: kv.New(kv.Options{Seed: 1}), list: &hostList{},
		slots: make(map[string]*Slots), stops: make(map[string]context.CancelFunc),
	}
	s.list.set(names...)
	for _, n := range names {
		s.start(ctx, n, "1")
	}
	return s
}

func (s *site) start(ctx context.Context, name, incarnation string) {
	ctx, s.stops[name] = context.WithCancel(ctx)
	one := NewSlots(SlotConfig{
		Host: name, Incarnation: incarnation, Store: s.store.Client(name), Hosts: s.list,
	})
	s.slots[name] = one
	go func() { _ = one.Run(ctx) }()
}

// owned counts the slots that each host believes its own, and fails when two
// hosts believe in one.
func (s *site) owned(t *testing.T) map[string]int {
	t.Helper()
	n := make(map[string]int)
	for shard := range Shards {
		owners := 0
		for name, one := range s.slots {
			if _, ok := one.Owned(shard); ok {
				n[name]++
				owners++
			}
		}
		if owners > 1 {
			t.Fatalf("shard %d has %d owners", shard, owners)
		}
	}
	return n
}

func TestSlotsAreSharedAndMovedOnceAHostIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t.Context(), "a", "b", "c", "d")
		time.Sleep(time.Minute)
		is.Equal(s.owned(t), map[string]int{"a": 16, "b": 16, "c": 16, "d": 16})
		tenure, ok := s.slots["a"].Owned(firstOwned(s.slots["a"]))
		is.True(ok && tenure.Fresh)

		s.stops["a"]()
		delete(s.slots, "a")
		time.Sleep(time.Minute)
		is.Equal(s.owned(t), map[string]int{"b": 16, "c": 16, "d": 16}) // "a" is still listed
		s.list.set("b", "c", "d")
		time.Sleep(GoneAfter - 2*time.Second)
		is.Equal(len(s.owned(t)), 3)
		is.Equal(sum(s.owned(t)), 48)
		time.Sleep(time.Minute)
		is.Equal(sum(s.owned(t)), Shards)
		for shard := range Shards {
			for _, one := range s.slots {
				if tenure, ok := one.Owned(shard); ok {
					is.Equal(tenure.Fresh, tenure.Fence == 1)
				}
			}
		}
	})
}

// TestManyHostsThatStartTogetherShareSoon counts the store's writes too: hosts
// that lose a race must neither give up for long nor wear the store out.
func TestManyHostsThatStartTogetherShareSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		names := make([]string, 100)
		for i := range names {
			names[i] = fmt.Sprint("h", i)
		}
		s := newSite(t.Context(), names...)
		s.store.SetDelay(2 * time.Millisecond)
		time.Sleep(3 * time.Second)
		is.Equal(sum(s.owned(t)), Shards)
		t.Logf("%d writes and %d reads in 3 s", s.store.Counts().Writes(), s.store.Counts().Reads())
		is.True(s.store.Counts().Writes() < 100*8)
		is.True(s.store.Counts().Reads() < 100*20)
	})
}

func firstOwned(s *Slots) int {
	for shard := range Shards {
		if _, ok := s.Owned(shard); ok {
			return shard
		}
	}
	return 0
}

func sum(n map[string]int) int {
	total := 0
	for _, v := range n {
		total += v
	}
	return total
}

func TestSlotsSurviveAStoreOutageAndLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t.Context(), "a", "b")
		s.store.LoseAnswers(0.5)
		time.Sleep(5 * time.Minute)
		is.Equal(sum(s.owned(t)), Shards)
		s.store.SetDown(true)
		s.list.set("a")
		time.Sleep(time.Hour)
		is.Equal(sum(s.owned(t)), Shards) // nobody lost or took a slot
		is.Equal(s.owned(t)["b"], Shards/2)
	})
}

func TestRestartedHostTakesItsSlotsWithEmptyBuckets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t.Context(), "a")
		time.Sleep(20 * time.Second)
		is.Equal(s.owned(t)["a"], Shards)
		s.stops["a"]()
		s.start(t.Context(), "a", "2")
		time.Sleep(20 * time.Second)
		is.Equal(s.owned(t)["a"], Shards)
		tenure, _ := s.slots["a"].Owned(0)
		is.Equal(tenure, Tenure{Fence: 2})
	})
}

func TestPlannedStopGivesSlotsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t.Context(), "a", "b")
		time.Sleep(time.Minute)
		is.NoErr(s.slots["a"].Close(t.Context()))
		s.stops["a"]()
		is.Equal(s.owned(t)["a"], 0)
		s.list.set("b")
		time.Sleep(2 * slotInterval)
		is.Equal(s.owned(t)["b"], Shards)
	})
}

func TestHostMissingFromItsOwnListTakesNothing(t *testing.T) {
	is := is.New(t)
	var c census
	var table SlotTable
	table.Slots[0] = Slot{Host: "other", Fence: 3}
	now := time.Unix(1000, 0)
	for i := range 10 {
		c.observe(now.Add(time.Duration(i)*time.Minute), "self", nil, table.owners())
	}
	_, changed := table.plan(now.Add(time.Hour), "self", "1", &c, GoneAfter)
	is.True(!changed)
}

func BenchmarkSlotPlan(b *testing.B) {
	var c census
	hosts := make([]backing.Host, 370)
	var table SlotTable
	for i := range hosts {
		hosts[i] = backing.Host{Name: fmt.Sprint("h", i), State: backing.HostLive}
		table.Slots[i%Shards] = Slot{Host: hosts[i].Name, Incarnation: "1", Fence: 1}
	}
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		c.observe(now, "h5", hosts, table.owners())
		table.plan(now, "h5", "1", &c, GoneAfter)
	}
}
