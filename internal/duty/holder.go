package duty

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

// Piece is the name of the lease under which one host does all duties.
const Piece = "duties"

// Leases says whether this host holds the lease.
type Leases interface {
	Held(piece string) (fence int64, deadline time.Time, ok bool)
}

// EngineReport is what an engine says of itself.
type EngineReport struct {
	Stage endpoint.Stage
	// Busy says that it carries out an order, Orders how many it has accepted.
	Busy   bool
	Orders int64
}

// Engines takes orders for engines.
type Engines interface {
	// Report asks an engine for its state.
	Report(ctx context.Context, e *endpoint.Endpoint) (EngineReport, error)
	// Stage orders an engine to another stage. ErrFenced: a later holder gave
	// orders to it.
	Stage(ctx context.Context, holder string, fence int64, o StageOrder) error
}

// Options configure a Holder.
type Options struct {
	Host, Incarnation string
	Leases            Leases
	Clock             lease.Clock
	// Quiet is how long a host waits that has the duties again after another
	// one: holders must not take turns faster.
	Quiet time.Duration
	// Settle is how long after a window's end its counts are collected.
	Settle  time.Duration
	Counter *Counter
	Store   backing.Store
	// Reporter is nil where nobody wants usage reports.
	Reporter  Reporter
	Engines   Engines
	Catalog   *catalog.Holder
	Endpoints *endpoint.Set
	Balance   Balance
	// Idle says that no host has work at any of the engines.
	Idle func(engines []*endpoint.Endpoint) bool
	// Switching is told of each engine that is ordered to change its stage, and
	// how long that takes.
	Switching func(e *endpoint.Endpoint, takes time.Duration)
	Log       *slog.Logger
}

// Holder does the duties while this host holds the lease.
type Holder struct {
	o         Options
	reporting reporting
	// fence is the number that this host holds the lease under, since when it
	// took it, wait how long it does nothing after that, and refused a number
	// under which a later one was seen.
	fence   int64
	since   lease.Instant
	wait    time.Duration
	refused int64
	// ordered is when each engine was last ordered to change.
	ordered map[endpoint.Key]lease.Instant
	// uneven is since when each service is out of balance.
	uneven map[string]lease.Instant
	// counts is the number of engines of each service at the last look.
	counts map[string]int
}

// NewHolder returns a holder that holds nothing yet.
func NewHolder(o Options) *Holder {
	return &Holder{
		o: o, ordered: make(map[endpoint.Key]lease.Instant), uneven: make(map[string]lease.Instant), counts: make(map[string]int),
		reporting: reporting{
			counter: o.Counter, store: o.Store, reporter: o.Reporter, host: o.Host, incarnation: o.Incarnation,
			settle: o.Settle, log: o.Log, done: make(map[int64]bool), first: o.Counter.Current() - 1,
		},
	}
}

const (
	// stepEvery is the time between looks at what is due.
	stepEvery = 500 * time.Millisecond
	// orderPause is how long after an order its engine gets no other one, on
	// top of the time that a change takes: reports lag.
	orderPause = 2 * time.Second
)

// Run does what is due until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	for backing.Pause(ctx, stepEvery) {
		h.step(ctx)
	}
}

func (h *Holder) step(ctx context.Context) {
	fence, deadline, ok := h.o.Leases.Held(Piece)
	now := h.o.Clock.Now()
	if !ok {
		h.fence = 0
		return
	}
	if fence != h.fence {
		h.fence, h.since, h.wait = fence, now, h.turn(ctx)
		h.o.Log.Info("duties taken", observe.FieldFence, fence, "wait_ms", h.wait)
	}
	if fence == h.refused || now.Since(h.since) < h.wait {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	h.note(h.stages(ctx, fence), "stage order")
	if h.o.Reporter != nil {
		h.note(h.reporting.step(ctx, fence), "usage report")
	}
}

// note logs a failed duty; one that was refused for a later fence is not tried
// again under this one.
func (h *Holder) note(err error, what string) {
	if err == nil {
		return
	}
	if errors.Is(err, backing.ErrFenced) {
		h.refused = h.fence
	}
	h.o.Log.Warn("duty failed", "duty", what, observe.FieldFence, h.fence, observe.FieldError, err)
}

// stages orders the engines of each service towards the balance.
func (h *Holder) stages(ctx context.Context, fence int64) error {
	c := h.o.Catalog.Current()
	if c == nil {
		return nil
	}
	for _, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		engines := h.o.Endpoints.Service(s.Name)
		orders := h.o.Balance.Orders(engines)
		if !h.due(s.Name, len(engines), len(orders) > 0, h.o.Idle(engines)) {
			continue
		}
		for _, order := range orders {
			now := h.o.Clock.Now()
			at, ordered := h.ordered[order.Engine.Key()]
			if ordered && now.Since(at) < s.Engine.StageSwitch+orderPause {
				continue
			}
			if _, _, ok := h.o.Leases.Held(Piece); !ok {
				return nil
			}
			h.ordered[order.Engine.Key()] = now
			if err := h.order(ctx, fence, order, s.Engine.StageSwitch); err != nil {
				return errors.Wrapf(err, "order engine %s", order.Engine.ID)
			}
		}
	}
	return nil
}

// order asks the engine where it is and orders it to the stage, unless it is
// there or on its way: the registry is behind.
func (h *Holder) order(ctx context.Context, fence int64, o StageOrder, takes time.Duration) error {
	report, err := h.o.Engines.Report(ctx, o.Engine)
	if err != nil {
		return err
	}
	if report.Busy || report.Stage == o.Stage {
		return nil
	}
	o.After = report.Orders
	h.o.Switching(o.Engine, takes)
	err = h.o.Engines.Stage(ctx, h.o.Host, fence, o)
	h.o.Log.Info("stage ordered", observe.FieldEndpoint, o.Engine.ID, "stage", o.Stage.String(),
		observe.FieldFence, fence, observe.FieldError, err)
	return err
}

const (
	// balancePatience is how long engines are out of balance before one is
	// ordered to change: one that crashed is back sooner than a change would
	// be done.
	balancePatience = 4 * time.Second
	// idlePatience is the same while no engine has work: a change then costs
	// nothing, but all engines should be listed by then.
	idlePatience = time.Second
)

// due says whether a service has been out of balance for long enough, with the
// same number of engines.
func (h *Holder) due(service string, engines int, uneven, idle bool) bool {
	now := h.o.Clock.Now()
	if h.counts[service] != engines {
		h.counts[service] = engines
		delete(h.uneven, service) // others may be about to come or go
	}
	if !uneven {
		delete(h.uneven, service)
		return false
	}
	since, known := h.uneven[service]
	if !known {
		h.uneven[service] = now
		return false
	}
	patience := balancePatience
	if idle {
		patience = idlePatience
	}
	return now.Since(since) >= patience
}
