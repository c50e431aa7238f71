package host

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/duty"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/gateway"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/limit"
	"github.com/acacialink/acacialink/internal/peer"
	"github.com/acacialink/acacialink/internal/placement"
	"github.com/acacialink/acacialink/internal/truetime"
)

const (
	// freshMargin is how long before the bound on removed keys a confirmation
	// of the configuration stops counting.
	freshMargin = 700 * time.Millisecond
	// headerTimeout bounds the reading of a request's head, idleTimeout the
	// time that a caller's connection may stay idle: both at least as long as
	// any configuration grants.
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	// headerBytes bounds a request's head.
	headerBytes = 16 << 10
	// duties' lease: TTL until another host may take over, renewed three times
	// within it, not used in its last part.
	dutyTTL      = 4 * time.Second
	dutyRenew    = time.Second
	dutyMargin   = time.Second
	dutyDeadline = time.Second
	// quietMargin is added to the time in which holders must not take turns.
	quietMargin = 400 * time.Millisecond
	// usageSettle is how long after a window its counts are collected: longer
	// than clocks differ and hosts take to save theirs.
	usageSettle = 2500 * time.Millisecond
	// leaderLife is how long a peer's word that it has the duties counts.
	leaderLife = 2 * time.Second
)

// Host is one entry host.
type Host struct {
	o         Options
	clock     lease.SystemClock
	begun     time.Time
	inc       string
	catalog   *catalog.Holder
	endpoints *endpoint.Set
	registry  *registry
	configs   *poller
	listings  *poller
	tracker   *placement.Tracker
	limiter   *limit.Limiter
	counter   *duty.Counter
	truetime  *truetime.Clock
	directory *peer.Directory
	group     *peer.Group
	// audible returns the peers that this host hears.
	audible  func() []string
	leases   *lease.Set
	holder   *duty.Holder
	gateway  *gateway.Gateway
	draining atomic.Bool
	// ends is when the process must have ended, once it drains.
	ends atomic.Pointer[time.Time]
	// listed is the store's revision of the last listing of endpoints.
	listed atomic.Int64

	mu sync.Mutex
	// foreign is the last revision of each entry that could not be read.
	foreign map[string]backing.Revision
	// leader is the host that last said to have the duties, and when.
	leader   string
	leaderAt time.Time
	// sighted is what each peer last said to know of the store.
	sighted map[string]peer.Sights
	// ordered is until when engines that this host ordered change their stage.
	ordered map[string]time.Time
}

// New returns a host that does nothing yet.
func New(o Options) *Host {
	o.Settings = o.Settings.withDefaults()
	s := o.Settings
	h := &Host{o: o, begun: time.Now(), inc: s.Name + "-" + strconv.FormatUint(rand.Uint64(), 36), foreign: make(map[string]backing.Revision), ordered: make(map[string]time.Time), sighted: make(map[string]peer.Sights)}
	h.catalog = catalog.NewHolder(h.clock, s.Revoke-freshMargin)
	h.endpoints = endpoint.NewSet(s.Returned)
	h.registry = newRegistry(h.clock)
	h.configs = newPoller("store: configuration", s.ConfigApply, h.catalog.Age, h.readConfig, func() {})
	h.listings = newPoller("store: endpoints", s.Drain, h.registry.age, h.listEndpoints, h.endpoints.Failed)
	h.tracker = placement.NewTracker(placement.DefaultCosts())
	o.Registry.NewGauge("placement_tokens_per_ms", func() any {
		prefill, decode := h.tracker.Rates()
		return map[string]float64{"prefill": prefill, "decode": decode}
	})
	h.truetime = truetime.New(h.clock, time.Now)
	h.counter = duty.NewCounter(s.UsageWindow, h.truetime.Now)
	self := peer.Entry{Host: s.Name, Address: s.Peers, Domain: s.Domain, Incarnation: h.inc}
	h.directory = peer.NewDirectory(self, o.Ports.Store, o.Log)
	h.group = peer.NewGroup(peer.Options{
		Directory: h.directory, Clock: h.clock, Make: h.snapshot, News: h.news, Look: h.sights,
		Take: h.hear, Answered: h.vouched, Told: h.told, Gone: h.gone, Log: o.Log,
	})
	h.audible = func() []string {
		heard, _ := h.group.Audible()
		return heard
	}
	h.limiter = limit.New(h.begun, limit.Settings{
		Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack, Full: s.FirstStart,
	}, h.group)
	h.leases = h.newLeases()
	h.holder = h.newHolder()
	h.gateway = gateway.New(gateway.Options{
		Ingress: o.Ports.Ingress, Sender: o.Ports.Sender, Catalog: h.catalog, Endpoints: h.endpoints, Tracker: h.tracker,
		Quota: h.limiter, Usage: h.counter, Budget: gateway.NewBudget(h.begun, s.RetryRatio*budgetShare, s.RetryWindow, h.slack),
		Domain: s.Domain, Hosts: h.hosts, Ending: h.ending, Metrics: gateway.NewMetrics(o.Registry), Log: o.Log,
	})
	return h
}

const (
	// budgetShare is the part of the budget of repeated sends that is used:
	// counts of sliding windows differ at their edges.
	budgetShare = 0.8
	// leastHosts is the least number of hosts that the slack of the budget is
	// shared among, so that hosts that come back all at once stay within it.
	leastHosts = 5
)

// slack is this host's part of the slack of the budget of repeated sends.
func (h *Host) slack() float64 {
	return budgetShare * h.o.Settings.RetrySlack / float64(max(leastHosts, h.hosts()+1))
}

func (h *Host) hosts() int {
	heard, silent := h.group.Audible()
	return len(heard) + len(silent) + 1
}

// told notes what a peer knows of this host, gone that a peer has left.
func (h *Host) told(host string, s *peer.Snapshot) { h.limiter.Told(host, s.Spent) }

func (h *Host) gone(host string) {
	h.mu.Lock()
	delete(h.sighted, host)
	h.mu.Unlock()
	h.tracker.DropPeer(host)
	h.limiter.Gone(host)
}

// Ready says whether callers should be sent to this host.
func (h *Host) Ready() bool {
	return !h.draining.Load() && h.catalog.Current() != nil && h.catalog.Fresh() && h.endpoints.Listed()
}

// Run serves until stop ends, and then drains.
func (h *Host) Run(stop context.Context) error {
	callers, err := listen(h.o.Settings.Callers)
	if err != nil {
		return err
	}
	defer callers.Close()
	ready, err := listen(h.o.Settings.Ready)
	if err != nil {
		return err
	}
	defer ready.Close()
	peers, err := listen(h.o.Settings.Peers)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 3)
	server := h.server(h.gateway)
	go func() { failed <- errors.Wrap(server.Serve(callers), "serve callers") }()
	go func() { failed <- errors.Wrap(h.server(h.operators()).Serve(ready), "serve readiness") }()
	go func() { failed <- errors.Wrap(h.group.Serve(ctx, peers), "serve peers") }()
	wait := h.start(ctx, stop)
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	h.drain()
	cancel()
	wait()
	return server.Close()
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address) //nolint:noctx // the listener lives as long as the process
	return l, errors.Wrapf(err, "listen on %s", address)
}

// start runs the host's loops; the ones for duties end with stop, so that
// another host takes them over while this one drains.
func (h *Host) start(ctx, stop context.Context) (wait func()) {
	var all sync.WaitGroup
	saver := &duty.Saver{Leads: h.leads, Covered: h.covered, Counter: h.counter, Store: h.o.Ports.Store, Incarnation: h.inc, Log: h.o.Log}
	for _, r := range []*poller{h.configs, h.listings} {
		all.Go(func() { r.run(ctx, h.before, h.o.Log) })
	}
	for _, run := range []loop{h.watchConfig, h.watchEndpoints, h.settleEndpoints, h.directory.Run, h.group.Run, saver.Run, h.sweep} {
		all.Go(func() { run(ctx) })
	}
	all.Go(func() {
		var duties sync.WaitGroup
		duties.Go(func() { h.leases.Run(stop) })
		duties.Go(func() { h.holder.Run(stop) })
		duties.Wait()
		if err := h.leases.Close(ctx); err != nil {
			h.o.Log.Info("duties' lease was not ended", "error", err)
		}
	})
	return all.Wait
}
