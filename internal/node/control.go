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

// controlHostsPerDomain is the number of hosts in each failure domain that share control
// work.
const controlHostsPerDomain = 3

// buildLeases creates the lease directory and the set of shards of control work that this
// host owns.
func (e *Entry) buildLeases() {
	leaseSettings := lease.DefaultSettings()
	leaseSettings.TTL = e.settings.Lease.TTL.Std()
	leaseSettings.RenewInterval = e.settings.Lease.RenewInterval.Std()
	leaseSettings.Margin = e.settings.Lease.Margin.Std()
	leaseSettings.WorkDeadline = e.settings.Lease.OrderDeadline.Std()
	e.leaseDirectory = lease.NewDirectory(e.store)
	e.leases = lease.New(lease.Options{
		Host:        e.settings.Name,
		Incarnation: e.incarnation,
		Store:       e.store,
		Settings:    leaseSettings,
		Shards:      e.controlShards,
		Preferred:   e.preferredHost,
		WriteTokens: e.writeTokens,
		Log:         e.log,
	})
}

// controlShards returns the names of the shards of control work that the settings and the
// current configuration require.
func (e *Entry) controlShards() []string {
	names := []string{lease.HostShard(e.settings.Name)}
	for shard := range quota.Shards {
		names = append(names, quotaShardName(shard))
	}
	for shard := range e.settings.Usage.Shards {
		names = append(names, usageShardName(shard))
	}
	for pool, spec := range e.config.Current().Pools() {
		names = append(names, control.PoolShard(pool))
		for _, domain := range spec.Domains {
			names = append(names, control.RoleShard(domain, pool))
		}
	}
	return names
}

// preferredHost returns the host that should own a shard of control work. Candidates are
// restricted to hosts that are alive according to the leases in the store, because the
// host list lags behind. It returns false, which leaves ownership unchanged, while this
// host is draining or no such host is known.
func (e *Entry) preferredHost(shard string) (string, bool) {
	if e.draining.draining.Load() {
		return "", false
	}
	return e.leaseDirectory.Preferred(shard, e.directory.candidates())
}

// buildControl creates the reconcilers of pools and roles.
func (e *Entry) buildControl(source certs.Source) {
	s := e.settings
	agents := agentClient{rpc.NewPool(rpc.NewDialer(certs.ClientTLS(source, certs.RoleAgent, ""), entryRPCOptions(s)), maxIdlePeerConnections)}
	roleSettings := role.DefaultSettings()
	roleSettings.StaleReport = s.Role.StaleReport.Std()
	roleSettings.Cooldown = s.Role.MinChangeInterval.Std()
	if s.Role.Mode == "reactive" {
		roleSettings = roleSettings.Reactive()
	}
	e.roles = control.NewRoles(control.RoleOptions{
		Leases:   e.leases,
		Config:   e.config,
		Agents:   agents,
		Orders:   engineOrders{order.NewIssuer(s.Name, e.store, agents, e.writeTokens)},
		Settings: roleSettings,
		Interval: s.Role.Interval.Std(),
		Log:      e.log,
	})
	poolSettings := pool.DefaultSettings()
	poolSettings.ReturnAfter = s.Pool.ReturnDelay.Std()
	poolSettings.MaxOrdersInFlight = s.Pool.OrdersInFlight
	e.pools = control.NewPools(control.PoolOptions{
		Host:        s.Name,
		WriteTokens: e.writeTokens,
		Leases:      e.leases,
		Config:      e.config,
		Agents:      agents,
		Provider:    backing.NewHTTPProvider(s.Platform.Provider, nil, backing.WithAnswers(e.answers, providerSender)),
		Store:       e.store,
		Settings:    poolSettings,
		Interval:    s.Pool.Interval.Std(),
		Log:         e.log,
	})
}

// agentClient implements control.Agents and order.Sender over RPC.
type agentClient struct{ pool *rpc.Pool }

// Describe implements control.Agents.
func (c agentClient) Describe(ctx context.Context, _, address string) (*wire.AgentState, error) {
	return c.pool.Describe(ctx, address)
}

// Order implements order.Sender.
func (c agentClient) Order(ctx context.Context, _, address string, request *wire.OrderRequest) (*wire.OrderResponse, error) {
	return c.pool.Order(ctx, address, request)
}

// engineOrders sends the role reconciler's orders to engines.
type engineOrders struct{ issuer *order.Issuer }

// Execute implements control.Orders.
func (o engineOrders) Execute(ctx context.Context, engineOrder control.EngineOrder) error {
	target := order.Target{Shard: engineOrder.Shard, Fence: engineOrder.Fence, Endpoint: engineOrder.Endpoint, AgentAddress: engineOrder.Agent}
	return o.issuer.Issue(ctx, target, backing.Order{Kind: engineOrder.Kind, Role: engineOrder.Role, Model: engineOrder.Model, Adapter: engineOrder.Adapter})
}
