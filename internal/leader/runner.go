package leader

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/observe"
)

// LeaseItem is the lease item whose owner is the leader.
const LeaseItem = "duties"

// Leases gives access to the lease items of this host.
type Leases interface {
	// Held reports whether this host holds the item. It returns the fencing
	// token and the time by which work under it must end.
	Held(item string) (fence int64, deadline time.Time, ok bool)
}

// EngineReport is the state that an engine reports.
type EngineReport struct {
	Stage endpoint.Stage
	// Busy reports whether the engine is executing an order.
	Busy bool
	// AcceptedOrders is the number of orders that the engine has accepted.
	AcceptedOrders int64
}

// Engines sends requests and orders to engines.
type Engines interface {
	// EngineState returns the state of an engine.
	EngineState(ctx context.Context, e *endpoint.Endpoint) (EngineReport, error)
	// OrderStage orders an engine to change its stage. It returns backing.ErrFenced
	// if the engine has accepted an order of a later leader.
	OrderStage(ctx context.Context, leader string, fence int64, order StageOrder) error
}

// Options configures a Runner.
type Options struct {
	// Host is the name of this host. Incarnation identifies this process.
	Host, Incarnation string
	Leases            Leases
	Clock             lease.Clock
	// ReturnDelay is the time that a host waits before it acts when it becomes the
	// leader again after another host. Leadership must not alternate faster.
	ReturnDelay time.Duration
	// SettlingDelay is the time from the end of a window until its counts are
	// collected.
	SettlingDelay time.Duration
	Counter       *Counter
	Store         backing.Store
	// EraNoticed returns what this process saw of the latest era of the store that it saw
	// begin.
	EraNoticed func() EraNotice
	// Reporter sends the usage reports; nil disables them.
	Reporter  Reporter
	Engines   Engines
	Catalog   *catalog.Cache
	Endpoints *endpoint.Set
	Balance   Balance
	// FirstStart reports whether the whole deployment starts for the first time.
	FirstStart bool
	// PrefillWork returns the prompt tokens of a service that prefill engines were given so
	// far, and the time that one takes of an engine; nil for none known.
	PrefillWork func(service string) (tokens float64, perToken time.Duration)
	// Streams returns the number of streams on engines, of all hosts; nil if it is not known.
	Streams func(engines []*endpoint.Endpoint) int
	// EnginesIdle reports whether no host has work at any of the engines.
	EnginesIdle func(engines []*endpoint.Endpoint) bool
	// OnStageChange is called before an engine is ordered to change its stage, with
	// the duration of the change.
	OnStageChange func(e *endpoint.Endpoint, duration time.Duration)
	Log           *slog.Logger
}

// Runner runs the leader tasks while this host holds the lease.
type Runner struct {
	opts  Options
	usage usageReporter
	// fence is the fencing token of the lease, 0 if this host does not hold it.
	fence int64
	// acquired is the time at which this host acquired the lease.
	acquired lease.Instant
	// led is set once this process was the leader.
	led bool
	// delay is the time from acquired until the host may act.
	delay time.Duration
	// rejectedFence is the fencing token that was rejected because of a later
	// leader; nothing is sent under it.
	rejectedFence int64
	// lastOrder is the time of the last stage order of each engine.
	lastOrder map[endpoint.Key]lease.Instant
	// imbalancedSince is the time at which each service became imbalanced.
	imbalancedSince map[string]lease.Instant
	// demand measures the work of prompts of each service. shares holds the share of prefill
	// engines of those of which it is known.
	demand   map[string]*demandMeter
	crowding map[string]*crowding
	shares   map[string]float64
	// engineCounts is the number of engines of each service at the last check.
	engineCounts map[string]int
}

// NewRunner returns a Runner that does not hold the lease yet.
func NewRunner(opts Options) *Runner {
	return &Runner{
		opts: opts, lastOrder: make(map[endpoint.Key]lease.Instant), imbalancedSince: make(map[string]lease.Instant), engineCounts: make(map[string]int),
		demand: make(map[string]*demandMeter), crowding: make(map[string]*crowding), shares: make(map[string]float64),
		usage: usageReporter{
			counter: opts.Counter, store: opts.Store, reporter: opts.Reporter, host: opts.Host, incarnation: opts.Incarnation,
			settlingDelay: opts.SettlingDelay, log: opts.Log, reported: make(map[int64]bool), sealed: make(map[int64]Counts), eras: eraLog{store: opts.Store, now: opts.Counter.now, noticed: opts.EraNoticed}, firstWindow: opts.Counter.CurrentWindow() - 1,
		},
	}
}

const (
	// stepInterval is the time between two runs of the leader tasks.
	stepInterval = 500 * time.Millisecond
	// orderCooldown is the time after which an engine may get another order, in
	// addition to the duration of a stage change. It is needed because the registry
	// lags behind the engines.
	orderCooldown = 2 * time.Second
)

// Run runs the leader tasks periodically until ctx is canceled.
func (r *Runner) Run(ctx context.Context) {
	for backing.Pause(ctx, stepInterval) {
		r.step(ctx)
	}
}

func (r *Runner) step(ctx context.Context) {
	fence, deadline, ok := r.opts.Leases.Held(LeaseItem)
	now := r.opts.Clock.Now()
	if !ok {
		r.fence = 0
		return
	}
	if fence != r.fence {
		r.fence, r.acquired, r.delay = fence, now, r.recordLeader(ctx)
		r.led = true
		r.usage.tookLead()
		r.opts.Log.Info("duties taken", observe.FieldFence, fence, "wait_ms", r.delay)
	}
	if fence == r.rejectedFence || now.Since(r.acquired) < r.delay {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	r.handleError(r.balanceStages(ctx, fence), "stage order")
	if r.opts.Reporter != nil {
		r.handleError(r.usage.step(ctx, fence), "usage report")
	}
}

// handleError logs the error of a task. If the task was rejected because of a
// later fencing token, it is not retried under this one.
func (r *Runner) handleError(err error, task string) {
	if err == nil {
		return
	}
	if errors.Is(err, backing.ErrFenced) {
		r.rejectedFence = r.fence
	}
	r.opts.Log.Warn("duty failed", "duty", task, observe.FieldFence, r.fence, observe.FieldError, err)
}

// balanceStages orders the stage changes that balance the engines of each
// service.
func (r *Runner) balanceStages(ctx context.Context, fence int64) error {
	c := r.opts.Catalog.Current()
	if c == nil {
		return nil
	}
	for _, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		engines := r.opts.Endpoints.Service(s.Name)
		idle := r.opts.EnginesIdle(engines)
		balance := r.balanceFor(s.Name, engines, idle)
		orders := balance.Orders(engines)
		delay := imbalanceDelay
		switch {
		case idle:
			delay = idleImbalanceDelay
		case balance.PrefillShare < r.opts.Balance.PrefillShare:
			delay = demandImbalanceDelay
		}
		if !r.imbalancePersists(s.Name, len(engines), len(orders) > 0, delay) {
			continue
		}
		if _, known := r.shares[s.Name]; known && !idle {
			orders = orders[:min(len(orders), max(0, ordersAtOnce(len(engines))-r.changing(engines, s.Engine.StageSwitch)))]
		}
		for _, order := range orders {
			now := r.opts.Clock.Now()
			last, ordered := r.lastOrder[order.Engine.Key()]
			if ordered && now.Since(last) < s.Engine.StageSwitch+orderCooldown {
				continue
			}
			if _, _, ok := r.opts.Leases.Held(LeaseItem); !ok {
				return nil
			}
			r.lastOrder[order.Engine.Key()] = now
			if err := r.orderStage(ctx, fence, order, s.Engine.StageSwitch); err != nil {
				return errors.Wrapf(err, "order engine %s", order.Engine.ID)
			}
		}
	}
	return nil
}

// balanceFor returns the balance of a service by the demand that was measured. While it is not
// known the engines stay as they are, unless the deployment starts for the first time: the leader
// before may have known it.
func (r *Runner) balanceFor(service string, engines []*endpoint.Endpoint, idle bool) Balance {
	b := r.opts.Balance
	if r.opts.PrefillWork == nil || r.opts.Streams == nil {
		return b
	}
	meter := r.demand[service]
	if meter == nil {
		meter = new(demandMeter)
		r.demand[service] = meter
	}
	tokens, perToken := r.opts.PrefillWork(service)
	meter.observe(r.opts.Clock.Now().Monotonic, tokens)
	crowded := r.crowded(service, engines)
	before, known := r.shares[service]
	if !known {
		before = min(b.PrefillShare, prefillShare(engines))
	}
	if perSecond, measured := meter.demand(); measured {
		demand := perSecond * perToken.Seconds()
		share := b.ShareFor(len(engines), demand, before, crowded)
		if r.shares[service] = share; !known || share != before {
			r.opts.Log.Info("share of prefill engines", "service", service, "share", share, "before", before, "engines", len(engines), "busy", demand)
		}
		before, known = share, true
	}
	if known || !idle || !r.opts.FirstStart {
		b.PrefillShare = before
	}
	return b
}

// crowded reports whether streams are crowded on the decode engines of a service.
func (r *Runner) crowded(service string, engines []*endpoint.Endpoint) bool {
	var decode []*endpoint.Endpoint
	slots := 0
	for _, e := range engines {
		if e.Stage == endpoint.StageDecode {
			decode, slots = append(decode, e), slots+e.Slots
		}
	}
	if r.crowding[service] == nil {
		r.crowding[service] = new(crowding)
	}
	r.crowding[service].observe(r.opts.Clock.Now().Monotonic, r.opts.Streams(decode))
	return r.crowding[service].crowded(slots)
}

// prefillShare returns the share of the engines that prefill.
func prefillShare(engines []*endpoint.Endpoint) float64 {
	n := 0
	for _, e := range engines {
		if e.Stage == endpoint.StagePrefill {
			n++
		}
	}
	return float64(n) / float64(max(1, len(engines)))
}

// changing returns how many of the engines were ordered to change their stage and may not have
// done so.
func (r *Runner) changing(engines []*endpoint.Endpoint, duration time.Duration) int {
	n, now := 0, r.opts.Clock.Now()
	for _, e := range engines {
		if last, ordered := r.lastOrder[e.Key()]; ordered && now.Since(last) < duration+time.Second {
			n++
		}
	}
	return n
}

// orderStage sends the order unless the engine reports that it has reached the
// stage or is executing an order; the registry lags behind the engines.
func (r *Runner) orderStage(ctx context.Context, fence int64, order StageOrder, duration time.Duration) error {
	report, err := r.opts.Engines.EngineState(ctx, order.Engine)
	if err != nil {
		return err
	}
	if report.Busy || report.Stage == order.Stage {
		return nil
	}
	order.AcceptedBefore = report.AcceptedOrders
	r.opts.OnStageChange(order.Engine, duration)
	err = r.opts.Engines.OrderStage(ctx, r.opts.Host, fence, order)
	r.opts.Log.Info("stage ordered", observe.FieldEndpoint, order.Engine.ID, "stage", order.Stage.String(),
		observe.FieldFence, fence, observe.FieldError, err)
	return err
}

const (
	// imbalanceDelay is the time that an imbalance must last before a stage
	// change is ordered. A crashed engine restarts in less time than a stage
	// change takes.
	imbalanceDelay = 4 * time.Second
	// idleImbalanceDelay applies instead while no engine has work. A stage change
	// costs nothing then, but all engines should be listed first.
	idleImbalanceDelay = time.Second
	// demandImbalanceDelay applies while the prefill engines have little work: they lose
	// little by a change, and a few of them change at a time.
	demandImbalanceDelay = 1500 * time.Millisecond
)

// imbalancePersists reports whether the service has been imbalanced for long
// enough with an unchanged number of engines.
func (r *Runner) imbalancePersists(service string, engines int, imbalanced bool, delay time.Duration) bool {
	now := r.opts.Clock.Now()
	if r.engineCounts[service] != engines {
		r.engineCounts[service] = engines
		delete(r.imbalancedSince, service) // more engines may be added or removed soon
	}
	if !imbalanced {
		delete(r.imbalancedSince, service)
		return false
	}
	since, known := r.imbalancedSince[service]
	if !known {
		r.imbalancedSince[service] = now
		return false
	}
	return now.Since(since) >= delay
}
