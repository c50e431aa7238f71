package node

import (
	"context"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/certs"
	"github.com/acacialink/acacialink/internal/control"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/order"
	"github.com/acacialink/acacialink/internal/pool"
	"github.com/acacialink/acacialink/internal/quota"
	"github.com/acacialink/acacialink/internal/role"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// controlHosts is how many hosts of each failure domain share control work.
const controlHosts = 3

// buildLeases makes the set of pieces of control work that this host holds.
func (e *Entry) buildLeases() {
	s := lease.DefaultSettings()
	s.TTL = e.settings.Lease.TTL.Std()
	s.RenewInterval = e.settings.Lease.Renew.Std()
	s.Margin = e.settings.Lease.Margin.Std()
	s.WorkDeadline = e.settings.Lease.OrderDeadline.Std()
	e.holders = lease.NewDirectory(e.store)
	e.leases = lease.New(lease.Options{
		Host:        e.settings.Name,
		Incarnation: e.incarnation,
		Store:       e.store,
		Settings:    s,
		Shards:      e.pieces,
		Preferred:   e.preferred,
		WriteTokens: e.marks,
		Log:         e.log,
	})
}

// pieces are the pieces of control work that the configuration calls for.
func (e *Entry) pieces() []string {
	names := []string{lease.HostShard(e.settings.Name)}
	for shard := range quota.Shards {
		names = append(names, quotaPiece(shard))
	}
	for shard := range e.settings.Usage.Shards {
		names = append(names, usagePiece(shard))
	}
	for pool, spec := range e.config.Current().Pools() {
		names = append(names, control.PoolPiece(pool))
		for _, domain := range spec.Domains {
			names = append(names, control.RolePiece(domain, pool))
		}
	}
	return names
}

// preferred is the host that should hold a piece, among those that the store's
// leases show to live: the host list lags. While no host is known, things stay
// as they are.
func (e *Entry) preferred(piece string) (string, bool) {
	if e.draining.draining.Load() {
		return "", false
	}
	return e.holders.Preferred(piece, e.directory.candidates())
}

// buildControl makes the reconcilers of pools and roles.
func (e *Entry) buildControl(source certs.Source) {
	s := e.settings
	agents := agentClient{rpc.NewPool(rpc.NewDialer(certs.ClientTLS(source, certs.RoleAgent, ""), entryRPC(s)), idlePeerConnections)}
	roleSettings := role.DefaultSettings()
	roleSettings.StaleReport = s.Role.StaleReport.Std()
	roleSettings.Cooldown = s.Role.Hold.Std()
	if s.Role.Mode == "reactive" {
		roleSettings = roleSettings.Reactive()
	}
	e.roles = control.NewRoles(control.RoleOptions{
		Leases:   e.leases,
		Config:   e.config,
		Agents:   agents,
		Orders:   engineOrders{order.NewGiver(s.Name, e.store, agents, e.marks)},
		Settings: roleSettings,
		Interval: s.Role.Interval.Std(),
		Log:      e.log,
	})
	poolSettings := pool.DefaultSettings()
	poolSettings.ReturnAfter = s.Pool.ReturnAfter.Std()
	poolSettings.OrdersInFlight = s.Pool.OrdersInFlight
	e.pools = control.NewPools(control.PoolOptions{
		Host:     s.Name,
		Marks:    e.marks,
		Leases:   e.leases,
		Config:   e.config,
		Agents:   agents,
		Provider: backing.NewHTTPProvider(s.Platform.Provider, nil),
		Store:    e.store,
		Settings: poolSettings,
		Interval: s.Pool.Interval.Std(),
		Log:      e.log,
	})
}

// agentClient calls agents for control work.
type agentClient struct{ pool *rpc.Pool }

// Describe implements control.Agents.
func (a agentClient) Describe(ctx context.Context, _, address string) (*wire.AgentState, error) {
	return a.pool.Describe(ctx, address)
}

// Order implements order.Sender.
func (a agentClient) Order(ctx context.Context, _, address string, o *wire.OrderRequest) (*wire.OrderResponse, error) {
	return a.pool.Order(ctx, address, o)
}

// engineOrders gives the orders of the role reconciler.
type engineOrders struct{ giver *order.Giver }

// Give implements control.Orders.
func (e engineOrders) Give(ctx context.Context, o control.EngineOrder) error {
	target := order.Target{Piece: o.Piece, Fence: o.Fence, Endpoint: o.Endpoint, Agent: o.Agent}
	return e.giver.Give(ctx, target, backing.Order{Kind: o.Kind, Role: o.Role, Model: o.Model, Adapter: o.Adapter})
}
