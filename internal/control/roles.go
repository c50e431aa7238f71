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

// Orders gives fenced orders to engines.
type Orders interface {
	// Give gives the order under the piece's lease and returns once it is
	// done. It first settles an order of an earlier holder to the engine.
	Give(ctx context.Context, o EngineOrder) error
}

// EngineOrder is an order to one engine.
type EngineOrder struct {
	// Piece is the control work under whose lease it is given, Fence its
	// fencing number.
	Piece string
	Fence int64
	// Endpoint names the engine, Agent is its agent's address.
	Endpoint, Agent string
	Kind            backing.OrderKind
	Role            backing.Role
	Model, Adapter  string
}

// RoleOptions configure Roles.
type RoleOptions struct {
	Leases   Leases
	Config   Config
	Agents   Agents
	Orders   Orders
	Settings role.Settings
	Interval time.Duration
	Log      *slog.Logger
}

// Roles gives the engines of each pool and domain whose lease this host holds
// their roles, and the models and adapters that the configuration names.
type Roles struct {
	opts   RoleOptions
	pieces map[string]*roleWork
	states latest[RoleState]
}

// roleWork is this host's work on one piece while it holds the lease.
type roleWork struct {
	fence   int64
	decider *role.Decider
	// notBefore is when an engine may get its next order to load something.
	notBefore map[string]time.Time
}

// retryOrder is the pause after a failed order to an engine, settleOrder that
// after one that was done: the engine's report of what it has loaded lags.
const (
	retryOrder  = 30 * time.Second
	settleOrder = 3 * time.Second
)

// RoleState is what the dump shows of one piece.
type RoleState struct {
	Demand role.Demand `json:"demand"`
	// Waiting says why no role was changed at the last look.
	Waiting string `json:"waiting,omitempty"`
	// Changes counts role changes since this host took the piece over.
	Changes int `json:"changes"`
}

// NewRoles returns the reconcilers of all pieces.
func NewRoles(o RoleOptions) *Roles {
	return &Roles{opts: o, pieces: make(map[string]*roleWork)}
}

// States returns what was last decided for each piece that this host holds.
func (r *Roles) States() map[string]RoleState { return r.states.copy() }

// Run reconciles until ctx ends.
func (r *Roles) Run(ctx context.Context) { every(ctx, r.opts.Interval, r.Step) }

// Step reconciles each piece that this host holds once.
func (r *Roles) Step(ctx context.Context) {
	view := r.opts.Config.Current()
	for name, spec := range view.Pools() {
		for _, domain := range spec.Domains {
			r.stepPiece(ctx, view, name, domain)
		}
	}
}

func (r *Roles) stepPiece(ctx context.Context, view *snapshot.View, pool, domain string) {
	piece := RolePiece(domain, pool)
	fence, deadline, held := r.opts.Leases.Held(piece)
	if !held {
		delete(r.pieces, piece)
		r.states.forget(piece)
		return
	}
	spec := view.Pools()[pool]
	w := r.pieces[piece]
	if w == nil || w.fence != fence {
		capacity := role.Capacity{PrefillTokens: float64(spec.PrefillTokens), DecodeTokens: float64(spec.DecodeTokens)}
		settings := r.opts.Settings
		settings.Floor = max(settings.Floor, view.Policy().RoleFloor)
		w = &roleWork{fence: fence, decider: role.NewDecider(time.Now(), settings, capacity), notBefore: make(map[string]time.Time)}
		r.pieces[piece] = w
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	engines := survey(ctx, r.opts.Agents, poolEndpoints(view, pool, domain))
	if r.place(ctx, view, piece, w, spec.Model, engines) {
		return
	}
	r.decide(ctx, piece, w, engines)
}

// decide changes at most one role.
func (r *Roles) decide(ctx context.Context, piece string, w *roleWork, engines []described) {
	change, ok := w.decider.Decide(time.Now(), rolesOf(engines))
	state := r.states.copy()[piece]
	state.Demand = w.decider.Demand()
	state.Waiting = w.decider.Why()
	if ok {
		state.Changes++
		r.give(ctx, w, EngineOrder{
			Piece:    piece,
			Fence:    w.fence,
			Endpoint: change.Engine,
			Agent:    agentOf(engines, change.Engine),
			Kind:     backing.OrderSetRole,
			Role:     change.Role,
		}, change.Reason)
	}
	r.states.set(piece, state)
}

func (r *Roles) give(ctx context.Context, w *roleWork, o EngineOrder, reason string) {
	log := r.opts.Log.With("piece", o.Piece, "endpoint", o.Endpoint, "order", string(o.Kind), "fence", o.Fence, "reason", reason)
	if err := r.opts.Orders.Give(ctx, o); err != nil {
		w.notBefore[o.Endpoint] = time.Now().Add(retryOrder)
		log.Warn("order not done", "error", err.Error())
		return
	}
	w.notBefore[o.Endpoint] = time.Now().Add(settleOrder)
	log.Info("order done")
}

// place loads a missing model or adapter on at most one engine, and says
// whether it gave an order.
func (r *Roles) place(ctx context.Context, view *snapshot.View, piece string, w *roleWork, model string, engines []described) bool {
	spec, ok := view.Model(model)
	if !ok || anyBusy(engines) {
		return false
	}
	for _, e := range engines {
		if e.state == nil || e.state.Draining || time.Now().Before(w.notBefore[e.Name]) {
			continue
		}
		o := EngineOrder{Piece: piece, Fence: w.fence, Endpoint: e.Name, Agent: e.Spec.Agent, Model: model}
		if !slices.Contains(e.state.Models, model) {
			o.Kind = backing.OrderLoadModel
			r.give(ctx, w, o, "the model is not loaded")
			return true
		}
		for _, adapter := range spec.Adapters {
			if slices.Contains(e.state.Adapters, model+"/"+adapter.Name) {
				continue
			}
			o.Kind, o.Adapter = backing.OrderLoadAdapter, adapter.Name
			r.give(ctx, w, o, "the adapter is not loaded")
			return true
		}
	}
	return false
}
