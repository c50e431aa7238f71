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

// Config gives access to the configuration.
type Config interface {
	// Current returns the current view.
	Current() *snapshot.View
	// Change applies an edit to the configuration.
	Change(ctx context.Context, edit snapshot.Edit) (snapshot.Outcome, error)
}

// PoolOptions configures Pools.
type PoolOptions struct {
	// Host is the name of this host, which the platform gets as the issuer of
	// orders and returns.
	Host string
	// WriteTokens issues the write tokens for the records of orders.
	WriteTokens *record.WriteTokens
	Leases      Leases
	Config      Config
	Agents      Agents
	// Provider is the platform that endpoints are ordered from.
	Provider backing.Provider
	Store    backing.Store
	Settings pool.Settings
	// Interval is the time between two reconciliations.
	Interval time.Duration
	Log      *slog.Logger
}

// Pools orders and returns endpoints for the pools whose lease this host holds.
// Run and Step must not be called concurrently.
type Pools struct {
	opts   PoolOptions
	shards map[string]*poolShard
	states latestStates[pool.State]
}

// poolShard is the state of one pool's shard while this host holds its lease.
type poolShard struct {
	name    string
	orders  *record.Record[poolOrders]
	decider *pool.Decider
	meter   *demandMeter
}

// NewPools returns a reconciler for all pools.
func NewPools(o PoolOptions) *Pools {
	return &Pools{opts: o, shards: make(map[string]*poolShard)}
}

// States returns the decider state of each pool whose lease this host holds, by
// pool name. It is safe for concurrent use.
func (p *Pools) States() map[string]pool.State { return p.states.copy() }

// Run calls Step at each interval until ctx ends.
func (p *Pools) Run(ctx context.Context) { runEvery(ctx, p.opts.Interval, p.Step) }

// Step reconciles once each pool whose lease this host holds.
func (p *Pools) Step(ctx context.Context) {
	view := p.opts.Config.Current()
	for name := range p.shards {
		if _, ok := view.Pools()[name]; !ok {
			delete(p.shards, name)
		}
	}
	p.states.retain(func(name string) bool {
		_, ok := view.Pools()[name]
		return ok
	})
	for name := range view.Pools() {
		p.stepShard(ctx, view, name)
	}
}

// stepShard reconciles one pool under its lease, or drops its state if this host
// does not hold the lease.
func (p *Pools) stepShard(ctx context.Context, view *snapshot.View, name string) {
	fence, deadline, owned := p.opts.Leases.Held(PoolShard(name))
	if !owned {
		delete(p.shards, name)
		p.states.remove(name)
		return
	}
	shard := p.shards[name]
	if shard == nil {
		shard = p.newShard(name)
		p.shards[name] = shard
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := p.reconcile(ctx, view, shard, fence); err != nil {
		p.opts.Log.Warn("pool reconciliation failed", "pool", name, "error", err.Error())
	}
	p.states.set(name, shard.decider.State())
}

func (p *Pools) newShard(name string) *poolShard {
	return &poolShard{
		name:    name,
		orders:  record.New[poolOrders](p.opts.Store, "control/pool/"+name, p.opts.WriteTokens),
		decider: pool.NewDecider(p.opts.Settings),
		meter:   newDemandMeter(),
	}
}

// reconcile advances each order by at most one stage and then decides on at most
// one further action.
func (p *Pools) reconcile(ctx context.Context, view *snapshot.View, shard *poolShard, fence int64) error {
	if err := claimRecord(ctx, shard.orders, fence); err != nil {
		return err
	}
	provided, err := p.providedByOrder(ctx, shard.name)
	if err != nil {
		return err
	}
	states := describeAll(ctx, p.opts.Agents, surveyedEndpoints(poolEndpoints(view, shard.name, "")))
	if err := p.advanceOrders(ctx, view, shard, provided, states); err != nil {
		return err
	}
	return p.decide(ctx, view, shard, states)
}

// providedByOrder returns the endpoints that the platform provides for the pool, by
// order ID.
func (p *Pools) providedByOrder(ctx context.Context, name string) (map[string]backing.ProvidedEndpoint, error) {
	list, err := p.opts.Provider.Endpoints(ctx, name)
	if err != nil {
		return nil, err
	}
	byID := make(map[string]backing.ProvidedEndpoint, len(list))
	for _, e := range list {
		byID[e.OrderID] = e
	}
	return byID, nil
}

// advanceOrders advances each order by one stage where possible and writes all
// changes in one update of the record. An order whose step fails stays in its
// stage.
func (p *Pools) advanceOrders(ctx context.Context, view *snapshot.View, shard *poolShard, provided map[string]backing.ProvidedEndpoint, states []endpointState) error {
	next := shard.orders.Value().clone()
	next.Orders = next.Orders[:0]
	changed := false
	for _, o := range shard.orders.Value().Orders {
		stepper := &orderStepper{pools: p, view: view, pool: shard.name, fence: shard.orders.Value().Fence, providedByOrder: provided, states: states}
		to, retain, err := stepper.step(ctx, o)
		if err != nil {
			p.opts.Log.Warn("order step failed", "pool", shard.name, "order", o.ID, "stage", string(o.Stage), "error", err.Error())
			to, retain = o.Stage, true
		}
		if to != o.Stage || !retain {
			changed = true
			p.opts.Log.Info("order stage changed", "pool", shard.name, "order", o.ID, "from", string(o.Stage), "to", string(to), "kept", retain)
			o.Stage, o.Since = to, time.Now()
		}
		if retain {
			next.Orders = append(next.Orders, o)
		}
	}
	if !changed {
		return nil
	}
	return shard.orders.Swap(ctx, next)
}

// decide runs the decider and writes the intent of its action into the record.
func (p *Pools) decide(ctx context.Context, view *snapshot.View, shard *poolShard, states []endpointState) error {
	spec := view.Pools()[shard.name]
	endpoints := deciderEndpoints(view, shard, states)
	action, ok := shard.decider.Decide(time.Now(), shard.meter.demand(states, len(poolEndpoints(view, shard.name, ""))), endpoints, pool.LimitsOf(spec, view.Policy()))
	if !ok {
		return nil
	}
	next := shard.orders.Value().clone()
	if action.Order {
		next.Next++
		id := fmt.Sprintf("%s-%d", shard.name, next.Next)
		next.Orders = append(next.Orders, poolOrder{ID: id, Domain: action.Domain, Stage: stageIntended, Ordered: time.Now(), Since: time.Now()})
	}
	for i := range next.Orders {
		if !action.Order && next.Orders[i].ID == action.OrderID {
			next.Orders[i].Stage, next.Orders[i].Since = stageDraining, time.Now()
		}
	}
	p.opts.Log.Info("pool decision", "pool", shard.name, "order", action.Order, "domain", action.Domain, "endpoint", action.OrderID, "reason", action.Reason)
	return shard.orders.Swap(ctx, next)
}

// deciderEndpoints returns the input of the decider: the pool's ordered endpoints
// and those declared by the operator.
func deciderEndpoints(view *snapshot.View, shard *poolShard, states []endpointState) []pool.Endpoint {
	inFlight := make(map[string]int)
	for _, e := range states {
		if e.state != nil {
			inFlight[e.Name] = int(e.state.InFlight)
		}
	}
	ordered := make(map[string]bool)
	var list []pool.Endpoint
	for _, o := range shard.orders.Value().Orders {
		ordered[o.ID] = true
		list = append(list, pool.Endpoint{
			OrderID:   o.ID,
			Domain:    o.Domain,
			Running:   o.Stage == stageRunning,
			OrderedAt: o.Ordered,
			InFlight:  inFlight[o.ID],
			Leaving:   o.Stage == stageDraining || o.Stage == stageEmptying || o.Stage == stageReturning,
		})
	}
	for _, e := range poolEndpoints(view, shard.name, "") {
		if !ordered[e.Name] {
			list = append(list, pool.Endpoint{Domain: e.Spec.Domain, Running: true, InFlight: inFlight[e.Name], Leaving: e.Spec.Draining})
		}
	}
	return list
}
