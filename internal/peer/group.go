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
	// peers, so that a host's rate of exchanges is bounded.
	exchangeIntervalPerPeer = 12 * time.Millisecond
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
	// memberTimeout is how long after its last report a member counts as in touch. It
	// is below CutOffDelay by more than the time that delegates need to tell each
	// other.
	memberTimeout = 450 * time.Millisecond
	// CutOffDelay is the time without a successful exchange after which a member
	// relies on itself.
	CutOffDelay = 1200 * time.Millisecond
	// homeAvoidance is how long a delegate that failed as home is avoided.
	homeAvoidance = 3 * time.Second
)

// intervalFor returns the time between exchanges with each peer for the given
// number of peers.
func intervalFor(peers int) time.Duration {
	return max(exchangeInterval, time.Duration(peers)*exchangeIntervalPerPeer)
}

// Options configure a Group.
type Options struct {
	// Directory lists the hosts.
	Directory *Directory
	// BuildSnapshot builds a snapshot of this host's state for delegates, without
	// updates.
	BuildSnapshot func() *Snapshot
	// AddUpdates adds to out the updates after position sent for the given peer, and
	// returns the position that the peer reaches by acknowledging out.
	AddUpdates func(out *Snapshot, to string, sent UpdatePosition) UpdatePosition
	// AnswerMember turns out, a snapshot for delegates, into the answer to a member's
	// report.
	AnswerMember func(out, report *Snapshot)
	// Receive handles a peer's snapshot. If newer is false, a later snapshot of the
	// peer was handled before, and only the updates apply.
	Receive func(in *Snapshot, from Relation, newer bool)
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
	// Reserve answers the reservations that members make at this delegate.
	Reserve func(in *ReserveRequest) *ReserveResponse
	// Exchange makes one exchange with a peer; nil for calls over TCP.
	Exchange ExchangeFunc
	// PeerLeft is called for each peer that left the directory. PeerDropped is called
	// for each peer that this host no longer exchanges with. No lock of the group is
	// held.
	PeerLeft, PeerDropped func(host string)
	Log                   *slog.Logger
}

// ExchangeFunc sends a snapshot to a peer and returns its answer.
type ExchangeFunc func(ctx context.Context, to Entry, out *Snapshot) (*Snapshot, error)

// Relation is the relation of a peer to this host.
type Relation uint8

// The relations. A stranger is a host that this host takes for a delegate and that does
// not take itself for one, or the reverse; its state reaches this host in another way.
const (
	Stranger Relation = iota
	// FellowDelegate is another delegate of this delegate.
	FellowDelegate
	// Member is a member that reports to this host.
	Member
	// Home is the delegate that this member reports to.
	Home
)

// Group exchanges snapshots with the hosts that the topology names. It is safe for
// concurrent use.
type Group struct {
	opts Options
	// changed has a buffer of one; a value in it requests an early reconciliation.
	changed chan struct{}

	mu sync.Mutex // guards the fields below
	// topology is computed from the directory's version topologyOf.
	topology   *Topology
	topologyOf int64
	// listed holds the hosts of the directory that have been reported as found.
	listed map[string]Entry
	// exchangers holds the running exchange loops, by peer.
	exchangers map[string]*exchanger
	// received holds the last receipt from each peer.
	received map[string]receipt
	// home is the delegate that this member reports to; empty for a delegate.
	home string
	// avoidHome holds the delegates that failed as home, and until when they are
	// avoided.
	avoidHome map[string]time.Time
	// contactAt is when the last successful exchange of this host began.
	contactAt time.Time
	// state is the state as of stateAt.
	state   State
	stateAt time.Time

	// snapshotMu guards latest and latestAt. It is held while a snapshot is built,
	// and never together with mu: Options.BuildSnapshot may wait for a caller of
	// State.
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
	// relation is that of the last snapshot, members are the members that it named.
	relation Relation
	members  []string
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
	return &Group{
		opts: opts, exchangers: make(map[string]*exchanger), received: make(map[string]receipt), listed: make(map[string]Entry),
		avoidHome: make(map[string]time.Time), topologyOf: -1, changed: make(chan struct{}, 1),
	}
}

// Serve serves the calls of peers until ctx is done.
func (g *Group) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, handler{exchange: g.Answer, reserve: g.opts.Reserve})
}

// Answer handles a snapshot that a peer sent and returns the answer.
func (g *Group) Answer(in *Snapshot) *Snapshot {
	relation := Member
	if in.Delegate {
		relation = g.relationTo(in)
	}
	g.receive(in, relation)
	out := *g.snapshot(maxSnapshotAge)
	out.Versions = g.opts.VersionReports()
	if relation == Member {
		g.opts.AnswerMember(&out, in)
	}
	return &out
}

// relationTo returns the relation to the host whose snapshot arrived, if it is not a
// member's report.
func (g *Group) relationTo(in *Snapshot) Relation {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !in.Delegate:
		return Stranger
	case g.home != "":
		if in.Host == g.home {
			return Home
		}
		return Stranger
	default:
		return FellowDelegate
	}
}

// receive records the receipt of a peer's snapshot and handles it.
func (g *Group) receive(in *Snapshot, relation Relation) {
	g.mu.Lock()
	last := g.received[in.Host]
	newer := in.Incarnation != last.incarnation || in.Sequence > last.sequence
	if newer {
		last.incarnation, last.sequence = in.Incarnation, in.Sequence
		last.relation, last.members = relation, in.Members
	}
	last.at = time.Now()
	g.received[in.Host] = last
	g.mu.Unlock()
	g.opts.Receive(in, relation, newer)
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

// Run exchanges snapshots with other hosts until ctx is done.
func (g *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		g.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.changed:
		}
	}
}

// reconcile starts and stops exchange loops to match the topology, and reports the
// peers that left the directory or are no longer exchanged with.
func (g *Group) reconcile(ctx context.Context) {
	// g.mu is not held here: PeerLeft may wait for a lock whose owner is calling
	// State or TriggerExchange.
	left, dropped := g.sync(ctx, time.Now())
	for _, name := range dropped {
		g.opts.PeerDropped(name)
	}
	for _, name := range left {
		g.opts.PeerLeft(name)
		g.opts.Log.Info("peer left", observe.FieldPeer, name)
	}
}

// Topology returns the topology for the directory's current entries.
func (g *Group) Topology() *Topology {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateTopology()
	return g.topology
}

// updateTopology recomputes the topology if the directory has changed. The caller holds
// mu.
func (g *Group) updateTopology() {
	version := g.opts.Directory.Version()
	if g.topology != nil && g.topologyOf == version {
		return
	}
	others := g.opts.Directory.Others()
	before := g.topology
	g.topology, g.topologyOf, g.stateAt = newTopology(g.opts.Directory.Self(), others), version, time.Time{}
	if before != nil && before.Delegate != g.topology.Delegate {
		g.opts.Log.Info("role among hosts changed", "delegate", g.topology.Delegate, "hosts", len(others)+1, "delegates", len(g.topology.Delegates))
	}
}

// sync starts and stops exchange loops so that there is one for each host that the
// topology names. It returns the hosts that left the directory, and those that this
// host no longer exchanges with.
func (g *Group) sync(ctx context.Context, now time.Time) (left, dropped []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateTopology()
	others := g.opts.Directory.Others()
	for name := range g.listed {
		if _, ok := others[name]; !ok {
			delete(g.received, name)
			delete(g.avoidHome, name)
			left = append(left, name)
		}
	}
	g.listed = others
	partners := g.partners(now)
	for name, x := range g.exchangers {
		if partners[name] != x.entry {
			x.stop()
			delete(g.exchangers, name)
			if _, kept := partners[name]; !kept {
				dropped = append(dropped, name)
			}
		}
	}
	for name, e := range partners {
		if g.exchangers[name] != nil {
			continue
		}
		loopCtx, stop := context.WithCancel(ctx)
		trigger := make(chan struct{}, 1)
		g.exchangers[name] = &exchanger{entry: e, stop: stop, trigger: trigger}
		g.opts.Log.Info("peer found", observe.FieldPeer, name, "address", e.Address)
		go g.exchangeLoop(loopCtx, e, trigger)
	}
	for name, r := range g.received {
		if r.relation == Member && now.Sub(r.at) > memberTimeout {
			// It reports to another delegate, or to none.
			r.relation = Stranger
			g.received[name] = r
			dropped = append(dropped, name)
		}
	}
	return left, dropped
}

// partners returns the hosts to exchange with: all other delegates, or the home. The
// caller holds mu.
func (g *Group) partners(now time.Time) map[string]Entry {
	if g.topology.Delegate {
		g.home = ""
		return g.topology.Delegates
	}
	if _, ok := g.topology.Delegates[g.home]; !ok || now.Before(g.avoidHome[g.home]) {
		g.home = g.chooseHome(now)
	}
	if g.home == "" {
		return nil
	}
	return map[string]Entry{g.home: g.topology.Delegates[g.home]}
}

// chooseHome returns the preferred delegate that has not failed recently, or else the
// one that failed first; empty if there is none. The caller holds mu.
func (g *Group) chooseHome(now time.Time) string {
	best := ""
	for _, name := range g.topology.Homes {
		if !now.Before(g.avoidHome[name]) {
			return name
		}
		if best == "" || g.avoidHome[name].Before(g.avoidHome[best]) {
			best = name
		}
	}
	return best
}

// exchangeFailed records that an exchange with a peer failed.
func (g *Group) exchangeFailed(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if name != g.home {
		return
	}
	g.avoidHome[name] = time.Now().Add(homeAvoidance)
	select {
	case g.changed <- struct{}{}:
	default: // a reconciliation is already pending
	}
}

// exchangeLoop exchanges snapshots with one peer until ctx is done.
func (g *Group) exchangeLoop(ctx context.Context, e Entry, trigger <-chan struct{}) {
	peer := &client{address: e.Address}
	defer peer.close()
	exchange := g.opts.Exchange
	if exchange == nil {
		exchange = func(ctx context.Context, _ Entry, out *Snapshot) (*Snapshot, error) { return peer.exchange(ctx, out) }
	}
	timer := time.NewTimer(exchangeInterval)
	defer timer.Stop()
	lost := false
	maxAge := maxSnapshotAge
	var sent, received UpdatePosition
	var receivedOf string
	for {
		out := *g.snapshot(maxAge)
		next := g.opts.AddUpdates(&out, e.Host, sent)
		out.Versions = g.opts.VersionReports()
		out.After, out.AfterOf = received, receivedOf
		started, startedAt := g.opts.Clock.Now(), time.Now()
		in, err := exchange(ctx, e, &out)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if !lost {
				lost = true
				g.opts.Log.Warn("peer lost", observe.FieldPeer, e.Host, observe.FieldError, err)
			}
			g.exchangeFailed(e.Host)
		default:
			if lost {
				g.opts.Log.Info("peer regained", observe.FieldPeer, e.Host)
			}
			lost = false
			sent = next
			received, receivedOf = UpdatePosition{
				Dispatches: in.Dispatches.Next, Changes: in.ChangesNext, Reports: in.Evidence.Reports.Next, Survivals: in.Evidence.Survivals.Next,
			}, in.Incarnation
			g.exchanged(startedAt)
			g.opts.SnapshotSent(e.Host, &out)
			g.receive(in, g.relationTo(in))
			g.opts.ReceiveAnswer(in, started)
			if !in.Delegate || in.Draining {
				g.exchangeFailed(e.Host) // it cannot be the home of this host, or not for long
			}
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

// exchanged records a successful exchange that began at the given time.
func (g *Group) exchanged(started time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if started.After(g.contactAt) {
		g.contactAt = started
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

// State describes which other hosts of the directory this host knows about.
type State struct {
	// Delegate reports whether this host is a delegate.
	Delegate bool
	// Reachable are the hosts that this host exchanges with and is in touch with:
	// other delegates, or the home.
	Reachable []string
	// Unreachable are the hosts whose state does not reach this host: no delegate
	// that it is in touch with is in touch with them.
	Unreachable []string
	// Members are the members that report to this host.
	Members []string
	// Hosts is the number of hosts in the directory and Delegates that of delegates,
	// both with this host.
	Hosts, Delegates int
}

// stateMaxAge is the age up to which a computed state is reused.
const stateMaxAge = 40 * time.Millisecond

// State returns the current state. The caller must not modify it.
func (g *Group) State() State {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.stateAt) > stateMaxAge {
		g.state, g.stateAt = g.computeState(now), now
	}
	return g.state
}

// computeState computes the state. The caller holds mu.
func (g *Group) computeState(now time.Time) State {
	g.updateTopology()
	others := g.opts.Directory.Others()
	s := State{Delegate: g.topology.Delegate, Hosts: len(others) + 1, Delegates: len(g.topology.Delegates)}
	if s.Delegate {
		s.Delegates++
	}
	timeout := max(reachableTimeout, reachableRounds*intervalFor(len(g.exchangers)))
	known := make(map[string]bool, len(others))
	for name := range g.exchangers {
		r := g.received[name]
		if now.Sub(r.at) >= timeout || r.relation != FellowDelegate && r.relation != Home {
			continue
		}
		s.Reachable = append(s.Reachable, name)
		known[name] = true
		for _, member := range r.members {
			known[member] = true
		}
	}
	if !s.Delegate && len(s.Reachable) > 0 {
		return s // the home speaks for all
	}
	for name, r := range g.received {
		if r.relation == Member && now.Sub(r.at) < memberTimeout {
			s.Members = append(s.Members, name)
			known[name] = true
		}
	}
	for name := range others {
		if !known[name] {
			s.Unreachable = append(s.Unreachable, name)
		}
	}
	return s
}

// CutOff reports whether no exchange that this host began within CutOffDelay has
// succeeded. Delegates then no longer count it as in touch.
func (g *Group) CutOff() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.contactAt) >= CutOffDelay
}
