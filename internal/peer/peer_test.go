package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

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
}

func join(t *testing.T, store *kv.Store, name string) *member {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	m := &member{listener: l, heard: make(map[string]int64), told: make(map[string]bool), gone: make(map[string]bool)}
	log := slog.New(slog.DiscardHandler)
	m.directory = NewDirectory(Entry{Host: name, Address: l.Addr().String(), Incarnation: name + "-1"}, store.Client(name), log)
	m.group = NewGroup(Options{
		Directory: m.directory, Log: log,
		Make: func() *Snapshot { return &Snapshot{Host: name, Spent: map[string]int64{"w": 7}} },
		Take: func(s *Snapshot) { m.note(func() { m.heard[s.Host] = s.Spent["w"] }) },
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
	until(t, func() bool { hosts, heard := b.group.Audible(); return hosts == 3 && len(heard) == 2 })
	// One that leaves takes its entry away, and the others forget it.
	c.stop()
	until(t, a.is(func() bool { return a.gone["c"] }))
	hosts, _ := a.group.Audible()
	is.Equal(hosts, 2)
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
	until(t, func() bool { hosts, heard := a.group.Audible(); return hosts == 2 && len(heard) == 0 })
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
