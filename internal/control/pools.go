package control

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/pool"
	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// Config reads and changes the configuration.
type Config interface {
	Current() *snapshot.View
	Change(ctx context.Context, edit snapshot.Edit) (snapshot.Outcome, error)
}

// PoolOptions configure Pools.
type PoolOptions struct {
	Host     string
	Marks    *record.WriteTokens
	Leases   Leases
	Config   Config
	Agents   Agents
	Provider backing.Provider
	Store    backing.Store
	Settings pool.Settings
	Interval time.Duration
	Log      *slog.Logger
}

// Pools orders and returns endpoints for the pools whose lease this host holds.
type Pools struct {
	opts   PoolOptions
	pools  map[string]*poolWork
	states latest[pool.State]
}

// poolWork is this host's work on one pool while it holds the lease.
type poolWork struct {
	name    string
	orders  *record.Record[poolOrders]
	decider *pool.Decider
	meter   *demandMeter
}

// NewPools returns the reconcilers of all pools.
func NewPools(o PoolOptions) *Pools {
	return &Pools{opts: o, pools: make(map[string]*poolWork)}
}

// States returns what was last decided for each pool that this host holds.
func (p *Pools) States() map[string]pool.State { return p.states.copy() }

// Run reconciles until ctx ends.
func (p *Pools) Run(ctx context.Context) { every(ctx, p.opts.Interval, p.Step) }

// Step reconciles each pool that this host holds once.
func (p *Pools) Step(ctx context.Context) {
	view := p.opts.Config.Current()
	for name := range p.pools {
		if _, ok := view.Pools()[name]; !ok {
			delete(p.pools, name)
		}
	}
	for name := range view.Pools() {
		p.stepPool(ctx, view, name)
	}
}

func (p *Pools) stepPool(ctx context.Context, view *snapshot.View, name string) {
	fence, deadline, held := p.opts.Leases.Held(PoolPiece(name))
	if !held {
		delete(p.pools, name)
		p.states.forget(name)
		return
	}
	work := p.pools[name]
	if work == nil {
		work = p.newWork(name)
		p.pools[name] = work
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := p.reconcile(ctx, view, work, fence); err != nil {
		p.opts.Log.Warn("pool step ended early", "pool", name, "error", err.Error())
	}
	p.states.set(name, work.decider.State())
}

func (p *Pools) newWork(name string) *poolWork {
	return &poolWork{
		name:    name,
		orders:  record.New[poolOrders](p.opts.Store, "control/pool/"+name, p.opts.Marks),
		decider: pool.NewDecider(p.opts.Settings),
		meter:   newDemandMeter(),
	}
}

// reconcile moves each order on by a stage and then decides on one more action.
func (p *Pools) reconcile(ctx context.Context, view *snapshot.View, w *poolWork, fence int64) error {
	if err := claim(ctx, w.orders, fence); err != nil {
		return err
	}
	provided, err := p.provided(ctx, w.name)
	if err != nil {
		return err
	}
	states := survey(ctx, p.opts.Agents, sample(poolEndpoints(view, w.name, "")))
	if err := p.moveOrders(ctx, view, w, provided, states); err != nil {
		return err
	}
	return p.decide(ctx, view, w, states)
}

func (p *Pools) provided(ctx context.Context, name string) (map[string]backing.ProvidedEndpoint, error) {
	list, err := p.opts.Provider.Provided(ctx, name)
	if err != nil {
		return nil, err
	}
	byID := make(map[string]backing.ProvidedEndpoint, len(list))
	for _, e := range list {
		byID[e.OrderID] = e
	}
	return byID, nil
}

// moveOrders brings every order one stage on where it can go on, and writes
// the stages together.
func (p *Pools) moveOrders(ctx context.Context, view *snapshot.View, w *poolWork, provided map[string]backing.ProvidedEndpoint, states []described) error {
	next := w.orders.Value().clone()
	next.Orders = next.Orders[:0]
	changed := false
	for _, o := range w.orders.Value().Orders {
		m := &mover{pools: p, view: view, pool: w.name, fence: w.orders.Value().Fence, provided: provided, states: states}
		to, keep, err := m.move(ctx, o)
		if err != nil {
			p.opts.Log.Warn("order not moved", "pool", w.name, "order", o.ID, "stage", string(o.Stage), "error", err.Error())
			to, keep = o.Stage, true
		}
		if to != o.Stage || !keep {
			changed = true
			p.opts.Log.Info("order moved", "pool", w.name, "order", o.ID, "from", string(o.Stage), "to", string(to), "kept", keep)
			o.Stage, o.Since = to, time.Now()
		}
		if keep {
			next.Orders = append(next.Orders, o)
		}
	}
	if !changed {
		return nil
	}
	return w.orders.Swap(ctx, next)
}

// decide writes the intent of the next order or return into the record.
func (p *Pools) decide(ctx context.Context, view *snapshot.View, w *poolWork, states []described) error {
	spec := view.Pools()[w.name]
	endpoints := endpointsOf(view, w, states)
	action, ok := w.decider.Decide(time.Now(), w.meter.demand(states, len(poolEndpoints(view, w.name, ""))), endpoints, pool.LimitsOf(spec, view.Policy()))
	if !ok {
		return nil
	}
	next := w.orders.Value().clone()
	if action.Order {
		next.Next++
		id := fmt.Sprintf("%s-%d", w.name, next.Next)
		next.Orders = append(next.Orders, poolOrder{ID: id, Domain: action.Domain, Stage: stageIntended, Ordered: time.Now(), Since: time.Now()})
	}
	for i := range next.Orders {
		if !action.Order && next.Orders[i].ID == action.OrderID {
			next.Orders[i].Stage, next.Orders[i].Since = stageDraining, time.Now()
		}
	}
	p.opts.Log.Info("pool decision", "pool", w.name, "order", action.Order, "domain", action.Domain, "endpoint", action.OrderID, "reason", action.Reason)
	return w.orders.Swap(ctx, next)
}

// endpointsOf is the pool as the decider sees it: the declared endpoints and
// the ordered ones.
func endpointsOf(view *snapshot.View, w *poolWork, states []described) []pool.Endpoint {
	inFlight := make(map[string]int)
	for _, d := range states {
		if d.state != nil {
			inFlight[d.Name] = int(d.state.InFlight)
		}
	}
	ordered := make(map[string]bool)
	var list []pool.Endpoint
	for _, o := range w.orders.Value().Orders {
		ordered[o.ID] = true
		list = append(list, pool.Endpoint{
			OrderID:  o.ID,
			Domain:   o.Domain,
			Running:  o.Stage == stageRunning,
			Ordered:  o.Ordered,
			InFlight: inFlight[o.ID],
			Leaving:  o.Stage == stageDraining || o.Stage == stageReturning,
		})
	}
	for _, e := range poolEndpoints(view, w.name, "") {
		if !ordered[e.Name] {
			list = append(list, pool.Endpoint{Domain: e.Spec.Domain, Running: true, InFlight: inFlight[e.Name], Leaving: e.Spec.Draining})
		}
	}
	return list
}
