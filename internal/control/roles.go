package control

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/role"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// Orders sends fenced orders to engines.
type Orders interface {
	// Execute executes the order under the shard's lease and returns once it is
	// complete. It first settles any order that a previous owner of the lease
	// issued to the engine.
	Execute(ctx context.Context, o EngineOrder) error
}

// EngineOrder is an order to one engine.
type EngineOrder struct {
	// Shard is the name of the shard under whose lease the order is issued.
	Shard string
	// Fence is the fencing token of the lease.
	Fence int64
	// Endpoint is the name of the engine and Agent the address of its agent.
	Endpoint, Agent string
	Kind            backing.OrderKind
	// Role is the new role, for orders that set the role.
	Role backing.Role
	// Model and Adapter name the model and the adapter, for orders that load one.
	Model, Adapter string
}

// RoleOptions configures Roles.
type RoleOptions struct {
	Leases   Leases
	Config   Config
	Agents   Agents
	Orders   Orders
	Settings role.Settings
	// Interval is the time between two reconciliations.
	Interval time.Duration
	Log      *slog.Logger
}

// Roles assigns roles to the engines of each pool and domain whose lease this host
// holds, and loads the configured models and adapters on them. Run and Step must
// not be called concurrently.
type Roles struct {
	opts   RoleOptions
	shards map[string]*roleShard
	states latestStates[RoleState]
}

// roleShard is the state of one shard while this host holds its lease.
type roleShard struct {
	fence   int64
	decider *role.Decider
	// notBefore is the earliest time of the next load order to an engine, by
	// endpoint name.
	notBefore map[string]time.Time
}

const (
	// orderRetryDelay is the delay before the next load order to an engine after
	// a failed order.
	orderRetryDelay = 30 * time.Second
	// orderSettlingDelay is the delay before the next load order to an engine
	// after a completed order, since the engine's report of what it has loaded
	// lags.
	orderSettlingDelay = 3 * time.Second
)

// RoleState is the state of one shard for the state dump.
type RoleState struct {
	// Demand is the measured demand, in tokens per second.
	Demand role.Demand `json:"demand"`
	// BlockedReason is the reason why the last decision changed no role. It is
	// empty if there was a change.
	BlockedReason string `json:"waiting,omitempty"`
	// Changes is the number of role changes completed since this host acquired the
	// lease.
	Changes int `json:"changes"`
}

// NewRoles returns a reconciler for all pools and domains.
func NewRoles(o RoleOptions) *Roles {
	return &Roles{opts: o, shards: make(map[string]*roleShard)}
}

// States returns the last state of each shard whose lease this host holds, by shard
// name. It is safe for concurrent use.
func (r *Roles) States() map[string]RoleState { return r.states.copy() }

// Run calls Step at each interval until ctx ends.
func (r *Roles) Run(ctx context.Context) { runEvery(ctx, r.opts.Interval, r.Step) }

// Step reconciles once each shard whose lease this host holds.
func (r *Roles) Step(ctx context.Context) {
	view := r.opts.Config.Current()
	listed := make(map[string]bool)
	for name, spec := range view.Pools() {
		for _, domain := range spec.Domains {
			listed[RoleShard(domain, name)] = true
		}
	}
	r.states.retain(func(name string) bool { return listed[name] })
	for name := range r.shards {
		if !listed[name] {
			delete(r.shards, name)
		}
	}
	for name, spec := range view.Pools() {
		for _, domain := range spec.Domains {
			r.stepShard(ctx, view, name, domain)
		}
	}
}

// stepShard reconciles one pool in one domain under its lease, or drops its state if
// this host does not hold the lease. Loading takes precedence over role changes.
func (r *Roles) stepShard(ctx context.Context, view *snapshot.View, pool, domain string) {
	name := RoleShard(domain, pool)
	fence, deadline, owned := r.opts.Leases.Held(name)
	if !owned {
		delete(r.shards, name)
		r.states.remove(name)
		return
	}
	spec := view.Pools()[pool]
	shard := r.shards[name]
	if shard == nil || shard.fence != fence {
		capacity := role.Capacity{PrefillTokens: float64(spec.PrefillTokens), DecodeTokens: float64(spec.DecodeTokens)}
		settings := r.opts.Settings
		settings.MinEngines = max(settings.MinEngines, view.Policy().RoleFloor)
		shard = &roleShard{fence: fence, decider: role.NewDecider(time.Now(), settings, capacity), notBefore: make(map[string]time.Time)}
		r.shards[name] = shard
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	engines := describeAll(ctx, r.opts.Agents, poolEndpoints(view, pool, domain))
	if r.loadMissing(ctx, view, name, shard, spec.Model, engines) {
		return
	}
	r.decide(ctx, name, shard, engines)
}

// decide runs the decider and orders at most one role change.
func (r *Roles) decide(ctx context.Context, name string, shard *roleShard, engines []endpointState) {
	change, ok := shard.decider.Decide(time.Now(), roleEngines(engines))
	state := r.states.copy()[name]
	state.Demand = shard.decider.Demand()
	state.BlockedReason = shard.decider.Reason()
	if ok && r.executeOrder(ctx, shard, EngineOrder{
		Shard:    name,
		Fence:    shard.fence,
		Endpoint: change.Engine,
		Agent:    agentAddress(engines, change.Engine),
		Kind:     backing.OrderSetRole,
		Role:     change.Role,
	}, change.Reason) {
		state.Changes++
	}
	r.states.set(name, state)
}

// executeOrder executes an order and sets the delay before the next load order to the
// engine. It reports whether the order was completed.
func (r *Roles) executeOrder(ctx context.Context, shard *roleShard, o EngineOrder, reason string) bool {
	log := r.opts.Log.With("piece", o.Shard, "endpoint", o.Endpoint, "order", string(o.Kind), "fence", o.Fence, "reason", reason)
	if err := r.opts.Orders.Execute(ctx, o); err != nil {
		shard.notBefore[o.Endpoint] = time.Now().Add(orderRetryDelay)
		log.Warn("order failed", "error", err.Error())
		return false
	}
	shard.notBefore[o.Endpoint] = time.Now().Add(orderSettlingDelay)
	log.Info("order completed")
	return true
}

// loadMissing orders at most one engine to load a missing model or adapter, and
// reports whether it issued an order.
func (r *Roles) loadMissing(ctx context.Context, view *snapshot.View, name string, shard *roleShard, model string, engines []endpointState) bool {
	spec, ok := view.Model(model)
	if !ok || anyOrderInFlight(engines) {
		return false
	}
	for _, e := range engines {
		if e.state == nil || e.state.Draining || time.Now().Before(shard.notBefore[e.Name]) {
			continue
		}
		o := EngineOrder{Shard: name, Fence: shard.fence, Endpoint: e.Name, Agent: e.Spec.Agent, Model: model}
		if !slices.Contains(e.state.Models, model) {
			o.Kind = backing.OrderLoadModel
			r.executeOrder(ctx, shard, o, "the model is not loaded")
			return true
		}
		for _, adapter := range spec.Adapters {
			if slices.Contains(e.state.Adapters, model+"/"+adapter.Name) {
				continue
			}
			o.Kind, o.Adapter = backing.OrderLoadAdapter, adapter.Name
			r.executeOrder(ctx, shard, o, "the adapter is not loaded")
			return true
		}
	}
	return false
}
