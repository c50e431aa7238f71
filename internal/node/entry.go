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
	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/certs"
	"github.com/acacialink/acacialink/internal/control"
	"github.com/acacialink/acacialink/internal/entry"
	"github.com/acacialink/acacialink/internal/fleet"
	"github.com/acacialink/acacialink/internal/httpdrain"
	"github.com/acacialink/acacialink/internal/idempotency"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/member"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/queue"
	"github.com/acacialink/acacialink/internal/quota"
	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/settings"
	"github.com/acacialink/acacialink/internal/snapshot"
	"github.com/acacialink/acacialink/internal/suspect"
	"github.com/acacialink/acacialink/internal/termination"
	"github.com/acacialink/acacialink/internal/usage"
)

// Entry is an entry host process.
type Entry struct {
	settings    settings.Entry
	incarnation string
	log         *slog.Logger
	registry    *observe.Registry
	store       backing.Store
	// answers bounds the answers of endpoints and of the platform's services.
	answers        *bodybudget.Shares
	writeTokens    *record.WriteTokens
	hostList       backing.HostList
	members        *member.Table
	exchanger      *member.Exchanger
	directory      *directory
	config         *snapshot.Replica
	router         *route.Router
	fleet          *fleet.Fleet
	queues         *entry.Queues
	leases         *lease.Set
	leaseDirectory *lease.Directory
	slots          *quota.Slots
	quota          *quota.Limiter
	claims         *idempotency.Claims
	recorder       *usage.Recorder
	aggregator     *usage.Aggregator
	sender         *usage.Sender
	roles          *control.Roles
	pools          *control.Pools
	callers        *entry.Server
	// suspects holds the evidence on parts of prompts that crash engines.
	suspects *suspect.Ledger
	// callerRequests tracks the requests of callers for the graceful shutdown.
	callerRequests httpdrain.Tracker
	// termination is how far the stop of the host is.
	termination *termination.State
	// operatorRequests and operatorTermination are the same for operators' requests, which
	// end later. operatorReads ends with endReads.
	operatorRequests    httpdrain.Tracker
	operatorTermination *termination.State
	operatorReads       context.Context
	endReads            context.CancelFunc
	peers               *rpc.Server
	rpcStats            rpc.Stats
	draining            drainState
	killed              chan struct{}
	// hasBeenReady is set when the host is ready for the first time.
	hasBeenReady atomic.Bool
	// usableEndpoints maps the name of each endpoint to a bool that reports whether it was
	// ready and not draining in its last state.
	usableEndpoints sync.Map
	// endpointsRevision is the configuration revision whose endpoints were last set in
	// the membership table. Only runReconcile accesses it.
	endpointsRevision resource.Revision
	// capacityChanged triggers an update of the admission queues' capacity.
	capacityChanged chan struct{}

	callerListener, operatorListener, peerListener net.Listener
}

// NewEntry creates an entry host and opens its listeners. Run serves them.
func NewEntry(ctx context.Context, s settings.Entry, source certs.Source, log *slog.Logger) (*Entry, error) {
	e := &Entry{
		settings:        s,
		incarnation:     observe.NewRequestID(),
		log:             log,
		registry:        observe.NewRegistry(observe.Identity{Process: s.Name, Role: "entry", Domain: s.Domain}),
		queues:          entry.NewQueues(queueSettings(s)),
		capacityChanged: make(chan struct{}, 1),
		killed:          make(chan struct{}),
		termination:     termination.NewState(),

		operatorTermination: termination.NewState(),
	}
	e.operatorReads, e.endReads = context.WithCancel(context.Background())
	e.answers = bodybudget.NewShares(s.Limits.AnswerBytes)
	e.store = backing.NewHTTPStore(s.Platform.Store, nil, backing.WithAnswers(e.answers, storeSender))
	e.writeTokens = record.NewWriteTokens(s.Name, e.incarnation)
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
	e.suspects = suspect.NewLedger(time.Now(), s.Name+"/"+e.incarnation, suspect.NewMetrics(e.registry), log)
	e.claims = idempotency.New(e.store, idempotency.Options{})
	e.callers = entry.New(e.callerOptions())
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, e); err != nil {
		return nil, errors.Wrap(err, "register peer")
	}
	options := entryRPCOptions(s)
	options.Log = log
	e.peers = rpc.NewServer(mux, certs.ServerTLS(source, certs.RoleEntry), options)
	e.registerMetrics()
	return e, nil
}

// maxIdlePeerConnections is the maximum number of idle connections to each peer.
const maxIdlePeerConnections = 2

// buildConfig creates this host's replica of the configuration.
func (e *Entry) buildConfig() {
	s := e.settings
	e.config = snapshot.NewReplica(snapshot.ReplicaOptions{
		Host:      s.Name,
		Domain:    s.Domain,
		Log:       snapshot.NewLog(e.store, e.log),
		Peers:     e.directory,
		Directory: e.directory.peers,
		Logger:    e.log,
	})
}

// buildFleet creates the router and the sessions to agents.
func (e *Entry) buildFleet(source certs.Source) {
	s := e.settings
	e.router = route.NewRouter(routingPolicy(s.Routing.Policy))
	e.fleet = fleet.New(fleet.Options{
		Host:   s.Name,
		Domain: s.Domain,
		Dialer: func(endpoint string) *rpc.Dialer {
			options := entryRPCOptions(s)
			options.Answers, options.Sender = e.answers, endpoint
			return rpc.NewDialer(certs.ClientTLS(source, certs.RoleAgent, endpoint), options)
		},
		Stats:         &e.rpcStats,
		Router:        e.router,
		Subset:        route.DefaultSubsetSize,
		RetireTimeout: s.Timeouts.Drain.Std(),
		Observe:       e.recordAgentState,
		Leaving:       e.endpointLeaving,
	})
}

// routingPolicy returns the routing policy with the given name in the settings.
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
		return route.NewCostPolicy(random)
	}
}

// entryRPCOptions returns the RPC limits and timeouts of an entry host.
func entryRPCOptions(s settings.Entry) rpc.Options {
	return rpc.Options{
		ReconnectMin:      s.Timeouts.ReconnectMin.Std(),
		ReconnectMax:      s.Timeouts.ReconnectMax.Std(),
		MaxConns:          s.Limits.PeerConnections,
		HeartbeatInterval: s.Timeouts.Heartbeat.Std(),
		SilenceTimeout:    s.Timeouts.SilenceTimeout.Std(),
		DialTimeout:       s.Timeouts.Dial.Std(),
		MaxMessageBytes:   int(s.Limits.ResponseBytes + s.Limits.PeerMessageBytes),
		MaxStreams:        s.Limits.SessionStreams,
		MaxMailboxBytes:   int(s.Limits.StreamBufferBytes),
		MaxOutboxBytes:    int(s.Limits.SessionQueueBytes),
	}
}

// queueSettings returns the limits of each model's admission queue.
func queueSettings(s settings.Entry) queue.Settings {
	settings := queue.DefaultSettings()
	settings.Classes[queue.Interactive].MaxWaiting = s.Limits.QueueInteractive
	settings.Classes[queue.Standard].MaxWaiting = s.Limits.QueueStandard
	settings.Classes[queue.Batch].MaxWaiting = s.Limits.QueueBatch
	return settings
}

// callerOptions returns the options of the server for callers.
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
		Quota:    quotaAdapter{e.quota},
		Queue:    e.queues,
		Claims:   e.claims,
		Usage:    e.recorder,
		Suspects: e.suspects,
		Leads:    e.leadsTrials,
		Answers:  e.answers,
		Stop:     e.termination,
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

// listen opens all listeners, or none if it returns an error.
func (e *Entry) listen(ctx context.Context) error {
	addresses := []string{e.settings.Listen.Callers, e.settings.Listen.Operators, e.settings.Listen.Peers}
	targets := []*net.Listener{&e.callerListener, &e.operatorListener, &e.peerListener}
	for i, address := range addresses {
		listener, err := listen(ctx, address)
		if err != nil {
			e.closeListeners()
			return err
		}
		*targets[i] = listener
	}
	return nil
}

// closeListeners closes the listeners that are open.
func (e *Entry) closeListeners() {
	for _, listener := range []net.Listener{e.callerListener, e.operatorListener, e.peerListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// CallerAddr returns the address that serves callers.
func (e *Entry) CallerAddr() string { return e.callerListener.Addr().String() }

// OperatorAddr returns the address that serves the resource API, metrics and state dumps.
func (e *Entry) OperatorAddr() string { return e.operatorListener.Addr().String() }

// PeerAddr returns the address that serves other entry hosts.
func (e *Entry) PeerAddr() string { return e.peerListener.Addr().String() }

// Run serves until ctx ends and then shuts down gracefully: the host becomes not ready,
// waits for running requests up to the drain timeout, and then closes its connections.
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
	var group errgroup.Group
	serve := func(run func() error) {
		group.Go(func() error {
			defer stop()
			return run()
		})
	}
	serve(func() error { return e.peers.Serve(serving, e.peerListener) })
	group.Go(func() error {
		err := serveHTTP(serving, operators, e.operatorRequests.Listener(e.operatorListener))
		if err != nil {
			stop()
		}
		return err
	})
	group.Go(func() error {
		return serveHTTP(serving, callers, entry.LimitConnections(e.callerRequests.Listener(e.callerListener), e.settings.Limits.Connections))
	})
	background := startLoops(ctx,
		e.exchanger.Run, e.config.Run, e.runReconcile, e.runCapacityUpdates,
		e.leaseDirectory.Run, e.runSlots, e.runQuota, e.aggregator.Run, e.leases.Run, e.runSuspects, e.keepEvidence)
	usageSender := startLoops(ctx, e.sender.Run)
	controllers := startLoops(ctx, e.controllers()...)
	e.log.Info("entry started", "callers", e.CallerAddr(), "operators", e.OperatorAddr(), "peers", e.PeerAddr())
	group.Go(func() error {
		defer stop()
		graceful := false
		select {
		case <-ctx.Done():
			graceful = true
			e.drain(serving, callers)
		case <-e.killed:
		case <-serving.Done():
		}
		controllers.stop()
		usageSender.stop()
		if graceful {
			e.flushUsage(serving)
			e.endOperators(serving, operators)
		}
		background.stop()
		if graceful {
			e.releaseOwnership(serving)
		}
		return nil
	})
	err = group.Wait()
	e.fleet.Wait()
	return err
}

// Kill ends Run immediately and without graceful shutdown, like a failure of the host. It
// must be called at most once.
func (e *Entry) Kill() { close(e.killed) }

// controllers returns the control loops of pools and of engine roles. The loop of engine
// roles is omitted if the settings fix the roles.
func (e *Entry) controllers() []func(context.Context) {
	if e.settings.Role.Mode == "fixed" {
		return []func(context.Context){e.pools.Run}
	}
	return []func(context.Context){e.roles.Run, e.pools.Run}
}

const (
	// usageFlushTimeout bounds the flush of usage figures at graceful shutdown.
	usageFlushTimeout = 10 * time.Second
	// releaseTimeout bounds the release of leases and quota slots.
	releaseTimeout = 3 * time.Second
)

// flushUsage waits until the remaining usage figures are in the store.
func (e *Entry) flushUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, usageFlushTimeout)
	defer cancel()
	if !e.sender.Drain(ctx) {
		e.log.Warn("shutting down with unsent usage figures")
	}
}

// releaseOwnership releases the quota slots and leases of this host, so that other hosts can
// acquire them without waiting for their expiry, and records the outcomes of requests that
// are still queued.
func (e *Entry) releaseOwnership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := e.slots.Close(ctx); err != nil {
		e.log.Warn("failed to release quota slots", "error", err.Error())
	}
	if err := e.leases.Close(ctx); err != nil {
		e.log.Warn("failed to release lease", "error", err.Error())
	}
	e.claims.Close(ctx)
}
