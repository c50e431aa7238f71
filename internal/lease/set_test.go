package lease

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

// fakeClock is a host's clocks. Suspended time counts on the boot clock alone.
type fakeClock struct {
	begin     time.Time
	suspended time.Duration
}

func (c *fakeClock) Now() Instant {
	now := time.Now()
	return Instant{Monotonic: now, Boot: now.Sub(c.begin) + c.suspended}
}

// host is one host with its set and its own connection to the store.
type host struct {
	name   string
	set    *Set
	clock  *fakeClock
	client *kv.Client
	// paused hosts do nothing; they may still ask Held when they go on.
	paused bool
	dead   bool
}

type site struct {
	store  *kv.Store
	hosts  []*host
	pieces []string
	// live is the membership that all hosts see.
	live []string
}

func newSite(n int, pieces ...string) *site {
	s := &site{store: kv.New(kv.Options{}), pieces: pieces}
	for i := range n {
		s.add(fmt.Sprint("h", i), flaws{})
	}
	return s
}

func (s *site) add(name string, f flaws) {
	h := &host{name: name, clock: &fakeClock{begin: time.Now()}, client: s.store.Client(name)}
	h.set = New(Options{
		Host: name, Incarnation: "1", Store: h.client, Clock: h.clock, Settings: DefaultSettings(),
		Pieces:    func() []string { return s.pieces },
		Preferred: func(piece string) (string, bool) { return Preferred(piece, s.live) },
		Marks:     record.NewMarks(name, "1"),
		Log:       slog.New(slog.DiscardHandler),
	})
	h.set.flaws = f
	s.hosts = append(s.hosts, h)
	s.live = append(s.live, name)
}

// holders returns who believes to hold the piece.
func (s *site) holders(piece string) []string {
	var names []string
	for _, h := range s.hosts {
		if _, _, ok := h.set.Held(piece); ok && !h.dead {
			names = append(names, h.name)
		}
	}
	return names
}

// tickLength is the time between two looks of the tests at all hosts.
const tickLength = 250 * time.Millisecond

// tick lets time pass; each host takes a step once a second.
func (s *site) tick(ctx context.Context, number int) {
	time.Sleep(tickLength)
	for i, h := range s.hosts {
		if !h.paused && !h.dead && (number+i)%4 == 0 {
			h.set.Step(ctx)
		}
	}
}

// await ticks until the condition holds and returns how long that took.
func (s *site) await(t *testing.T, condition func() bool) time.Duration {
	t.Helper()
	begun := time.Now()
	for n := 0; !condition(); n++ {
		if time.Since(begun) > time.Minute {
			t.Fatal("never")
		}
		s.tick(t.Context(), n)
	}
	return time.Since(begun)
}

func (s *site) byName(name string) *host {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func TestPiecesAreSpreadAndTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var pieces []string
		for i := range 30 {
			pieces = append(pieces, fmt.Sprint("p", i))
		}
		s := newSite(4, pieces...)
		all := func() bool {
			for _, p := range pieces {
				if len(s.holders(p)) != 1 {
					return false
				}
			}
			return true
		}
		s.await(t, all)
		for _, h := range s.hosts {
			is.True(len(h.set.Pieces()) >= 2)
		}
		dead := s.hosts[2]
		dead.dead = true
		s.live = []string{"h0", "h1", "h3"}
		took := s.await(t, all)
		t.Logf("taken over %v after the holder's death", took)
		is.True(took <= 15*time.Second)
		s.store.Close()
	})
}

func TestDirectoryFollowsHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(3, "p")
		d := NewDirectory(s.store)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.Run(ctx)
		}()
		agrees := func() bool {
			h, ok := d.Owner("p")
			return ok && slices.Equal(s.holders("p"), []string{h.Host})
		}
		s.await(t, agrees)
		s.store.SetDown(true)
		time.Sleep(2 * time.Second)
		is.Equal(len(d.All()), 1) // In an outage the last known holder stays.
		s.store.SetDown(false)
		first := s.byName(s.holders("p")[0])
		first.dead = true
		s.live = slices.DeleteFunc(s.live, func(name string) bool { return name == first.name })
		s.await(t, agrees)
		cancel()
		<-done
		s.store.Close()
	})
}

func TestReleaseAtAPlannedStopIsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2, "p")
		s.await(t, func() bool { return len(s.holders("p")) == 1 })
		first := s.byName(s.holders("p")[0])
		is.NoErr(first.set.Close(t.Context()))
		first.dead = true
		s.live = []string{"h0", "h1"}
		s.live = map[string][]string{"h0": {"h1"}, "h1": {"h0"}}[first.name]
		took := s.await(t, func() bool { return len(s.holders("p")) == 1 })
		is.True(took <= 2*time.Second)
		s.store.Close()
	})
}

func TestPausedAndSuspendedHoldersStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1, "p")
		s.await(t, func() bool { return len(s.holders("p")) == 1 })
		h := s.hosts[0]
		h.clock.suspended = 8 * time.Second
		_, _, ok := h.set.Held("p")
		is.True(!ok) // The boot clock went on while the machine was suspended.
		h.clock.suspended = 0
		h.paused = true
		time.Sleep(8 * time.Second)
		_, _, ok = h.set.Held("p")
		is.True(!ok)
		s.store.Close()
	})
}

func TestStoreOutageEndsAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2, "p")
		s.await(t, func() bool { return len(s.holders("p")) == 1 })
		s.store.SetDown(true)
		s.await(t, func() bool { return len(s.holders("p")) == 0 })
		s.store.SetDown(false)
		s.await(t, func() bool { return len(s.holders("p")) == 1 })
		is.Equal(len(s.holders("p")), 1)
		s.store.Close()
	})
}

func TestStoreCallsOfAnIdleSite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var pieces []string
		for i := range 40 {
			pieces = append(pieces, fmt.Sprint("p", i))
		}
		s := newSite(8, pieces...)
		for n := range 240 {
			s.tick(t.Context(), n)
		}
		before := s.calls()
		for n := range 240 {
			s.tick(t.Context(), n)
		}
		perMinute := s.calls() - before
		t.Logf("store calls a minute, 8 hosts, 40 pieces: %d", perMinute)
		is.True(perMinute <= 8*31)
		s.store.Close()
	})
}

func (s *site) calls() int64 {
	var n int64
	for _, h := range s.hosts {
		n += h.set.Stats().Calls.Load()
	}
	return n
}

// A host that holds nothing keeps no lease alive.
func TestAnIdleHostRenewsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2, "p")
		s.await(t, func() bool { return len(s.holders("p")) == 1 })
		play := func(ticks int) {
			for n := range ticks {
				s.tick(t.Context(), n)
			}
		}
		play(40)
		calls := make(map[string]int64)
		for _, h := range s.hosts {
			calls[h.name] = h.set.Stats().Calls.Load()
		}
		play(240)
		for _, h := range s.hosts {
			made := h.set.Stats().Calls.Load() - calls[h.name]
			is.Equal(made > 0, len(h.set.Pieces()) > 0)
		}
		s.store.Close()
	})
}
