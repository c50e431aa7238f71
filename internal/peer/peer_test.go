package peer

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/placement"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

// member is one host of a group under test.
type member struct {
	group     *Group
	directory *Directory
	listener  net.Listener
	stop      context.CancelFunc
	done      sync.WaitGroup

	mu    sync.Mutex
	heard map[string]int64
	told  map[string]bool
	gone  map[string]bool
	// placed counts the dispatches that were heard, by engine.
	placed map[string]int
	// sights is what each peer said to know of the store in its last answer.
	sights map[string]Sights
	// dispatches are this host's; they do not change.
	dispatches []placement.Placed
}

func join(t *testing.T, store *kv.Store, name string) *member {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	m := &member{listener: l, heard: make(map[string]int64), told: make(map[string]bool), gone: make(map[string]bool), placed: make(map[string]int), sights: make(map[string]Sights)}
	for i := range 40 {
		m.dispatches = append(m.dispatches, placement.Placed{Engine: name + strconv.Itoa(i)})
	}
	log := slog.New(slog.DiscardHandler)
	m.directory = NewDirectory(Entry{Host: name, Address: l.Addr().String(), Incarnation: name + "-1"}, store.Client(name), log)
	m.group = NewGroup(Options{
		Directory: m.directory, Log: log,
		Make: func() *Snapshot { return &Snapshot{Host: name, Spent: map[string]int64{"w": 7}} },
		News: func(out *Snapshot, told Mark) Mark {
			out.Placed = m.dispatches[told.Placed:]
			return Mark{Placed: int64(len(m.dispatches))}
		},
		Clock: lease.SystemClock{}, Look: func() Sights { return Sights{Config: Sight{Version: 3, Age: 5}} },
		Answered: func(s *Snapshot, _ lease.Instant) { m.note(func() { m.sights[s.Host] = s.Sights }) },
		Take: func(s *Snapshot, newer bool) {
			m.note(func() {
				if newer {
					m.heard[s.Host] = s.Spent["w"]
				}
				for _, p := range s.Placed {
					m.placed[p.Engine]++
				}
			})
		},
		Told: func(peer string, _ *Snapshot) { m.note(func() { m.told[peer] = true }) },
		Gone: func(peer string) { m.note(func() { m.gone[peer] = true }) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.done.Go(func() { _ = m.group.Serve(ctx, l) })
	m.done.Go(func() { m.group.Run(ctx) })
	m.done.Go(func() { m.directory.Run(ctx) })
	t.Cleanup(func() { cancel(); m.done.Wait() })
	return m
}

func (m *member) note(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func (m *member) is(f func() bool) func() bool {
	return func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return f()
	}
}

func until(t *testing.T, ok func() bool) {
	t.Helper()
	for !ok() {
		select {
		case <-t.Context().Done():
			t.Fatal("never")
		case <-time.After(2 * time.Millisecond):
		}
	}
}

func TestHostsFindAndHearEachOther(t *testing.T) {
	is := is.New(t)
	store := kv.New(kv.Options{})
	defer store.Close()
	a, b, c := join(t, store, "a"), join(t, store, "b"), join(t, store, "c")
	// A peer may be heard before its entry is seen; what is told goes to entries.
	until(t, a.is(func() bool { return a.heard["b"] == 7 && a.heard["c"] == 7 && a.told["b"] && a.told["c"] }))
	until(t, c.is(func() bool { return c.heard["a"] == 7 && c.heard["b"] == 7 }))
	until(t, func() bool { heard, silent := b.group.Audible(); return len(heard) == 2 && len(silent) == 0 })
	until(t, a.is(func() bool { return a.sights["b"].Config == Sight{Version: 3, Age: 5} }))
	// One that leaves takes its entry away, and the others forget it.
	c.stop()
	until(t, a.is(func() bool { return a.gone["c"] }))
	heard, silent := a.group.Audible()
	is.Equal(len(heard)+len(silent), 1)
}

// Every peer hears all news, however seldom it is talked to.
func TestEveryPeerHearsTheNews(t *testing.T) {
	store := kv.New(kv.Options{})
	defer store.Close()
	a, b, c := join(t, store, "a"), join(t, store, "b"), join(t, store, "c")
	for _, m := range []*member{a, b, c} {
		until(t, m.is(func() bool { return len(m.placed) == 2*len(m.dispatches) }))
	}
}

// States that overtake each other are told apart; their news count all the same.
func TestAnOlderStateIsToldApart(t *testing.T) {
	is := is.New(t)
	var newer []bool
	g := NewGroup(Options{Take: func(_ *Snapshot, n bool) { newer = append(newer, n) }})
	for _, s := range []Snapshot{{Incarnation: "a-1", Sequence: 5}, {Incarnation: "a-1", Sequence: 4}, {Incarnation: "a-1", Sequence: 6}, {Incarnation: "a-2", Sequence: 1}} {
		s.Host = "a"
		g.take(&s)
	}
	is.Equal(newer, []bool{true, false, true, true})
}

// A host that is asked for its state while a caller asks who is audible does
// not lock up: what makes a state waits for such callers.
func TestAStateIsMadeWhileCallersAsk(t *testing.T) {
	store := kv.New(kv.Options{})
	defer store.Close()
	var g *Group
	g = NewGroup(Options{
		Directory: NewDirectory(Entry{Host: "a"}, store.Client("a"), slog.New(slog.DiscardHandler)),
		Make: func() *Snapshot {
			g.Audible()
			return &Snapshot{}
		},
	})
	g.state(0)
}

// Who hears that a peer has left may ask who is audible, or wait for one who asks.
func TestALeavingPeerIsToldWithoutALock(t *testing.T) {
	store := kv.New(kv.Options{})
	defer store.Close()
	var g *Group
	asked := 0
	g = NewGroup(Options{
		Directory: NewDirectory(Entry{Host: "a"}, store.Client("a"), slog.New(slog.DiscardHandler)),
		Gone: func(string) {
			done := make(chan struct{})
			go func() {
				defer close(done)
				g.Audible()
			}()
			<-done
			asked++
		},
		Log: slog.New(slog.DiscardHandler),
	})
	g.links["b"] = &runner{entry: Entry{Host: "b"}, stop: func() {}}
	g.reconcile(t.Context())
	is.New(t).Equal(asked, 1)
}

// A host that listens no more, but whose entry is there, is not heard.
func TestASilentPeerIsNotAudible(t *testing.T) {
	store := kv.New(kv.Options{})
	defer store.Close()
	a, b := join(t, store, "a"), join(t, store, "b")
	until(t, a.is(func() bool { return a.heard["b"] == 7 && a.told["b"] }))
	// The store is silent to both, so the entry stays; b stops.
	store.Client("a").SetDown(true)
	store.Client("b").SetDown(true)
	b.stop()
	until(t, func() bool { heard, silent := a.group.Audible(); return len(silent) == 1 && len(heard) == 0 })
}

// A host that starts again under its name writes over the entry of its
// earlier start.
func TestAnEarlierEntryIsReplaced(t *testing.T) {
	is := is.New(t)
	store := kv.New(kv.Options{})
	defer store.Close()
	log := slog.New(slog.DiscardHandler)
	first := NewDirectory(Entry{Host: "a", Address: "1.1.1.1:1", Incarnation: "a-1"}, store.Client("a"), log)
	second := NewDirectory(Entry{Host: "a", Address: "1.1.1.1:2", Incarnation: "a-2"}, store.Client("a"), log)
	first.keep(t.Context())
	second.keep(t.Context())
	watcher := NewDirectory(Entry{Host: "b"}, store.Client("b"), log)
	items, _, err := store.Client("b").List(t.Context(), hostsPrefix)
	is.NoErr(err)
	is.NoErr(watcher.replace(items))
	is.Equal(watcher.Others()["a"].Incarnation, "a-2")
}
