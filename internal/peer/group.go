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
	// exchangeInterval is the time between exchanges with each peer. The load on
	// engines changes within tens of milliseconds.
	exchangeInterval = 80 * time.Millisecond
	// exchangeIntervalPerPeer raises the interval in proportion to the number of
	// peers, so that a host's rate of exchanges does not grow with it. With more
	// hosts, each carries a smaller share of the load.
	exchangeIntervalPerPeer = 20 * time.Millisecond
	// minExchangeInterval is the least time between exchanges with a peer when
	// they are triggered early.
	minExchangeInterval = 25 * time.Millisecond
	// maxSnapshotAge is the age up to which a snapshot is reused, so that it is
	// not built for each peer.
	maxSnapshotAge = 40 * time.Millisecond
	// reachableTimeout and reachableRounds state how long after its last snapshot
	// a peer counts as reachable, as a time and in exchange intervals. The longer
	// one applies.
	reachableTimeout = 600 * time.Millisecond
	reachableRounds  = 4
)

// intervalFor returns the time between exchanges with each peer for the given
// number of peers.
func intervalFor(peers int) time.Duration {
	return max(exchangeInterval, time.Duration(peers)*exchangeIntervalPerPeer)
}

// Options configure a Group.
type Options struct {
	// Directory lists the hosts to exchange with.
	Directory *Directory
	// BuildSnapshot builds a snapshot of this host's state, without updates.
	BuildSnapshot func() *Snapshot
	// AddUpdates adds to out the updates after position sent, and returns the position
	// that the peer reaches by acknowledging out.
	AddUpdates func(out *Snapshot, sent UpdatePosition) UpdatePosition
	// Receive handles a peer's snapshot. If newer is false, a later snapshot of the
	// peer was handled before, and only the updates apply.
	Receive func(in *Snapshot, newer bool)
	// VersionReports returns this host's current version reports.
	VersionReports func() VersionReports
	// Clock is the clock of the instants passed to ReceiveAnswer.
	Clock lease.Clock
	// ReceiveAnswer handles a peer's answer to an exchange that started at the given
	// instant. Each reported version was read at that instant minus its reported
	// age, or later.
	ReceiveAnswer func(in *Snapshot, started lease.Instant)
	// SnapshotSent is called when a peer has acknowledged a snapshot of this host.
	SnapshotSent func(peer string, s *Snapshot)
	// PeerLeft is called for each peer that left the directory, with no lock of the
	// group held.
	PeerLeft func(host string)
	Log      *slog.Logger
}

// Group exchanges snapshots with all other hosts. It is safe for concurrent use.
type Group struct {
	opts Options

	mu sync.Mutex // guards exchangers and received
	// exchangers holds the running exchange loops, by peer.
	exchangers map[string]*exchanger
	// received holds the last receipt from each peer.
	received map[string]receipt

	// snapshotMu guards latest and latestAt. It is held while a snapshot is built,
	// and never together with mu: Options.BuildSnapshot may wait for a caller of
	// Reachable.
	snapshotMu sync.Mutex
	latest     *Snapshot
	latestAt   time.Time
}

// receipt describes the last snapshot received from a peer.
type receipt struct {
	// at is the time of the last snapshot, whether or not it was in order.
	at time.Time
	// incarnation and sequence are those of the newest snapshot.
	incarnation string
	sequence    int64
}

// exchanger controls the exchange loop of one peer.
type exchanger struct {
	entry Entry
	stop  context.CancelFunc
	// trigger has a buffer of one; a value in it requests an early exchange.
	trigger chan struct{}
}

// NewGroup returns a group that has received no snapshots yet.
func NewGroup(opts Options) *Group {
	return &Group{opts: opts, exchangers: make(map[string]*exchanger), received: make(map[string]receipt)}
}

// Serve serves exchanges that peers start, until ctx is done.
func (g *Group) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, func(in *Snapshot) *Snapshot {
		g.receive(in)
		out := *g.snapshot(maxSnapshotAge)
		out.Versions = g.opts.VersionReports()
		return &out
	})
}

// receive records the receipt of a peer's snapshot and handles it.
func (g *Group) receive(in *Snapshot) {
	g.mu.Lock()
	last := g.received[in.Host]
	newer := in.Incarnation != last.incarnation || in.Sequence > last.sequence
	if newer {
		last.incarnation, last.sequence = in.Incarnation, in.Sequence
	}
	last.at = time.Now()
	g.received[in.Host] = last
	g.mu.Unlock()
	g.opts.Receive(in, newer)
}

// snapshot returns a snapshot of this host that is at most maxAge old.
func (g *Group) snapshot(maxAge time.Duration) *Snapshot {
	g.snapshotMu.Lock()
	defer g.snapshotMu.Unlock()
	if g.latest == nil || time.Since(g.latestAt) > maxAge {
		sequence := int64(1)
		if g.latest != nil {
			sequence = g.latest.Sequence + 1
		}
		g.latest, g.latestAt = g.opts.BuildSnapshot(), time.Now()
		g.latest.Sequence = sequence
	}
	return g.latest
}

// Run exchanges snapshots with all other hosts until ctx is done.
func (g *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
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

// reconcile starts and stops exchange loops to match the directory, and reports the
// peers that left it.
func (g *Group) reconcile(ctx context.Context) {
	// g.mu is not held here: PeerLeft may wait for a lock whose owner is calling
	// Reachable or TriggerExchange.
	for _, name := range g.syncExchangers(ctx, g.opts.Directory.Others()) {
		g.opts.PeerLeft(name)
		g.opts.Log.Info("peer left", observe.FieldPeer, name)
	}
}

// syncExchangers starts and stops exchange loops so that there is one for each
// entry of others. It returns the peers that have left.
func (g *Group) syncExchangers(ctx context.Context, others map[string]Entry) (left []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, x := range g.exchangers {
		if others[name] != x.entry {
			x.stop()
			delete(g.exchangers, name)
			if _, listed := others[name]; !listed {
				delete(g.received, name)
				left = append(left, name)
			}
		}
	}
	for name, e := range others {
		if g.exchangers[name] != nil {
			continue
		}
		loopCtx, stop := context.WithCancel(ctx)
		trigger := make(chan struct{}, 1)
		g.exchangers[name] = &exchanger{entry: e, stop: stop, trigger: trigger}
		g.opts.Log.Info("peer found", observe.FieldPeer, name, "address", e.Address)
		go g.exchangeLoop(loopCtx, e, trigger)
	}
	return left
}

// exchangeLoop exchanges snapshots with one peer until ctx is done.
func (g *Group) exchangeLoop(ctx context.Context, e Entry, trigger <-chan struct{}) {
	peer := &client{address: e.Address}
	defer peer.close()
	timer := time.NewTimer(exchangeInterval)
	defer timer.Stop()
	lost := false
	maxAge := maxSnapshotAge
	var sent UpdatePosition
	for {
		out := *g.snapshot(maxAge)
		next := g.opts.AddUpdates(&out, sent)
		out.Versions = g.opts.VersionReports()
		started := g.opts.Clock.Now()
		in, err := peer.exchange(ctx, &out)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && !lost:
			lost = true
			g.opts.Log.Warn("peer lost", observe.FieldPeer, e.Host, observe.FieldError, err)
		case err == nil:
			if lost {
				g.opts.Log.Info("peer regained", observe.FieldPeer, e.Host)
			}
			lost = false
			sent = next
			g.opts.SnapshotSent(e.Host, &out)
			g.receive(in)
			g.opts.ReceiveAnswer(in, started)
		}
		if !backing.Pause(ctx, minExchangeInterval) {
			return
		}
		timer.Reset(intervalFor(g.peerCount()) - minExchangeInterval)
		select {
		case <-ctx.Done():
			return
		case <-trigger:
			maxAge = 0
		case <-timer.C:
			maxAge = maxSnapshotAge
		}
	}
}

// TriggerExchange triggers an exchange with every peer without waiting for the
// interval. It does not block.
func (g *Group) TriggerExchange() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, x := range g.exchangers {
		select {
		case x.trigger <- struct{}{}:
		default: // an exchange is already pending
		}
	}
}

// peerCount returns the number of peers with an exchange loop.
func (g *Group) peerCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.exchangers)
}

// Reachable returns the names of the other hosts in the directory: those from which
// a snapshot was received recently, and the others.
func (g *Group) Reachable() (reachable, unreachable []string) {
	others := g.opts.Directory.Others()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	reachable = make([]string, 0, len(others))
	for name := range others {
		if now.Sub(g.received[name].at) < max(reachableTimeout, reachableRounds*intervalFor(len(others))) {
			reachable = append(reachable, name)
		} else {
			unreachable = append(unreachable, name)
		}
	}
	return reachable, unreachable
}
