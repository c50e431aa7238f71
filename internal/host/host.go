package host

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/evidence"
	"github.com/acacialink/acacialink/internal/gateway"
	"github.com/acacialink/acacialink/internal/httpdrain"
	"github.com/acacialink/acacialink/internal/leader"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/limit"
	"github.com/acacialink/acacialink/internal/mediantime"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/peer"
	"github.com/acacialink/acacialink/internal/placement"
	"github.com/acacialink/acacialink/internal/suspect"
	"github.com/acacialink/acacialink/internal/termination"
)

const (
	// freshMargin is subtracted from Settings.KeyRevocationBound to give the time
	// for which a confirmation of the configuration is valid.
	freshMargin = 700 * time.Millisecond
	// headerTimeout bounds reading a request's header. It is at least as long as
	// any configuration allows.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may be idle. It is at least as
	// long as any configuration allows.
	idleTimeout = time.Minute
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 16 << 10
	// leaderLeaseTTL is the term of the control lease, after which another host may
	// take over. The lease is renewed three times within it.
	leaderLeaseTTL = 4 * time.Second
	// leaderLeaseRenewInterval is the time between renewals of the control lease.
	leaderLeaseRenewInterval = time.Second
	// leaderLeaseMargin is the time before its end in which the control lease is no
	// longer used.
	leaderLeaseMargin = time.Second
	// leaderWorkDeadline bounds one step of the leader tasks.
	leaderWorkDeadline = time.Second
	// leaderWaitMargin is added to Settings.LeadershipReturnBound to give the time that
	// a host waits when control leadership returns to it from another host.
	leaderWaitMargin = 400 * time.Millisecond
	// usageSettlingDelay is the time from the end of a usage window to the
	// collection of its counts. It is longer than the clock skew between hosts and
	// the time that hosts take to save their counts.
	usageSettlingDelay = 2500 * time.Millisecond
	// leaderSearchTime is the time from a host's start in which it finds the others and the
	// leader among them. If all hosts that start together tried to lead at once, all but one
	// would call the store in vain.
	leaderSearchTime = 1200 * time.Millisecond
	// leaderReportTTL is how long a peer's report that it is the leader is valid.
	leaderReportTTL = 2 * time.Second
)

// Host is one entry host. New creates it and Run starts it.
type Host struct {
	opts  Options
	clock lease.SystemClock
	// startedAt is when the host was created.
	startedAt time.Time
	// incarnation identifies this start of the process.
	incarnation string
	catalog     *catalog.Cache
	endpoints   *endpoint.Set
	registry    *registry
	evacuations *endpoint.Evacuations
	// configPoller polls the configuration. endpointPoller polls the endpoint
	// registry.
	configPoller   *poller
	endpointPoller *poller
	tracker        *placement.Tracker
	suspects       *suspect.Ledger
	evidence       *evidence.Keeper
	statements     *observe.LabelledCounter
	limiter        *limit.Limiter
	counter        *leader.Counter
	medianClock    *mediantime.Clock
	directory      *peer.Directory
	group          *peer.Group
	// peerState returns the state of the group.
	peerState   func() peer.State
	quota       *quota
	leases      *lease.Set
	leaderTasks *leader.Runner
	gateway     *gateway.Gateway
	delays      schedulingDelays
	termination *termination.State
	// listedRevision is the store revision of the last listing of endpoints.
	listedRevision revisionCell

	mu sync.Mutex // guards the fields below
	// undecodable holds the last revision of each entry that was skipped, by
	// key.
	undecodable map[string]backing.Revision
	// leader is the peer that last reported to be the leader; empty if none.
	leader string
	// leaderAt is the time of that report.
	leaderAt time.Time
	// incarnations holds the incarnation of each peer.
	incarnations map[string]string
	// peerVersions holds the last version reports of each peer.
	peerVersions map[string]peer.VersionReports
	// storeSeenAt is when the store answered another host, as far as known.
	storeSeenAt time.Time
	// eraNotice is what this host saw of the latest era of the store that it saw begin.
	eraNotice leader.EraNotice
	// stageChanges holds, by endpoint ID, when the stage changes that this host
	// ordered will be complete.
	stageChanges map[string]time.Time
}

// New returns a host that is not running. Run starts it.
func New(opts Options) *Host {
	opts.Settings = opts.Settings.withDefaults()
	s := opts.Settings
	h := &Host{opts: opts, startedAt: time.Now(), termination: termination.NewState(), incarnation: s.Name + "-" + strconv.FormatUint(rand.Uint64(), 36), undecodable: make(map[string]backing.Revision), stageChanges: make(map[string]time.Time), peerVersions: make(map[string]peer.VersionReports), incarnations: make(map[string]string)}
	h.catalog = catalog.NewCache(h.clock, s.KeyRevocationBound-freshMargin)
	h.endpoints = endpoint.NewSet(s.ReregistrationTimeout)
	h.registry = newRegistry(h.clock)
	h.watchEra()
	h.evacuations = endpoint.NewEvacuations()
	configBound := s.ConfigApplyBound
	if h.evacuates() {
		configBound = min(configBound, s.EvacuationBound)
	}
	h.configPoller = newPoller("store: configuration", configBound, h.catalog.Age, h.readConfig, func() {}, false, h.storeRole)
	h.endpointPoller = newPoller("store: endpoints", s.EndpointDrainBound, h.registry.age, h.listEndpoints, h.endpoints.RegistryFailed, true, h.storeRole)
	h.tracker = placement.NewTracker(placement.DefaultCosts())
	h.tracker.SetHosts(h.startedAt, s.Name, []string{s.Name}, true)
	h.suspects = suspect.NewLedger(h.startedAt, h.incarnation, suspect.NewMetrics(opts.Registry), opts.Log)
	h.statements = opts.Registry.NewLabelledCounter("endpoint_statements", 8)
	if source, ok := opts.Ports.Sender.(StatementSource); ok {
		source.OnStatement(h.endpointStated)
	}
	opts.Registry.NewGauge("placement_tokens_per_ms", func() any {
		prefill, decode := h.tracker.Rates()
		return map[string]float64{"prefill": prefill, "decode": decode}
	})
	opts.Registry.NewGauge("endpoints_starting", func() any { return len(h.tracker.Starts(time.Now())) })
	opts.Registry.NewGauge("endpoints_cold", func() any { return h.coldEndpoints() })
	opts.Registry.NewGauge("endpoints_slow", func() any { return len(h.tracker.LoadReports(time.Now())) })
	opts.Registry.NewGauge("domains_evacuated", func() any { return len(h.evacuations.Domains()) })
	opts.Registry.NewGauge("store_probing", func() any { return h.endpointPoller.failing.Load() && h.watchesStore() })
	h.medianClock = mediantime.New(h.clock, time.Now)
	h.evidence = &evidence.Keeper{Ledger: h.suspects, Store: opts.Ports.Store, Writes: h.isLeader, Now: h.medianClock.Now, Log: opts.Log}
	h.counter = leader.NewCounter(s.UsageWindow, h.medianClock.Now)
	self := peer.Entry{Host: s.Name, Address: s.PeerAddress, Domain: s.Domain, Incarnation: h.incarnation, Capacity: s.Cores}
	h.directory = peer.NewDirectory(self, opts.Ports.Store, h.storeRole, opts.Log)
	h.group = peer.NewGroup(peer.Options{
		Directory: h.directory, Clock: h.clock, BuildSnapshot: h.snapshot, AddUpdates: h.addUpdates, AnswerMember: h.answerMember, VersionReports: h.versionReports,
		Receive: h.receive, ReceiveAnswer: h.receiveAnswer, SnapshotSent: h.snapshotSent, PeerLeft: h.peerLeft, PeerDropped: h.tracker.RemovePeer,
		Reserve: h.grant, Exchange: opts.Exchange, Log: opts.Log,
	})
	h.peerState = h.group.State
	h.limiter = limit.New(h.startedAt, limit.Settings{
		Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack, FirstStart: s.FirstStart,
	}, limiterPeers{h.group})
	h.quota = newQuota(h.startedAt, s, h.group, h.limiter, opts.Log)
	h.leases = h.newLeaseSet()
	h.leaderTasks = h.newLeaderTasks()
	answers := bodybudget.NewShares(int64(answerMemoryFraction * float64(s.MemoryBytes)))
	opts.Registry.NewGauge("answer_bytes", func() any { return answers.Reserved() })
	// Faulty endpoints must not keep the host from reading the store.
	services := bodybudget.NewShares(int64(serviceMemoryFraction * float64(s.MemoryBytes)))
	setAnswerBudget(opts.Ports.Sender, answers)
	setAnswerBudget(opts.Ports.Store, services)
	setAnswerBudget(opts.Ports.Reporter, services)
	h.gateway = gateway.New(gateway.Options{
		Ingress: opts.Ports.Ingress, Sender: opts.Ports.Sender, Catalog: h.catalog, Endpoints: h.endpoints, Tracker: h.tracker, Suspects: h.suspects, Leads: h.isLeader,
		Quota: h.quota, Usage: h.counter, Budget: h.newRetryBudget(),
		Bodies: bodybudget.New(int64(bodyMemoryFraction * float64(s.MemoryBytes))), Answers: answers, Domain: s.Domain, HostCount: h.hostCount,
		Termination: h.termination, SchedulingDelay: h.delays.Current, Metrics: gateway.NewMetrics(opts.Registry), Log: opts.Log,
	})
	return h
}

const (
	// bodyMemoryFraction is the fraction of the memory limit that request bodies may
	// occupy together.
	bodyMemoryFraction = 0.25
	// answerMemoryFraction is that of the endpoints' answers. The answers of one
	// endpoint may occupy half of it.
	answerMemoryFraction = 0.25
	// serviceMemoryFraction is that of the answers of the store and the API. The
	// answers of one of them may occupy half of it.
	serviceMemoryFraction = 0.25
)

// Account returns the account of all requests so far.
func (h *Host) Account() gateway.Account { return h.gateway.Account() }

// hostCount returns the number of hosts in the directory, this one included.
func (h *Host) hostCount() int {
	return h.group.State().Hosts
}

// snapshotSent records that a peer acknowledged a snapshot of this host.
func (h *Host) snapshotSent(host string, s *peer.Snapshot) {
	h.limiter.Acknowledged(host, s.ConsumedTokens)
}

// peerLeft drops the state of a peer that left the directory.
func (h *Host) peerLeft(host string) {
	h.mu.Lock()
	delete(h.peerVersions, host)
	delete(h.incarnations, host)
	h.mu.Unlock()
	h.tracker.RemovePeer(host)
	h.limiter.RemovePeer(host)
}

// Ready reports whether callers should be routed to this host: it is not draining,
// its configuration is confirmed, and its endpoints are listed.
func (h *Host) Ready() bool {
	return !h.termination.Stopping() && h.catalog.Current() != nil && h.catalog.Fresh() && h.endpoints.HasListing()
}

// Run serves until stop is done, and then drains. It returns early with an error
// if a listener cannot be opened or a server fails.
func (h *Host) Run(stop context.Context) error {
	callers, err := listen(h.opts.Settings.CallerAddress)
	if err != nil {
		return err
	}
	defer callers.Close()
	ready, err := listen(h.opts.Settings.OperatorAddress)
	if err != nil {
		return err
	}
	defer ready.Close()
	peers, err := listen(h.opts.Settings.PeerAddress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 3)
	server := h.newServer(h.gateway)
	var open httpdrain.Tracker
	open.Track(server)
	go func() { failed <- errors.Wrap(server.Serve(open.Listener(callers)), "serve callers") }()
	go func() { failed <- errors.Wrap(h.newServer(h.operatorHandler()).Serve(ready), "serve readiness") }()
	go func() { failed <- errors.Wrap(h.group.Serve(ctx, peers), "serve peers") }()
	wait := h.start(ctx, stop)
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	plan := h.drain(&open)
	err = h.shutDown(server, callers, &open, plan)
	cancel()
	awaitExit(wait, plan.Exit)
	return err
}

// listen opens a TCP listener on an IPv4 address.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address) //nolint:noctx // the listener lives as long as the process
	return l, errors.Wrapf(err, "listen on %s", address)
}

// start starts the host's background tasks and returns a function that waits for
// them. They run until ctx is done; the leader tasks end with stop, so that another
// host takes them over while this one drains.
func (h *Host) start(ctx, stop context.Context) (wait func()) {
	var tasks sync.WaitGroup
	countsWriter := &leader.CountsWriter{IsLeader: h.isLeader, ReceivedByLeader: h.leaderReachable, Counter: h.counter, Store: h.opts.Ports.Store, Incarnation: h.incarnation, Log: h.opts.Log}
	for _, p := range []*poller{h.configPoller, h.endpointPoller} {
		tasks.Go(func() { p.run(ctx, h.watchersBefore, h.opts.Log) })
	}
	for _, run := range []loop{h.watchConfig, h.watchEndpoints, h.removeMissingEndpoints, h.directory.Run, h.group.Run, countsWriter.Run, h.closeExpiredConnections, h.delays.run, h.quota.run, h.judgeSuspects, h.evidence.Run} {
		tasks.Go(func() { run(ctx) })
	}
	tasks.Go(func() {
		var leaderLoops sync.WaitGroup
		leaderLoops.Go(func() {
			backing.Pause(stop, leaderSearchTime)
			h.leases.Run(stop)
		})
		leaderLoops.Go(func() { h.leaderTasks.Run(stop) })
		leaderLoops.Wait()
		if err := h.leases.Close(ctx); err != nil {
			h.opts.Log.Info("failed to end the control lease", "error", err)
		}
	})
	return tasks.Wait
}
