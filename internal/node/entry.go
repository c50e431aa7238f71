package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/certs"
	"github.com/acacialink/acacialink/internal/control"
	"github.com/acacialink/acacialink/internal/entry"
	"github.com/acacialink/acacialink/internal/fleet"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/member"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/once"
	"github.com/acacialink/acacialink/internal/queue"
	"github.com/acacialink/acacialink/internal/quota"
	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/settings"
	"github.com/acacialink/acacialink/internal/snapshot"
	"github.com/acacialink/acacialink/internal/usage"
)

// Entry is one entry host process.
type Entry struct {
	settings    settings.Entry
	incarnation string
	log         *slog.Logger
	registry    *observe.Registry
	store       backing.Store
	marks       *record.WriteTokens
	hostList    backing.HostList
	members     *member.Table
	exchanger   *member.Exchanger
	directory   *directory
	config      *snapshot.Holder
	router      *route.Router
	fleet       *fleet.Fleet
	queues      *entry.Queues
	leases      *lease.Set
	holders     *lease.Directory
	slots       *quota.Slots
	quota       *quota.Limiter
	claims      *once.Claims
	recorder    *usage.Recorder
	keepers     *usage.Keepers
	sender      *usage.Sender
	roles       *control.Roles
	pools       *control.Pools
	callers     *entry.Server
	peers       *rpc.Server
	rpcStats    rpc.Stats
	draining    drainState
	killed      chan struct{}
	// begun is set once the host was ready for the first time.
	begun atomic.Bool
	// usable is whether each endpoint was usable when last heard; capacityDue
	// asks for a new look at the endpoints' capacity.
	usable sync.Map
	// endpointsAt is the revision whose endpoints the membership table knows;
	// followConfig alone uses it.
	endpointsAt resource.Revision
	capacityDue chan struct{}

	callerListener, operatorListener, peerListener net.Listener
}

// NewEntry opens the listeners of an entry host and returns it; Run serves.
func NewEntry(ctx context.Context, s settings.Entry, source certs.Source, log *slog.Logger) (*Entry, error) {
	e := &Entry{
		settings:    s,
		incarnation: observe.NewRequestID(),
		log:         log,
		registry:    observe.NewRegistry(observe.Identity{Process: s.Name, Role: "entry", Domain: s.Domain}),
		store:       backing.NewHTTPStore(s.Platform.Store, nil),
		queues:      entry.NewQueues(queueSettings(s)),
		capacityDue: make(chan struct{}, 1),
		killed:      make(chan struct{}),
	}
	e.marks = record.NewWriteTokens(s.Name, e.incarnation)
	if err := e.listen(ctx); err != nil {
		return nil, err
	}
	e.buildMembership(source)
	e.buildConfig()
	e.buildFleet(source)
	e.buildLeases()
	e.buildQuota()
	e.buildUsage()
	e.buildControl(source)
	e.claims = once.New(e.store, once.Options{})
	e.callers = entry.New(e.callerOptions())
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, e); err != nil {
		return nil, errors.Wrap(err, "register peer")
	}
	e.peers = rpc.NewServer(mux, certs.ServerTLS(source, certs.RoleEntry), entryRPC(s))
	e.publish()
	return e, nil
}

// idlePeerConnections is how many connections to each peer stay open.
const idlePeerConnections = 2

func (e *Entry) buildConfig() {
	s := e.settings
	e.config = snapshot.NewHolder(snapshot.HolderOptions{
		Host:      s.Name,
		Domain:    s.Domain,
		Log:       snapshot.NewLog(e.store, e.log),
		Peers:     e.directory,
		Directory: e.directory.peers,
		Logger:    e.log,
	})
}

func (e *Entry) buildFleet(source certs.Source) {
	s := e.settings
	e.router = route.NewRouter(routingPolicy(s.Routing.Policy))
	e.fleet = fleet.New(fleet.Options{
		Host:   s.Name,
		Domain: s.Domain,
		Dialer: func(endpoint string) *rpc.Dialer {
			return rpc.NewDialer(certs.ClientTLS(source, certs.RoleAgent, endpoint), entryRPC(s))
		},
		Stats:         &e.rpcStats,
		Router:        e.router,
		Subset:        route.DefaultSubsetSize,
		RetireTimeout: s.Timeouts.Drain.Std(),
		Observe:       e.noteState,
		Leaving:       e.leaving,
	})
}

// routingPolicy returns the policy that settings name.
func routingPolicy(name string) route.Policy {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	switch name {
	case "round-robin":
		return &route.RoundRobin{}
	case "least-reported":
		return route.LeastReported{}
	case "two-choices":
		return &route.TwoChoices{Rand: random}
	default:
		return route.NewPicker(random)
	}
}

func entryRPC(s settings.Entry) rpc.Options {
	return rpc.Options{
		ReconnectMin: s.Timeouts.ReconnectMin.Std(),
		ReconnectMax: s.Timeouts.ReconnectMax.Std(),
		MaxConns:     s.Limits.PeerConnections,
		Heartbeat:    s.Timeouts.Heartbeat.Std(),
		Silence:      s.Timeouts.Silent.Std(),
		DialTimeout:  s.Timeouts.Dial.Std(),
		MessageBytes: int(s.Limits.ResponseBytes + s.Limits.PeerMessageBytes),
		MaxStreams:   s.Limits.SessionStreams,
		MailboxBytes: int(s.Limits.StreamBufferBytes),
		OutboxBytes:  int(s.Limits.SessionQueueBytes),
	}
}

// queueSettings are the bounds of each model's queue.
func queueSettings(s settings.Entry) queue.Settings {
	q := queue.DefaultSettings()
	q.Classes[queue.Interactive].MaxWaiting = s.Limits.QueueInteractive
	q.Classes[queue.Standard].MaxWaiting = s.Limits.QueueStandard
	q.Classes[queue.Batch].MaxWaiting = s.Limits.QueueBatch
	return q
}

func (e *Entry) callerOptions() entry.Options {
	s := e.settings
	return entry.Options{
		Latencies: entry.Latencies{
			FirstToken: e.registry.NewHistogram("first_token"),
			Call:       e.registry.NewHistogram("call"),
		},
		Domain:   s.Domain,
		Config:   e.config,
		Router:   e.router,
		Sessions: e.fleet,
		Quota:    quotaGate{e.quota},
		Queue:    e.queues,
		Claims:   e.claims,
		Usage:    e.recorder,
		Limits: entry.Limits{
			BodyBytes:     s.Limits.BodyBytes,
			BufferedBytes: s.Limits.BufferedBytes,
			PromptBytes:   s.Limits.PromptBytes,
			OpenRequests:  s.Limits.OpenRequests,
		},
		Timeouts: entry.Timeouts{
			Body:          s.Timeouts.Body.Std(),
			Write:         s.Timeouts.Write.Std(),
			Queue:         s.Timeouts.Queue.Std(),
			FirstToken:    s.Timeouts.FirstToken.Std(),
			BetweenTokens: s.Timeouts.BetweenTokens.Std(),
			Call:          s.Timeouts.Call.Std(),
		},
		Log: e.log,
	}
}

func (e *Entry) listen(ctx context.Context) error {
	addresses := []string{e.settings.Listen.Callers, e.settings.Listen.Operators, e.settings.Listen.Peers}
	targets := []*net.Listener{&e.callerListener, &e.operatorListener, &e.peerListener}
	for i, address := range addresses {
		l, err := listen(ctx, address)
		if err != nil {
			e.closeListeners()
			return err
		}
		*targets[i] = l
	}
	return nil
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.callerListener, e.operatorListener, e.peerListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// CallerAddr is the address for callers.
func (e *Entry) CallerAddr() string { return e.callerListener.Addr().String() }

// OperatorAddr is the address of the resource API, metrics and dumps.
func (e *Entry) OperatorAddr() string { return e.operatorListener.Addr().String() }

// PeerAddr is the address for other entry hosts.
func (e *Entry) PeerAddr() string { return e.peerListener.Addr().String() }

// Run serves until ctx ends and then makes a planned stop: the host turns
// not-ready, running requests end, and only then connections close.
func (e *Entry) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() {
		select {
		case <-e.killed:
			stop()
		case <-serving.Done():
		}
	}()
	operators, err := e.operatorServer()
	if err != nil {
		return err
	}
	callers := e.callerServer()
	var g errgroup.Group
	serve := func(run func() error) {
		g.Go(func() error {
			defer stop()
			return run()
		})
	}
	serve(func() error { return e.peers.Serve(serving, e.peerListener) })
	serve(func() error { return serveHTTP(serving, operators, e.operatorListener) })
	g.Go(func() error {
		return serveHTTP(serving, callers, entry.LimitConnections(e.callerListener, e.settings.Limits.Connections))
	})
	background := startLoops(ctx,
		e.exchanger.Run, e.config.Run, e.followConfig, e.followCapacity,
		e.holders.Run, e.runSlots, e.runQuota, e.keepers.Run, e.leases.Run)
	sending := startLoops(ctx, e.sender.Run)
	deciding := startLoops(ctx, e.decisions()...)
	e.log.Info("entry started", "callers", e.CallerAddr(), "operators", e.OperatorAddr(), "peers", e.PeerAddr())
	g.Go(func() error {
		defer stop()
		planned := false
		select {
		case <-ctx.Done():
			planned = true
			e.drain(serving, callers)
		case <-e.killed:
		case <-serving.Done():
		}
		deciding.stop()
		sending.stop()
		if planned {
			e.handOver(serving)
		}
		background.stop()
		if planned {
			e.release(serving)
		}
		return nil
	})
	err = g.Wait()
	e.fleet.Wait()
	return err
}

// Kill ends Run at once, without a planned stop, as the loss of the host would.
func (e *Entry) Kill() { close(e.killed) }

// decisions are the loops that decide and act on the fleet.
func (e *Entry) decisions() []func(context.Context) {
	if e.settings.Role.Mode == "fixed" {
		return []func(context.Context){e.pools.Run}
	}
	return []func(context.Context){e.roles.Run, e.pools.Run}
}

// handOverTimeout bounds the hand-over of usage figures at a planned stop,
// and releaseTimeout that of leases and slots.
const (
	handOverTimeout = 10 * time.Second
	releaseTimeout  = 3 * time.Second
)

// handOver brings the last usage figures into the store.
func (e *Entry) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if !e.sender.Drain(ctx) {
		e.log.Warn("usage figures were left at the stop")
	}
}

// release gives up everything that this host holds for the others.
func (e *Entry) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := e.slots.Close(ctx); err != nil {
		e.log.Warn("quota slots were not given back", "error", err.Error())
	}
	if err := e.leases.Close(ctx); err != nil {
		e.log.Warn("lease was not released", "error", err.Error())
	}
	e.claims.Close(ctx)
}
