package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/observe"
)

const (
	// exchangeEvery is the time between snapshots to each peer: work at
	// engines changes within tens of milliseconds.
	exchangeEvery = 80 * time.Millisecond
	// exchangePerPeer is the least of that time for each peer, so that a host
	// sends the same however many there are: each has a smaller part of the work.
	exchangePerPeer = 20 * time.Millisecond
	// urgeEvery bounds exchanges that are asked for in between.
	urgeEvery = 25 * time.Millisecond
	// stateAge is how old a state may be that peers are told, so that it is not
	// made anew for each of them.
	stateAge = 40 * time.Millisecond
	// audibleFor is how long after its last snapshot a peer counts as heard,
	// and audibleRounds the same in exchanges.
	audibleFor    = 600 * time.Millisecond
	audibleRounds = 4
)

// pace is the time between exchanges with each of so many peers.
func pace(peers int) time.Duration {
	return max(exchangeEvery, time.Duration(peers)*exchangePerPeer)
}

// Options configure a Group.
type Options struct {
	Directory *Directory
	// Make returns this host's state. News adds what a peer has not been told
	// and returns the mark that it will have been told up to.
	Make func() *Snapshot
	News func(out *Snapshot, told Mark) Mark
	// Take handles a peer's snapshot. Its state is newer than what was taken
	// of it before, or it is not and only the news count.
	Take func(in *Snapshot, newer bool)
	// Look returns what this host knows of the store at this moment.
	Look func() Sights
	// Clock and Answered: a peer answered an exchange that was begun at a
	// moment, so what it knows of the store is no older than it says, from there.
	Clock    lease.Clock
	Answered func(in *Snapshot, begun lease.Instant)
	// Told is called when a peer has taken a snapshot of this host.
	Told func(peer string, s *Snapshot)
	// Gone is told of peers that left the directory.
	Gone func(host string)
	Log  *slog.Logger
}

// Group exchanges snapshots with all other hosts.
type Group struct {
	o Options

	mu    sync.Mutex
	links map[string]*runner
	heard map[string]hearing

	// making is held while a state is made, and never together with mu: what
	// makes it may wait for a caller of Audible.
	making sync.Mutex
	latest *Snapshot
	made   time.Time
}

// hearing is what was last heard of a peer.
type hearing struct {
	at          time.Time
	incarnation string
	sequence    int64
}

// runner is the loop that exchanges with one peer.
type runner struct {
	entry Entry
	stop  context.CancelFunc
	urge  chan struct{}
}

// NewGroup returns a group that has heard nobody.
func NewGroup(o Options) *Group {
	return &Group{o: o, links: make(map[string]*runner), heard: make(map[string]hearing)}
}

// Serve answers peers until ctx ends.
func (g *Group) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, func(in *Snapshot) *Snapshot {
		g.take(in)
		out := *g.state(stateAge)
		out.Sights = g.o.Look()
		return &out
	})
}

func (g *Group) take(in *Snapshot) {
	g.mu.Lock()
	last := g.heard[in.Host]
	newer := in.Incarnation != last.incarnation || in.Sequence > last.sequence
	if newer {
		last.incarnation, last.sequence = in.Incarnation, in.Sequence
	}
	last.at = time.Now()
	g.heard[in.Host] = last
	g.mu.Unlock()
	g.o.Take(in, newer)
}

// state is this host's state, at most as old as age.
func (g *Group) state(age time.Duration) *Snapshot {
	g.making.Lock()
	defer g.making.Unlock()
	if g.latest == nil || time.Since(g.made) > age {
		sequence := int64(1)
		if g.latest != nil {
			sequence = g.latest.Sequence + 1
		}
		g.latest, g.made = g.o.Make(), time.Now()
		g.latest.Sequence = sequence
	}
	return g.latest
}

// Run exchanges snapshots until ctx ends.
func (g *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeEvery)
	defer ticker.Stop()
	for {
		g.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile starts and ends loops so that there is one for each other host.
func (g *Group) reconcile(ctx context.Context) {
	// Who is told may hold a lock that a caller of Audible or Urge holds too.
	for _, name := range g.relink(ctx, g.o.Directory.Others()) {
		g.o.Gone(name)
		g.o.Log.Info("peer left", observe.FieldPeer, name)
	}
}

// relink starts and ends loops, and returns the peers that are no longer there.
func (g *Group) relink(ctx context.Context, others map[string]Entry) (gone []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, r := range g.links {
		if others[name] != r.entry {
			r.stop()
			delete(g.links, name)
			if _, stays := others[name]; !stays {
				delete(g.heard, name)
				gone = append(gone, name)
			}
		}
	}
	for name, e := range others {
		if g.links[name] != nil {
			continue
		}
		linkCtx, stop := context.WithCancel(ctx)
		urge := make(chan struct{}, 1)
		g.links[name] = &runner{entry: e, stop: stop, urge: urge}
		g.o.Log.Info("peer found", observe.FieldPeer, name, "address", e.Address)
		go g.talk(linkCtx, e, urge)
	}
	return gone
}

// talk exchanges snapshots with one peer until ctx ends.
func (g *Group) talk(ctx context.Context, e Entry, urge <-chan struct{}) {
	l := &link{address: e.Address}
	defer l.close()
	timer := time.NewTimer(exchangeEvery)
	defer timer.Stop()
	lost := false
	age := stateAge
	var told Mark
	for {
		out := *g.state(age)
		mark := g.o.News(&out, told)
		out.Sights = g.o.Look()
		begun := g.o.Clock.Now()
		in, err := l.exchange(ctx, &out)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && !lost:
			lost = true
			g.o.Log.Warn("peer lost", observe.FieldPeer, e.Host, observe.FieldError, err)
		case err == nil:
			if lost {
				g.o.Log.Info("peer regained", observe.FieldPeer, e.Host)
			}
			lost = false
			told = mark
			g.o.Told(e.Host, &out)
			g.take(in)
			g.o.Answered(in, begun)
		}
		if !backing.Pause(ctx, urgeEvery) {
			return
		}
		timer.Reset(pace(g.peers()) - urgeEvery)
		select {
		case <-ctx.Done():
			return
		case <-urge:
			age = 0
		case <-timer.C:
			age = stateAge
		}
	}
}

// Urge asks for an exchange with every peer at once.
func (g *Group) Urge() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.links {
		select {
		case r.urge <- struct{}{}:
		default: // asked for already
		}
	}
}

func (g *Group) peers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.links)
}

// Audible returns the names of the other hosts that this host hears, and of
// those that it does not.
func (g *Group) Audible() (heard, silent []string) {
	others := g.o.Directory.Others()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	heard = make([]string, 0, len(others))
	for name := range others {
		if now.Sub(g.heard[name].at) < max(audibleFor, audibleRounds*pace(len(others))) {
			heard = append(heard, name)
		} else {
			silent = append(silent, name)
		}
	}
	return heard, silent
}
